//! Callers that disconnect while the control thread has more events than its channel holds.

use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use coltsfootshunt_core::clock::System;
use coltsfootshunt_core::name::Kind;
use tokio::runtime::Handle as Runtime;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::config::tests::{document, route};
use crate::control::{self, Dependencies, Event, Executor, JobState, Settings};
use crate::job::{Id, Patience, Plan, Requirements, Resources, Step, Submission};
use crate::lease::{Call, Client, Response, Term};
use crate::member::tests::identity;
use crate::peer::{Account, Ack, Batch, Outbox, Transport, Unreachable};
use crate::report::{Log, Record};
use crate::steward;
use crate::store::Update;

/// Wait for an event that the control thread can't take, after which its channel counts as full.
const FULL_AFTER: Duration = Duration::from_millis(100);
/// Time within which the control thread handles all events of a full channel.
const DRAINED_AFTER: Duration = Duration::from_secs(5);
/// Longer than the test, so that no job ends by its deadline.
const CALLER_TIMEOUT: Duration = Duration::from_secs(60);

pub(super) struct Unconnected;

#[async_trait]
impl Client for Unconnected {
    async fn call(&self, _call: Call) -> Response {
        Response::NotSent
    }
}

#[async_trait]
impl Transport for Unconnected {
    async fn deliver(&self, _to: std::net::SocketAddr, _batch: &Batch) -> Result<Ack, Unreachable> {
        Err(Unreachable::Refused)
    }
}

/// Log that stops the control thread at its next record while it is closed, and counts accepted jobs.
#[derive(Default)]
struct Gate {
    is_closed: Mutex<bool>,
    opened: Condvar,
    accepted: Mutex<usize>,
}

impl Gate {
    fn close(&self) {
        *self.is_closed.lock().unwrap() = true;
    }

    fn open(&self) {
        *self.is_closed.lock().unwrap() = false;
        self.opened.notify_all();
    }
}

impl Log for Gate {
    fn record(&self, record: &Record) {
        *self.accepted.lock().unwrap() += usize::from(matches!(record, Record::JobAccepted { .. }));
        let is_closed = self.is_closed.lock().unwrap();
        drop(self.opened.wait_while(is_closed, |is_closed| *is_closed).unwrap());
    }
}

/// Starts the control thread of a host with a configuration and without peers and targets, where jobs wait
/// for a steward.
async fn control(gate: &Arc<Gate>) -> control::Handle {
    let term = Term { max: Duration::from_secs(1), resend_after: Duration::from_millis(1_300) };
    let settings = Settings {
        identity: identity("me", "a", 250),
        seeds: Vec::new(),
        steward: steward::Settings { term, remote_factor: 1.5 },
        stop_timeout: Duration::from_secs(5),
        max_targets_age: Duration::from_secs(1),
        targets_per_core: 200,
        evacuation: crate::evacuation::Settings::default(),
    };
    let (runtime, log) = (Runtime::current(), Arc::clone(gate));
    let executor = move |control: control::Handle| {
        let me = identity("me", "a", 250);
        let account = Arc::new(Account::new(me.zone.clone()));
        let transport = Arc::new(Unconnected);
        let outbox = Outbox::new(me, transport, runtime.clone(), control.clone(), account);
        let (target_client, exit) = (Arc::new(Unconnected), watch::channel(false).0);
        Executor { outbox, runtime, target_client, control, log, exit }
    };
    let dependencies =
        Dependencies { settings, clock: Arc::new(System), executor: Box::new(executor) };
    let handle = control::spawn(dependencies).unwrap().0;
    let mut route = route("cut", "/a/");
    route.timeout = CALLER_TIMEOUT;
    let update = Update::Document(Arc::new(document(1, vec![route])));
    handle.send(Event::Store(update)).await.unwrap();
    handle
}

fn id() -> Id {
    Id::try_from("0000000000000001").unwrap()
}

fn submission() -> Submission {
    let resources = Resources { cpu_millis: 14_000, memory_mb: 64, accelerators: 0 };
    let requirements = Requirements { resources, estimate_ms: 50, ..Requirements::default() };
    let step = Step { count: 2, requirements, after: Vec::new() };
    Submission {
        id: id(),
        kind: Kind::try_from("cut").unwrap(),
        plan: Arc::new(Plan::new("work".into(), vec![step]).unwrap()),
        patience: Patience::from(CALLER_TIMEOUT),
    }
}

/// Sends events until the channel is full. Each of them leads to a record.
async fn fill(handle: &control::Handle) {
    while timeout(FULL_AFTER, handle.send(Event::SettingsReloaded(None))).await.is_ok() {}
}

/// Guards against a job that runs on until its deadline after its caller has left, so that it runs twice
/// once the caller repeats it: the channel was full when the caller left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_departure_is_lost_when_the_channel_is_full() {
    let gate = Arc::new(Gate::default());
    let handle = control(&gate).await;
    let submitter = handle.clone();
    let caller = tokio::spawn(async move { submitter.submit(submission()).await.is_ok() });
    while handle.job_state(id()).await.unwrap() != Some(JobState::Queued) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    gate.close();
    leave_while_full(&handle, caller).await;
    gate.open();
    let state = timeout(DRAINED_AFTER, handle.job_state(id())).await.unwrap().unwrap();
    assert_eq!(state, None, "the job of a caller that has left");
}

/// Guards against a job that is begun after its caller has left, so that it runs twice: the submission
/// still waited in the channel then, and there was no room behind it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_is_begun_for_a_caller_that_has_left() {
    let gate = Arc::new(Gate::default());
    let handle = control(&gate).await;
    while handle.snapshot().document.is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    gate.close();
    // The thread stops at the record of this event.
    handle.send(Event::SettingsReloaded(None)).await.unwrap();
    tokio::time::sleep(FULL_AFTER).await;
    let submitter = handle.clone();
    let caller = tokio::spawn(async move { submitter.submit(submission()).await.is_ok() });
    tokio::time::sleep(FULL_AFTER).await;
    leave_while_full(&handle, caller).await;
    gate.open();
    timeout(DRAINED_AFTER, handle.job_state(id())).await.unwrap().unwrap();
    assert_eq!(*gate.accepted.lock().unwrap(), 0, "jobs accepted");
}

/// Fills the channel and lets a caller leave.
async fn leave_while_full(handle: &control::Handle, caller: tokio::task::JoinHandle<bool>) {
    fill(handle).await;
    caller.abort();
    assert!(caller.await.is_err(), "the caller has left");
}
