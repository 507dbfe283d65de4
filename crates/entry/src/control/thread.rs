//! The control thread: one OS thread that owns the state.

use std::collections::HashMap;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use coltsfootshunt_core::clock::Clock;
use derive_more::{Display, Error};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::{Action, Event, Executor, Output, Setup, Snapshot, State};
use crate::peer::{Call, Response};
use crate::submission::{Progress, Reply, Request, RequestId};

/// Events that can wait for the control thread; senders wait while the channel is full.
const CHANNEL_CAPACITY: usize = 8_192;
/// Events handled in one iteration, before the state advances.
const MAX_EVENTS_PER_ITERATION: usize = 128;

/// The control thread has ended.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the control thread has ended")]
pub struct Closed;

/// An event, and where its output goes if one is awaited.
struct Envelope {
    event: Box<dyn FnOnce(RequestId) -> Event + Send>,
    reply: Option<oneshot::Sender<Output>>,
}

/// Client of the control thread, for traffic threads.
#[derive(Clone)]
pub struct Handle {
    events: mpsc::Sender<Envelope>,
    snapshot: Arc<ArcSwap<Snapshot>>,
}

impl Handle {
    /// Returns the latest snapshot.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Handles a request of a caller and returns its reply.
    ///
    /// # Errors
    /// [`Closed`] if the thread has ended.
    pub async fn request(&self, request: Request) -> Result<Reply, Closed> {
        match self.request_output(|request_id| Event::Request(request_id, request)).await? {
            Output::Reply(reply) => Ok(reply),
            Output::Response(_) | Output::Dump(_) => Err(Closed),
        }
    }

    /// Handles a request of a caller. Returns [`Reply::Pending`] if there is no reply within
    /// `timeout`.
    ///
    /// # Errors
    /// [`Closed`] if the thread has ended.
    pub async fn request_with_timeout(
        &self,
        request: Request,
        timeout: Duration,
    ) -> Result<Reply, Closed> {
        match tokio::time::timeout(timeout, self.request(request)).await {
            Ok(reply) => reply,
            Err(_) => Ok(Reply::Pending(Progress::default())),
        }
    }

    /// Handles a call from a peer and returns the response.
    ///
    /// # Errors
    /// [`Closed`] if the thread has ended.
    pub async fn call(&self, call: Call) -> Result<Response, Closed> {
        match self.request_output(|request_id| Event::PeerCall(request_id, call)).await? {
            Output::Response(response) => Ok(response),
            Output::Reply(_) | Output::Dump(_) => Err(Closed),
        }
    }

    /// Returns a dump of the whole state.
    ///
    /// # Errors
    /// [`Closed`] if the thread has ended.
    pub async fn dump(&self) -> Result<serde_json::Value, Closed> {
        match self.request_output(Event::Dump).await? {
            Output::Dump(value) => Ok(value),
            Output::Reply(_) | Output::Response(_) => Err(Closed),
        }
    }

    /// Sends an event that needs no output.
    ///
    /// # Errors
    /// [`Closed`] if the thread has ended.
    pub async fn send(&self, event: Event) -> Result<(), Closed> {
        let envelope = Envelope { event: Box::new(|_| event), reply: None };
        self.events.send(envelope).await.map_err(|_| Closed)
    }

    /// Whether the control thread has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.events.is_closed()
    }

    /// Sends an event and waits for its output.
    async fn request_output(
        &self,
        event: impl FnOnce(RequestId) -> Event + Send + 'static,
    ) -> Result<Output, Closed> {
        let (sender, receiver) = oneshot::channel();
        let envelope = Envelope { event: Box::new(event), reply: Some(sender) };
        self.events.send(envelope).await.map_err(|_| Closed)?;
        receiver.await.map_err(|_| Closed)
    }
}

/// Dependencies of the control thread.
pub struct Dependencies {
    /// Initial values of the state.
    pub setup: Setup,
    /// Time source of the state.
    pub clock: Arc<dyn Clock>,
    /// Creates the executor of actions from a handle to the thread.
    pub executor: Box<dyn FnOnce(Handle) -> Executor + Send>,
}

/// Starts the control thread.
///
/// # Errors
/// Fails if the runtime or the thread can't be created.
pub fn spawn(dependencies: Dependencies) -> std::io::Result<(Handle, JoinHandle<()>)> {
    let (events, inbox) = mpsc::channel(CHANNEL_CAPACITY);
    let initial = Snapshot::new(dependencies.setup.identity.incarnation);
    let snapshot = Arc::new(ArcSwap::from_pointee(initial));
    let handle = Handle { events, snapshot: Arc::clone(&snapshot) };
    let executor = (dependencies.executor)(handle.clone());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build()?;
    let control = ControlThread {
        state: State::new(dependencies.setup, dependencies.clock.now()),
        clock: dependencies.clock,
        executor,
        snapshot,
        pending: HashMap::new(),
        next_request_id: 0,
        actions: Vec::new(),
    };
    let thread = std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(control.run(inbox)))?;
    Ok((handle, thread))
}

/// Data that the control thread owns.
struct ControlThread {
    state: State,
    clock: Arc<dyn Clock>,
    executor: Executor,
    snapshot: Arc<ArcSwap<Snapshot>>,
    /// Where the output of each pending request goes.
    pending: HashMap<RequestId, oneshot::Sender<Output>>,
    next_request_id: u64,
    /// Actions that are not executed yet.
    actions: Vec<Action>,
}

impl ControlThread {
    /// Handles events and executes actions until the process ends.
    async fn run(mut self, mut inbox: mpsc::Receiver<Envelope>) {
        let mut batch = Vec::with_capacity(MAX_EVENTS_PER_ITERATION);
        loop {
            let wake = Instant::from_std(self.state.next_wake());
            tokio::select! {
                count = inbox.recv_many(&mut batch, MAX_EVENTS_PER_ITERATION) => {
                    if count == 0 {
                        return;
                    }
                }
                () = tokio::time::sleep_until(wake) => {}
            }
            for envelope in batch.drain(..) {
                self.handle(envelope);
            }
            let now = self.clock.now();
            self.state.advance(now, &mut self.actions);
            if self.execute_actions() {
                return;
            }
        }
    }

    fn handle(&mut self, envelope: Envelope) {
        let request_id = RequestId(self.next_request_id);
        self.next_request_id += 1;
        if let Some(reply) = envelope.reply {
            self.pending.insert(request_id, reply);
        }
        let now = self.clock.now();
        self.state.handle((envelope.event)(request_id), now, &mut self.actions);
    }

    /// Executes the pending actions. Returns whether the process ends.
    fn execute_actions(&mut self) -> bool {
        let mut must_exit = false;
        for action in self.actions.drain(..) {
            match action {
                Action::Respond(request_id, output) => {
                    if let Some(reply) = self.pending.remove(&request_id) {
                        // Fails only if the requester has stopped waiting.
                        let _ = reply.send(output);
                    }
                }
                Action::Publish(snapshot) => self.snapshot.store(Arc::new(snapshot)),
                Action::Exit(exit) => {
                    self.executor.exit(exit);
                    must_exit = true;
                }
                Action::StartTask(attempt, start) => self.executor.start_task(attempt, start),
                Action::CallPeer { to, peer, call } => self.executor.call_peer(to, peer, call),
                Action::Record(record) => self.executor.record(&record),
                Action::ReportLoad(load) => self.executor.report_load(load),
            }
        }
        must_exit
    }
}
