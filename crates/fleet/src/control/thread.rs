//! The control thread: one OS thread that owns the state.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use coltsfootshunt_core::clock::Clock;
use coltsfootshunt_core::name::Kind;
use derive_more::{Display, Error};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::lag::{Dropped, Lag};
use super::{
    Action, Backlog, Event, Executor, JobState, Request, Response, Settings, Snapshot, State,
};
use crate::cancel::Verdict;
use crate::job::{Id, Outcome, RequestId, Submission};
use crate::peer::{Ack, Batch};
use crate::report::Record;

/// Maximum number of events that wait for the control thread; senders wait while it is reached.
const CHANNEL_CAPACITY: usize = 8_192;
/// Maximum number of events handled in one iteration, before actions are executed.
const MAX_EVENTS_PER_ITERATION: usize = 128;

/// The control thread has ended.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the control thread has ended")]
pub struct Closed;

/// An event, when it came, and where its response goes if one is awaited.
struct Envelope {
    event: Event,
    came_at: std::time::Instant,
    reply: Option<(RequestId, oneshot::Sender<Response>)>,
}

/// Client of the control thread, for traffic threads.
#[derive(Clone)]
pub struct Handle {
    events: mpsc::Sender<Envelope>,
    snapshot: Arc<ArcSwap<Snapshot>>,
    request_ids: Arc<AtomicU64>,
    clock: Arc<dyn Clock>,
    /// Whether callers have left whose departure found no room in the channel.
    has_untold_departures: Arc<AtomicBool>,
}

impl Handle {
    /// Returns the latest snapshot.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Whether the control thread has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.events.is_closed()
    }

    /// Runs a job and returns its outcome. Dropping the future means that the caller has
    /// disconnected.
    ///
    /// # Errors
    /// [`Closed`] if the thread has ended.
    pub async fn submit(&self, submission: Submission) -> Result<Outcome, Closed> {
        let request_id = self.request_id();
        let mut guard = DisconnectGuard {
            handle: self,
            id: submission.id.clone(),
            request_id,
            is_pending: true,
        };
        let response = self.ask(request_id, Request::Submit(submission)).await;
        guard.is_pending = false;
        match response? {
            Response::Outcome(outcome) => Ok(outcome),
            _ => Err(Closed),
        }
    }

    /// Returns the state of a job, or `None` if it is unknown.
    ///
    /// # Errors
    /// [`Closed`] if the thread has ended.
    pub async fn job_state(&self, id: Id) -> Result<Option<JobState>, Closed> {
        match self.ask(self.request_id(), Request::JobState(id)).await? {
            Response::JobState(state) => Ok(state),
            _ => Err(Closed),
        }
    }

    /// Cancels a job at all hosts. Returns what is known of it.
    ///
    /// # Errors
    /// [`Closed`] if the thread has ended.
    pub async fn cancel(&self, id: Id) -> Result<Verdict, Closed> {
        match self.ask(self.request_id(), Request::Cancel(id)).await? {
            Response::Cancelled(verdict) => Ok(verdict),
            _ => Err(Closed),
        }
    }

    /// Returns the number of open jobs of a kind of which no task has started.
    ///
    /// # Errors
    /// [`Closed`] if the thread has ended.
    pub async fn pending_jobs(&self, kind: Kind) -> Result<usize, Closed> {
        match self.ask(self.request_id(), Request::PendingJobs(kind)).await? {
            Response::PendingJobs(count) => Ok(count),
            _ => Err(Closed),
        }
    }

    /// Processes a batch of messages from another host.
    ///
    /// # Errors
    /// [`Closed`] if the thread has ended.
    pub async fn deliver(&self, batch: Batch) -> Result<Ack, Closed> {
        match self.ask(self.request_id(), Request::Deliver(batch)).await? {
            Response::Ack(ack) => Ok(ack),
            _ => Err(Closed),
        }
    }

    /// Returns a dump of the whole state.
    ///
    /// # Errors
    /// [`Closed`] if the thread has ended.
    pub async fn dump(&self) -> Result<serde_json::Value, Closed> {
        match self.ask(self.request_id(), Request::Dump).await? {
            Response::Dump(state) => Ok(state),
            _ => Err(Closed),
        }
    }

    /// Sends an event that needs no response.
    ///
    /// # Errors
    /// [`Closed`] if the thread has ended.
    pub async fn send(&self, event: Event) -> Result<(), Closed> {
        self.events.send(self.envelope(event, None)).await.map_err(|_| Closed)
    }

    async fn ask(&self, request_id: RequestId, request: Request) -> Result<Response, Closed> {
        let (sender, receiver) = oneshot::channel();
        let event = Event::Request(request_id, request);
        let envelope = self.envelope(event, Some((request_id, sender)));
        self.events.send(envelope).await.map_err(|_| Closed)?;
        receiver.await.map_err(|_| Closed)
    }

    fn envelope(
        &self,
        event: Event,
        reply: Option<(RequestId, oneshot::Sender<Response>)>,
    ) -> Envelope {
        Envelope { event, came_at: self.clock.now(), reply }
    }

    fn request_id(&self) -> RequestId {
        RequestId(self.request_ids.fetch_add(1, Ordering::Relaxed))
    }
}

/// Notifies the control thread when the future of a submission is dropped before its response.
struct DisconnectGuard<'a> {
    handle: &'a Handle,
    id: Id,
    request_id: RequestId,
    is_pending: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if self.is_pending {
            let event = Event::CallerLeft(self.id.clone(), self.request_id);
            // If the channel is full, the control thread looks for the caller itself.
            if self.handle.events.try_send(self.handle.envelope(event, None)).is_err() {
                self.handle.has_untold_departures.store(true, Ordering::Release);
            }
        }
    }
}

