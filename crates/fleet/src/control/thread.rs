//! The control thread: one OS thread that owns the state.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;

use arc_swap::ArcSwap;
use coltsfootshunt_core::clock::Clock;
use coltsfootshunt_core::name::Kind;
use derive_more::{Display, Error};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::{Action, Event, Executor, JobState, Request, Response, Settings, Snapshot, State};
use crate::job::{Id, Outcome, RequestId, Submission};
use crate::peer::{Ack, Batch};

/// Events that wait for the control thread; senders wait beyond that.
const CHANNEL: usize = 8_192;
/// Events taken in before the consequences are drawn.
const BATCH: usize = 128;

/// The control thread has ended.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the control thread has ended")]
pub struct Closed;

struct Envelope {
    event: Event,
    reply: Option<(RequestId, oneshot::Sender<Response>)>,
}

/// What traffic threads see of the control thread.
#[derive(Clone)]
pub struct Handle {
    events: mpsc::Sender<Envelope>,
    snapshot: Arc<ArcSwap<Snapshot>>,
    request_ids: Arc<AtomicU64>,
}

impl Handle {
    /// The newest snapshot.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Whether the thread has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.events.is_closed()
    }

    /// Runs a job. Dropping the future says that the caller has gone.
    ///
    /// # Errors
    /// [`Closed`] if the thread has ended.
    pub async fn submit(&self, submission: Submission) -> Result<Outcome, Closed> {
        let request_id = self.request_id();
        let mut presence =
            Presence { handle: self, id: submission.id.clone(), request_id, left: true };
        let response = self.ask(request_id, Request::Submit(submission)).await;
        presence.left = false;
        match response? {
            Response::Outcome(outcome) => Ok(outcome),
            _ => Err(Closed),
        }
    }

    /// How a job stands; none if it is not known.
    ///
    /// # Errors
    /// [`Closed`] if the thread has ended.
    pub async fn job_state(&self, id: Id) -> Result<Option<JobState>, Closed> {
        match self.ask(self.request_id(), Request::JobState(id)).await? {
            Response::JobState(state) => Ok(state),
            _ => Err(Closed),
        }
    }

    /// Cancels a job; whether it was known.
    ///
    /// # Errors
    /// [`Closed`] if the thread has ended.
    pub async fn cancel(&self, id: Id) -> Result<bool, Closed> {
        match self.ask(self.request_id(), Request::Cancel(id)).await? {
            Response::Cancelled(known) => Ok(known),
            _ => Err(Closed),
        }
    }

    /// Number of a kind's jobs of which nothing has started.
    ///
    /// # Errors
    /// [`Closed`] if the thread has ended.
    pub async fn pending_jobs(&self, kind: Kind) -> Result<usize, Closed> {
        match self.ask(self.request_id(), Request::PendingJobs(kind)).await? {
            Response::PendingJobs(count) => Ok(count),
            _ => Err(Closed),
        }
    }

    /// Takes another host's batch.
    ///
    /// # Errors
    /// [`Closed`] if the thread has ended.
    pub async fn deliver(&self, batch: Batch) -> Result<Ack, Closed> {
        match self.ask(self.request_id(), Request::Deliver(batch)).await? {
            Response::Ack(ack) => Ok(ack),
            _ => Err(Closed),
        }
    }

    /// The whole state.
    ///
    /// # Errors
    /// [`Closed`] if the thread has ended.
    pub async fn dump(&self) -> Result<serde_json::Value, Closed> {
        match self.ask(self.request_id(), Request::Dump).await? {
            Response::Dump(state) => Ok(state),
            _ => Err(Closed),
        }
    }

    /// Reports an event that nobody waits for.
    ///
    /// # Errors
    /// [`Closed`] if the thread has ended.
    pub async fn send(&self, event: Event) -> Result<(), Closed> {
        self.events.send(Envelope { event, reply: None }).await.map_err(|_| Closed)
    }

    async fn ask(&self, request_id: RequestId, request: Request) -> Result<Response, Closed> {
        let (sender, receiver) = oneshot::channel();
        let event = Event::Request(request_id, request);
        let envelope = Envelope { event, reply: Some((request_id, sender)) };
        self.events.send(envelope).await.map_err(|_| Closed)?;
        receiver.await.map_err(|_| Closed)
    }

    fn request_id(&self) -> RequestId {
        RequestId(self.request_ids.fetch_add(1, Ordering::Relaxed))
    }
}

