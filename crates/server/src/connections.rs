//! The open connections, and which of them is closed for a new one.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http_body_util::BodyExt;
use tokio::sync::Notify;

use super::bodies::{Bodies, BodyError, Content, Reader};
use super::{Limits, Observer, Refusal};

/// Number of a connection, in the order of arrival.
type Id = u64;

/// What a connection is busy with.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Its client has not sent a whole request yet. The key gives its place among those.
    New(u64),
    /// Its client has sent a whole request before, and no other since.
    Idle(u64),
    /// A whole request is being handled.
    Busy,
}

#[derive(Debug)]
struct Entry {
    phase: Phase,
    evicted: Arc<Notify>,
}

/// The open connections by what they are busy with. The one that has waited longest comes first.
#[derive(Debug, Default)]
struct State {
    entries: HashMap<Id, Entry>,
    new: BTreeMap<u64, Id>,
    idle: BTreeMap<u64, Id>,
    last_id: Id,
    /// Last place given to a waiting connection.
    last_place: u64,
}

/// All connections of a listener.
pub(super) struct Connections {
    limits: Limits,
    bodies: Bodies,
    observer: Arc<dyn Observer>,
    state: Mutex<State>,
}

/// An open connection. It stops counting when this is dropped.
pub struct Connection {
    id: Id,
    evicted: Arc<Notify>,
    connections: Arc<Connections>,
}

impl State {
    fn set_phase(&mut self, id: Id, phase: Phase) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        match std::mem::replace(&mut entry.phase, phase) {
            Phase::New(place) => self.new.remove(&place),
            Phase::Idle(place) => self.idle.remove(&place),
            Phase::Busy => None,
        };
        match phase {
            Phase::New(place) => self.new.insert(place, id),
            Phase::Idle(place) => self.idle.insert(place, id),
            Phase::Busy => None,
        };
    }

    fn next_place(&mut self) -> u64 {
        self.last_place += 1;
        self.last_place
    }

    fn remove(&mut self, id: Id) -> Option<Entry> {
        self.set_phase(id, Phase::Busy);
        self.entries.remove(&id)
    }

    /// The connection to close for a new one: one whose client has never sent a whole request, or else one that
    /// waits for the next. Those that wait longest go first, and those with a request in progress never.
    fn victim(&self) -> Option<Id> {
        self.new.values().chain(self.idle.values()).next().copied()
    }
}

impl Connections {
    pub(super) fn new(limits: Limits, observer: Arc<dyn Observer>) -> Self {
        Self { limits, bodies: Bodies::new(limits.body_bytes), observer, state: Mutex::default() }
    }

    /// Adds a connection, and evicts another one if there are too many. None if all others are busy.
    pub(super) fn open(self: &Arc<Self>) -> Option<Connection> {
        if self.lock().entries.len() >= self.limits.connections {
            self.observer.refused(&Refusal::Connections { limit: self.limits.connections });
        }
        let mut state = self.lock();
        if state.entries.len() >= self.limits.connections {
            let victim = state.victim()?;
            let victim = state.remove(victim)?;
            victim.evicted.notify_one();
        }
        state.last_id += 1;
        let (id, place) = (state.last_id, state.next_place());
        let evicted = Arc::new(Notify::new());
        state.entries.insert(id, Entry { phase: Phase::Busy, evicted: Arc::clone(&evicted) });
        state.set_phase(id, Phase::New(place));
        Some(Connection { id, evicted, connections: Arc::clone(self) })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }
}

impl Connection {
    /// Waits until the connection has to make room for another one.
    pub(super) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Records that a whole request has arrived.
    pub(super) fn begin_request(&self) {
        self.connections.lock().set_phase(self.id, Phase::Busy);
    }

    /// Records that the response to a request is complete.
    pub(super) fn end_request(&self) {
        let mut state = self.connections.lock();
        let place = state.next_place();
        state.set_phase(self.id, Phase::Idle(place));
    }

    /// Reads the whole body of a request of this connection. Discards what comes after `limit` bytes, or after the
    /// limit on all bodies, as it arrives: a client that is still sending when its connection closes would lose
    /// the response.
    ///
    /// # Errors
    /// See [`BodyError`].
    pub async fn read_body<B>(
        &self,
        body: B,
        limit: usize,
        timeout: Duration,
    ) -> Result<Content, BodyError>
    where
        B: hyper::body::Body<Data = bytes::Bytes> + Unpin,
    {
        let mut reader = Reader::new(&self.connections.bodies, body.size_hint().exact(), limit);
        let mut body = body;
        let read_all = async {
            while let Some(frame) = body.frame().await {
                let frame = frame.map_err(|_| BodyError::Disconnected)?;
                if let Ok(data) = frame.into_data()
                    && !reader.push(&data)
                {
                    break;
                }
            }
            Ok(())
        };
        tokio::time::timeout(timeout, read_all).await.map_err(|_| BodyError::Timeout)??;
        self.begin_request();
        let content = reader.finish();
        if let Err(BodyError::Full { limit }) = content {
            self.connections.observer.refused(&Refusal::Bodies { limit });
        }
        content
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.lock().remove(self.id);
    }
}