/// Dependencies of the control thread.
pub struct Dependencies {
    /// Settings of the state.
    pub settings: Settings,
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
    let snapshot = Arc::new(ArcSwap::from_pointee(Snapshot::default()));
    let request_ids = Arc::new(AtomicU64::new(1));
    let clock = Arc::clone(&dependencies.clock);
    let has_untold_departures = Arc::new(AtomicBool::new(false));
    let untold = Arc::clone(&has_untold_departures);
    let handle = Handle {
        events,
        snapshot: Arc::clone(&snapshot),
        request_ids,
        clock,
        has_untold_departures,
    };
    let executor = (dependencies.executor)(handle.clone());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build()?;
    let clock = Arc::clone(&dependencies.clock);
    let state = State::new(dependencies.settings, dependencies.clock);
    let pending = HashMap::new();
    let dropped = Dropped::new(clock.now());
    let control = ControlThread {
        state,
        clock,
        executor,
        snapshot,
        pending,
        dropped,
        has_untold_departures: untold,
    };
    let thread = std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(control.run(inbox)))?;
    Ok((handle, thread))
}

/// A request that waits for its response.
struct Pending {
    /// Job that it submits, if it does.
    job: Option<Id>,
    reply: oneshot::Sender<Response>,
}

impl Pending {
    /// Whether it submits a job, and its caller has left.
    fn has_departed(&self) -> bool {
        self.job.is_some() && self.reply.is_closed()
    }
}

/// Everything that the control thread owns.
struct ControlThread {
    state: State,
    clock: Arc<dyn Clock>,
    executor: Executor,
    snapshot: Arc<ArcSwap<Snapshot>>,
    pending: HashMap<RequestId, Pending>,
    dropped: Dropped,
    /// Set by the guards of submissions.
    has_untold_departures: Arc<AtomicBool>,
}

impl ControlThread {
    async fn run(mut self, mut inbox: mpsc::Receiver<Envelope>) {
        let mut batch = Vec::with_capacity(MAX_EVENTS_PER_ITERATION);
        let mut lag = Lag::new(self.clock.now());
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
            self.state.detect_pause();
            let now = self.clock.now();
            let age = |oldest: &Envelope| now.saturating_duration_since(oldest.came_at);
            self.state.set_backlog(Backlog::from(batch.first().map(age).unwrap_or_default()));
            let has_all = inbox.is_empty();
            for envelope in batch.drain(..) {
                lag.record_event(now.saturating_duration_since(envelope.came_at));
                self.state.set_handled_until(envelope.came_at);
                self.handle(envelope);
            }
            if self.has_untold_departures.swap(false, Ordering::AcqRel) {
                self.handle_untold_departures();
            }
            // Otherwise the last event that was handled is the time up to which all were.
            if has_all {
                self.state.set_handled_until(now);
            }
            if self.execute_actions() {
                return;
            }
            for record in lag.end_iteration(now).into_iter().chain(self.dropped.end_iteration(now))
            {
                self.executor.log.record(&record);
            }
        }
    }

    fn handle(&mut self, Envelope { event, reply, .. }: Envelope) {
        if let Some((request_id, reply)) = reply {
            let job = match &event {
                Event::Request(_, Request::Submit(submission)) => Some(submission.id.clone()),
                _ => None,
            };
            let pending = Pending { job, reply };
            // The caller may have repeated its job elsewhere, so the job must not begin here.
            if pending.has_departed() {
                return self.record_departure(pending);
            }
            self.pending.insert(request_id, pending);
        }
        if let Event::CallerLeft(_, request_id) = &event {
            self.pending.remove(request_id);
        }
        self.state.handle(event);
    }

    /// Handles the departure of all callers that no longer wait for their response.
    fn handle_untold_departures(&mut self) {
        let departed = self.pending.extract_if(|_, pending| pending.has_departed());
        let departed: Vec<(RequestId, Pending)> = departed.collect();
        for (request_id, Pending { job, .. }) in departed {
            if let Some(id) = job {
                self.state.handle(Event::CallerLeft(id, request_id));
            }
        }
    }

    /// Logs a job that did not begin because its caller had left.
    fn record_departure(&self, Pending { job, .. }: Pending) {
        if let Some(job) = job {
            self.executor.log.record(&Record::CallerLeft { job, after: Duration::ZERO });
        }
    }

    /// Executes the pending actions. Returns whether the process ends.
    fn execute_actions(&mut self) -> bool {
        let mut must_exit = false;
        let drops_records = self.state.drops_records();
        for action in self.state.advance() {
            match action {
                Action::Respond(request_id, response) => {
                    if let Some(Pending { reply, .. }) = self.pending.remove(&request_id) {
                        // Fails only if the requester has stopped waiting.
                        let _ = reply.send(response);
                    }
                }
                Action::Call(call) => self.executor.call(call),
                Action::Send(to, message) => self.executor.outbox.send(to, message),
                Action::Disconnect(to) => self.executor.outbox.reset(to),
                Action::Publish(snapshot) => self.snapshot.store(Arc::new(snapshot)),
                Action::Record(record) if drops_records && record.is_about_task() => {
                    self.executor.log.count(&record);
                    self.dropped.add();
                }
                Action::Record(record) => self.executor.log.record(&record),
                Action::Exit => {
                    // Fails only if every receiver has ended already.
                    let _ = self.executor.exit.send(true);
                    must_exit = true;
                }
            }
        }
        must_exit
    }
}