/// Tells the control thread when a caller goes before its answer.
struct Presence<'a> {
    handle: &'a Handle,
    id: Id,
    request_id: RequestId,
    left: bool,
}

impl Drop for Presence<'_> {
    fn drop(&mut self) {
        if self.left {
            let event = Event::CallerLeft(self.id.clone(), self.request_id);
            // With a full channel the job runs on until its deadline.
            let _ = self.handle.events.try_send(Envelope { event, reply: None });
        }
    }
}

/// What the thread needs.
pub struct Dependencies {
    /// Start of the state.
    pub settings: Settings,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Makes what carries actions out.
    pub executor: Box<dyn FnOnce(Handle) -> Executor + Send>,
}

/// Starts the control thread.
///
/// # Errors
/// The operating system refuses a thread.
pub fn spawn(dependencies: Dependencies) -> std::io::Result<(Handle, JoinHandle<()>)> {
    let (events, inbox) = mpsc::channel(CHANNEL);
    let snapshot = Arc::new(ArcSwap::from_pointee(Snapshot::default()));
    let request_ids = Arc::new(AtomicU64::new(1));
    let handle = Handle { events, snapshot: Arc::clone(&snapshot), request_ids };
    let executor = (dependencies.executor)(handle.clone());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build()?;
    let state = State::new(dependencies.settings, dependencies.clock);
    let owner = Owner { state, executor, snapshot, waiting: HashMap::new() };
    let thread = std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(owner.run(inbox)))?;
    Ok((handle, thread))
}

struct Owner {
    state: State,
    executor: Executor,
    snapshot: Arc<ArcSwap<Snapshot>>,
    waiting: HashMap<RequestId, oneshot::Sender<Response>>,
}

impl Owner {
    async fn run(mut self, mut inbox: mpsc::Receiver<Envelope>) {
        let mut batch = Vec::with_capacity(BATCH);
        loop {
            let wake = Instant::from_std(self.state.next_wake());
            tokio::select! {
                count = inbox.recv_many(&mut batch, BATCH) => {
                    if count == 0 {
                        return;
                    }
                }
                () = tokio::time::sleep_until(wake) => {}
            }
            self.state.detect_pause();
            for envelope in batch.drain(..) {
                if let Some((request_id, reply)) = envelope.reply {
                    self.waiting.insert(request_id, reply);
                }
                self.state.handle(envelope.event);
            }
            if self.act() {
                return;
            }
        }
    }

    /// Carries actions out. Returns whether the process ends.
    fn act(&mut self) -> bool {
        let mut ends = false;
        for action in self.state.advance() {
            match action {
                Action::Respond(request_id, response) => {
                    if let Some(reply) = self.waiting.remove(&request_id) {
                        // A requester that went away needs no answer.
                        let _ = reply.send(response);
                    }
                }
                Action::Call(call) => self.executor.call(call),
                Action::Send(to, message) => self.executor.outbox.send(to, message),
                Action::Disconnect(to) => self.executor.outbox.reset(to),
                Action::Publish(snapshot) => self.snapshot.store(Arc::new(snapshot)),
                Action::Note(note) => self.executor.log.record(&note),
                Action::Exit => {
                    // Who listened for it may have ended already.
                    let _ = self.executor.exit.send(true);
                    ends = true;
                }
            }
        }
        ends
    }
}
