//! Deterministic simulation of hosts, targets, callers and the network between them, on one thread.

mod callers;
mod cancels;
mod capacities;
mod clock;
mod crashes;
mod delays;
mod evacuations;
mod network;
mod partitions;
mod splits;
mod tokens;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootshunt_core::clock::Clock;
use coltsfootshunt_model::event_queue::EventQueue;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::target::{MAX_LEASE_MS, Target};
use crate::cancel::Verdict;
use crate::config::Document;
use crate::config::tests::{document, route};
use crate::control::{Action, Event, Request, Response, Settings, State};
use crate::directory;
use crate::job::{Id, Outcome, Plan, RequestId, Resources, Task};
use crate::lease::{self, Call, Term};
use crate::member::{Claim, Identity};
use crate::peer::{Batch, MAX_ACK_AGE, Message};
use crate::report::Record;
use crate::steward;
use crate::store::{Listing, Update};

use clock::HostClock;
pub(super) use clock::ManualClock;
pub(super) use partitions::Partition;
use tokens::Ledger;

/// Availability zones; each has [`HOSTS_PER_ZONE`] hosts by default, and [`TARGETS_PER_ZONE`] targets.
pub(super) const ZONES: [&str; 2] = ["a", "b"];
const HOSTS_PER_ZONE: usize = 2;
const TARGETS_PER_ZONE: usize = 3;
const HOST_CPU_MILLIS: u32 = 250;
/// Hosts and targets of a dense zone, and the hosts' share of the processor: one steward serves four targets.
const HOSTS_PER_DENSE_ZONE: usize = 3;
const TARGETS_PER_DENSE_ZONE: usize = 6;
const DENSE_CPU_MILLIS: u32 = 20;
const TARGET_CPU_MILLIS: u64 = 32_000;
/// Delay after which a caller without a definite outcome submits its job again, by default and at the earliest by
/// the platform's documentation.
const RETRY_DELAY_MS: u64 = 1_300;
/// Number of times that a caller submits a job without a definite outcome, by default.
const MAX_SENDS: u32 = 3;
/// Time after which a batch that can't be delivered ends its session.
const DELIVERY_TIMEOUT_MS: u64 = 700;

/// Scheduled event. Hosts are numbered by their index; an incarnation is one run of a host's
/// process.
enum SimEvent {
    /// A batch that a partition delayed arrives at a host.
    DelayedBatch(usize, Batch),
    /// A partition between two hosts ends.
    Heal(usize, usize),
    /// A host does its periodic work.
    Wake(usize, u64),
    /// An event reaches the given incarnation of a host.
    Host(usize, u64, Event),
    /// A host that is behind handles an event that came earlier.
    Late { host: usize, incarnation: u64, came_ms: u64, event: Event },
    /// A call reaches a target; `is_answered` says whether its response reaches the host. A delayed
    /// call is lost if its target crashes meanwhile, so `started_at_ms` then identifies the
    /// target's incarnation that received it.
    Call {
        host: usize,
        incarnation: u64,
        call: Call,
        is_answered: bool,
        started_at_ms: Option<u64>,
    },
    /// A lease renewal that waits at its target (long poll) is checked again.
    LongPoll { host: usize, incarnation: u64, call: Call, until_ms: u64 },
    /// A host tries to deliver its queued messages for another.
    Deliver { host: usize, incarnation: u64, to: SocketAddr },
    /// A caller submits its job.
    Submit(Id),
    /// A caller's attempt times out.
    CallerTimeout(Id, u32),
    /// A target crashes under a task that it has started.
    Crash(coltsfootshunt_core::name::Target),
}

/// Outgoing messages of one host for another: the sending side of a session.
struct Channel {
    session: u64,
    sequence: u64,
    queue: Vec<Message>,
    batch: Vec<Message>,
    /// Time of the first attempt to deliver the batch in flight.
    sending_since: Option<u64>,
    /// Whether the batch in flight is one without messages, ahead of those in `batch`.
    goes_first: Option<bool>,
    /// Time at which the last batch of the session was sent that the receiver got.
    acknowledged_at_ms: Option<u64>,
}

struct Host {
    identity: Identity,
    clock: Arc<HostClock>,
    state: Option<State>,
    incarnation: u64,
    frozen_until_ms: u64,
    channels: BTreeMap<SocketAddr, Channel>,
    pending_events: Vec<Event>,
    /// Whether it runs the version before this one, which knows no splits.
    is_previous_version: bool,
}

impl Channel {
    fn new() -> Self {
        Self {
            session: 1,
            sequence: 0,
            queue: Vec::new(),
            batch: Vec::new(),
            sending_since: None,
            goes_first: None,
            acknowledged_at_ms: None,
        }
    }

    /// Starts a new session and drops all queued messages.
    fn start_session(&mut self) {
        self.session += 1;
        self.sequence = 0;
        self.queue.clear();
        self.batch.clear();
        self.goes_first = None;
        self.acknowledged_at_ms = None;
    }

    /// Takes the queued messages as the next batch, messages on jobs first.
    fn take_queue(&mut self) {
        self.batch = std::mem::take(&mut self.queue);
        self.batch.sort_by_key(|message| !message.is_about_jobs());
    }

    /// Whether a batch without messages must go first: the session is not open, or messages on jobs follow
    /// a time without acknowledgements.
    fn needs_empty_batch(&self, now_ms: u64) -> bool {
        let is_recent = self
            .acknowledged_at_ms
            .is_some_and(|at_ms| now_ms < at_ms + MAX_ACK_AGE.as_millis() as u64);
        let is_about_jobs = self.batch.iter().any(Message::is_about_jobs);
        self.sequence == 0 || (is_about_jobs && !is_recent)
    }
}

struct Caller {
    host: usize,
    attempt: u32,
    sends: u32,
    is_waiting: bool,
    outcomes: Vec<Option<Outcome>>,
    plan: Arc<Plan>,
    run_ms: u64,
}

/// Fault probabilities per call.
#[derive(Clone, Copy, Default)]
pub(super) struct FaultRates {
    /// The call does not reach the target before its timeout.
    pub(super) call_lost: f64,
    /// The target executes the call, but its response is lost.
    pub(super) response_lost: f64,
    /// The target executes a lost call 2 to 12 s later.
    pub(super) late: f64,
    /// The target starts the run, which ends with a failure.
    pub(super) fails: f64,
    /// The target rejects the call as unhealthy and does nothing.
    pub(super) rejects: f64,
    /// The run takes eight times as long as submitted.
    pub(super) hangs: f64,
}

pub(super) struct Simulation {
    time: Arc<ManualClock>,
    hosts: Vec<Host>,
    /// Returns the number that identifies an incarnation of a host: by default one in which all low
    /// bits differ.
    identify: fn(usize, u64) -> u64,
    pub(super) targets: BTreeMap<coltsfootshunt_core::name::Target, Target>,
    events: EventQueue<u64, SimEvent>,
    callers: BTreeMap<Id, Caller>,
    open_requests: BTreeMap<(usize, RequestId), Id>,
    /// Delivered batches that were not acknowledged yet, by receiver, with sender and its incarnation.
    open_batches: BTreeMap<(usize, RequestId), (usize, u64)>,
    next_request_id: u64,
    rng: StdRng,
    pub(super) fault_rates: FaultRates,
    /// Run times on all targets of a zone but the first, in percent of those on the first.
    pub(super) slow_percent: u64,
    /// Partitions from one host to another.
    partitions: BTreeMap<(usize, usize), Partition>,
    /// Whether a batch in flight arrives when a silent partition ends, as on the platform.
    pub(super) delivers_after_partition: bool,
    /// Time until the control state of a host handles the loss of a session, as on a busy host.
    pub(super) session_loss_delay_ms: u64,
    /// Batches that partitions delay, with sender and receiver.
    delayed_batches: Vec<(usize, usize, Batch)>,
    /// Delays of batches from one host to another beyond the usual one, in milliseconds.
    batch_delays_ms: BTreeMap<(usize, usize), u64>,
    /// Times after which hosts that are behind handle their events, in milliseconds.
    event_lags_ms: BTreeMap<usize, u64>,
    /// Hosts without power: their addresses refuse no connections.
    hosts_without_power: BTreeSet<usize>,
    /// Partitions from a host to a running target.
    target_partitions: BTreeMap<(usize, coltsfootshunt_core::name::Target), Partition>,
    /// Targets that are missing from the store's list.
    hidden_targets: BTreeSet<coltsfootshunt_core::name::Target>,
    /// Host that callers submit to; `None` for a random one.
    caller_host: Option<usize>,
    /// Time for which callers wait; that of the route if `None`.
    pub(super) caller_timeout: Option<Duration>,
    /// Whether callers state with the submission for how long they wait.
    pub(super) states_timeout: bool,
    /// Delay after which a caller without a definite outcome submits its job again.
    pub(super) retry_delay_ms: u64,
    /// Number of times that a caller submits a job without a definite outcome.
    pub(super) max_sends: u32,
    document: Arc<Document>,
    crashes: crashes::Count,
    open_cancels: BTreeMap<(usize, RequestId), Id>,
    /// Answers to cancellations, in order.
    cancel_answers: Vec<(Id, Verdict)>,
    /// Capacities that still count after they have shrunk, by target, with the time until which they do.
    former_capacities: BTreeMap<coltsfootshunt_core::name::Target, Vec<(u64, Resources)>>,
    /// Largest use of a target after the start of a task, in thousandths of a core.
    peak_use: u64,
    /// Hosts that the store turns away.
    hosts_without_store: BTreeSet<usize>,
    pub(super) starts: BTreeMap<Task, u32>,
    /// Number of messages in which owners granted shared tasks.
    pub(super) grants: u32,
    /// Number of times that a target fenced a steward.
    pub(super) fenced_calls: u32,
    /// Number of times that a host found another process's attempt under its own token.
    pub(super) shared_tokens: u32,
    /// Whether a target answers a waiting renewal although it has seen a higher token meanwhile, like the
    /// stand-in of the platform.
    pub(super) answers_fenced_renewals: bool,
    tokens: Ledger,
    /// Settings of hosts that start from now on, and the zones that operators have evacuated.
    evacuations: evacuations::Operators,
    pub(super) violations: Vec<String>,
    /// Number of messages on splits.
    pub(super) split_messages: u32,
    /// Number of runs that a target's new holder stopped.
    pub(super) orphans: u32,
    /// Time, sender, receiver and kind of each message, if they are recorded.
    messages: Option<Vec<(u64, usize, SocketAddr, &'static str)>>,
    /// Whether a task has run twice or a target was over its capacity; the first time is reported.
    has_unsafe_run: bool,
    /// Whether actions are printed; set by `COLTSFOOTSHUNT_TRACE`.
    is_traced: bool,
}

impl Simulation {
    pub(super) fn new(seed: u64) -> Self {
        Self::with_hosts(seed, HOSTS_PER_ZONE)
    }

    /// Creates a simulation with up to eight hosts in each zone.
    pub(super) fn with_hosts(seed: u64, hosts_per_zone: usize) -> Self {
        let sizes = (hosts_per_zone, TARGETS_PER_ZONE, HOST_CPU_MILLIS);
        Self::create(seed, |host, run| run * 16 + host as u64, sizes)
    }

    /// Creates a simulation of dense zones.
    pub(super) fn dense(seed: u64) -> Self {
        Self::dense_with(seed, TARGETS_PER_DENSE_ZONE)
    }

    /// Creates a simulation of dense zones with the given number of targets each.
    pub(super) fn dense_with(seed: u64, targets: usize) -> Self {
        let sizes = (HOSTS_PER_DENSE_ZONE, targets, DENSE_CPU_MILLIS);
        Self::create(seed, |host, run| run * 16 + host as u64, sizes)
    }

    /// Creates a simulation in which `identify` returns the number that identifies the given run of a
    /// host's process, from 1 on.
    pub(super) fn with_incarnations(seed: u64, identify: fn(usize, u64) -> u64) -> Self {
        Self::create(seed, identify, (HOSTS_PER_ZONE, TARGETS_PER_ZONE, HOST_CPU_MILLIS))
    }

    fn create(
        seed: u64,
        identify: fn(usize, u64) -> u64,
        (hosts_per_zone, targets_per_zone, cpu_millis): (usize, usize, u32),
    ) -> Self {
        let time = Arc::new(ManualClock::new());
        let mut sim = Self {
            time,
            hosts: Vec::new(),
            identify,
            targets: BTreeMap::new(),
            events: EventQueue::default(),
            callers: BTreeMap::new(),
            open_requests: BTreeMap::new(),
            open_batches: BTreeMap::new(),
            next_request_id: 1,
            rng: StdRng::seed_from_u64(seed),
            fault_rates: FaultRates::default(),
            slow_percent: 100,
            partitions: BTreeMap::new(),
            delivers_after_partition: false,
            session_loss_delay_ms: 0,
            delayed_batches: Vec::new(),
            batch_delays_ms: BTreeMap::new(),
            event_lags_ms: BTreeMap::new(),
            hosts_without_power: BTreeSet::new(),
            target_partitions: BTreeMap::new(),
            hidden_targets: BTreeSet::new(),
            caller_host: None,
            caller_timeout: None,
            states_timeout: true,
            retry_delay_ms: RETRY_DELAY_MS,
            max_sends: MAX_SENDS,
            document: Arc::new(document(1, vec![route("cut", "/a/")])),
            crashes: crashes::Count::default(),
            open_cancels: BTreeMap::new(),
            cancel_answers: Vec::new(),
            former_capacities: BTreeMap::new(),
            peak_use: 0,
            hosts_without_store: BTreeSet::new(),
            starts: BTreeMap::new(),
            grants: 0,
            fenced_calls: 0,
            shared_tokens: 0,
            answers_fenced_renewals: false,
            tokens: Ledger::default(),
            evacuations: evacuations::Operators::default(),
            violations: Vec::new(),
            split_messages: 0,
            orphans: 0,
            messages: None,
            has_unsafe_run: false,
            is_traced: std::env::var_os("COLTSFOOTSHUNT_TRACE").is_some(),
        };
        let zones = ZONES.iter().flat_map(|zone| std::iter::repeat_n(zone, hosts_per_zone));
        for (number, zone) in zones.enumerate() {
            let identity = Identity {
                address: format!("10.0.0.{}:1", number + 1).parse().unwrap(),
                ..crate::member::tests::identity(&format!("h{number}"), zone, cpu_millis)
            };
            let channels = BTreeMap::new();
            let pending_events = Vec::new();
            let host = Host {
                identity,
                clock: Arc::new(HostClock::new(Arc::clone(&sim.time))),
                state: None,
                incarnation: 0,
                frozen_until_ms: 0,
                channels,
                pending_events,
                is_previous_version: false,
            };
            sim.hosts.push(host);
        }
        for (number, zone) in ZONES.iter().enumerate() {
            for each in 0..targets_per_zone {
                let mut entry = directory::tests::entry(&format!("t{number}{each}"), zone);
                entry.capacity.cpu_millis = TARGET_CPU_MILLIS;
                entry.address = ([10, 1, number as u8, each as u8], 80).into();
                sim.targets.insert(entry.name.clone(), Target::new(entry, 0));
            }
        }
        (0..sim.hosts.len()).for_each(|host| sim.start(host));
        sim
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.time.now_ms()
    }

    pub(super) fn host_count(&self) -> usize {
        self.hosts.len()
    }

    pub(super) fn random_bool(&mut self, chance: f64) -> bool {
        self.rng.random_bool(chance)
    }

    pub(super) fn random_below(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below)
    }

    /// Starts or restarts the process of a host.
    pub(super) fn start(&mut self, host: usize) {
        let seeds = self.hosts.iter().map(|one| one.identity.address).collect();
        let one = &mut self.hosts[host];
        self.hosts_without_power.remove(&host);
        one.incarnation += 1;
        one.identity.incarnation = (self.identify)(host, one.incarnation);
        one.channels.clear();
        one.pending_events.clear();
        let repeat = Duration::from_millis(RETRY_DELAY_MS);
        let term = Term { max: Duration::from_millis(MAX_LEASE_MS), resend_after: repeat };
        let settings = Settings {
            identity: one.identity.clone(),
            seeds,
            steward: steward::Settings { term, remote_factor: 1.5 },
            stop_timeout: Duration::from_secs(5),
            max_targets_age: Duration::from_secs(1),
            targets_per_core: 200,
            evacuation: self.evacuations.settings.clone(),
        };
        let clock: Arc<dyn Clock> = Arc::clone(&one.clock) as _;
        one.state = Some(State::new(settings, clock));
        let incarnation = one.incarnation;
        let update = Update::Document(Arc::clone(&self.document));
        self.schedule(1, SimEvent::Host(host, incarnation, Event::Store(update)));
        self.read_targets(host);
        self.read_evacuations(host);
        self.schedule(1, SimEvent::Wake(host, incarnation));
    }

    /// Lets a host read the list of targets from the store.
    fn read_targets(&mut self, host: usize) {
        if self.hosts_without_store.contains(&host) {
            return;
        }
        let entries = self.targets.values().map(|target| target.entry.clone());
        let entries: Vec<_> =
            entries.filter(|entry| !self.hidden_targets.contains(&entry.name)).collect();
        let incarnation = self.hosts[host].incarnation;
        let update = Event::Store(Update::Targets(Listing::from(entries)));
        self.schedule(2, SimEvent::Host(host, incarnation, update));
    }

    /// Kills a host. Messages that wait behind a batch in flight are lost with it.
    pub(super) fn kill(&mut self, host: usize) {
        let channels = self.hosts[host].channels.values_mut();
        channels.for_each(|channel| {
            channel.queue.clear();
            channel.batch.clear();
        });
        self.end(host);
    }

    /// Ends the process of a host, which has sent its last messages.
    fn end(&mut self, host: usize) {
        self.hosts[host].state = None;
        let waiting: Vec<Id> = self
            .callers
            .iter()
            .filter(|(_, caller)| caller.host == host && caller.is_waiting)
            .map(|(id, _)| id.clone())
            .collect();
        waiting.iter().for_each(|id| self.record_outcome(id, None));
    }

    pub(super) fn freeze(&mut self, host: usize, for_ms: u64) {
        self.hosts[host].frozen_until_ms = self.now_ms() + for_ms;
    }

    pub(super) fn stop(&mut self, host: usize) {
        let incarnation = self.hosts[host].incarnation;
        self.schedule(0, SimEvent::Host(host, incarnation, Event::Stop));
    }

    pub(super) fn is_up(&self, host: usize) -> bool {
        self.hosts[host].state.is_some()
    }

    /// Crashes a target, which restarts after 0.1 to 1.5 s.
    pub(super) fn crash(&mut self, target: usize) {
        let now_ms = self.now_ms();
        let down_ms = self.rng.random_range(100..1_500);
        let name = self.targets.keys().nth(target).cloned();
        if let Some(name) = name {
            self.crash_for(&name, now_ms + down_ms);
        }
    }

    /// Advances the simulated time.
    pub(super) fn run_for(&mut self, for_ms: u64) {
        let end = self.now_ms() + for_ms;
        while let Some((at, event)) = self.events.pop_until(end) {
            self.time.set(at);
            self.advance_targets();
            self.handle(event);
            self.check_invariants();
        }
        self.time.set(end);
    }

    fn advance_targets(&mut self) {
        let now_ms = self.now_ms();
        for target in self.targets.values_mut() {
            target.advance(now_ms);
        }
    }

    fn check_invariants(&mut self) {
        if self.has_unsafe_run {
            return;
        }
        let now_ms = self.now_ms();
        let known = self.violations.len();
        let mut seen: BTreeSet<&Task> = BTreeSet::new();
        for target in self.targets.values() {
            for task in target.running.keys() {
                if !seen.insert(task) {
                    self.violations.push(format!("{now_ms} ms: {task} runs twice"));
                }
            }
        }
        self.has_unsafe_run = self.violations.len() > known;
    }

    fn schedule(&mut self, in_ms: u64, event: SimEvent) {
        self.events.push(self.now_ms() + in_ms, event);
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Wake(host, incarnation) => {
                if self.hosts[host].incarnation == incarnation && self.is_up(host) {
                    self.schedule(50, SimEvent::Wake(host, incarnation));
                    if self.now_ms() / 700 != (self.now_ms() + 50) / 700 {
                        self.read_targets(host);
                    }
                    self.set_handled_until_lag(host);
                    self.run_host(host, None);
                }
            }
            SimEvent::Host(host, incarnation, event) => {
                if self.hosts[host].incarnation == incarnation
                    && self.is_up(host)
                    && let Some(event) = self.put_off(host, event)
                {
                    self.run_host(host, Some(event));
                }
            }
            SimEvent::Late { host, incarnation, came_ms, event } => {
                if self.hosts[host].incarnation == incarnation && self.is_up(host) {
                    self.set_handled_until(host, came_ms);
                    self.run_host(host, Some(event));
                }
            }
            SimEvent::Call { host, incarnation, call, is_answered, started_at_ms } => {
                let current =
                    self.targets.get(&call.target).map(|target| target.entry.started_at_ms);
                let is_partitioned =
                    self.target_partitions.contains_key(&(host, call.target.clone()));
                if started_at_ms.is_none() || (started_at_ms == current && !is_partitioned) {
                    self.deliver_call(host, incarnation, call, is_answered);
                }
            }
            SimEvent::LongPoll { host, incarnation, call, until_ms } => {
                self.long_poll(host, incarnation, call, until_ms)
            }
            SimEvent::Deliver { host, incarnation, to } => {
                self.deliver_batch(host, incarnation, to)
            }
            SimEvent::DelayedBatch(to, batch) => {
                let (request_id, incarnation) = (self.new_request_id(), self.hosts[to].incarnation);
                let event = Event::Request(request_id, Request::Deliver(batch));
                self.schedule(0, SimEvent::Host(to, incarnation, event));
            }
            SimEvent::Crash(target) => self.crash_poisoned(&target),
            SimEvent::Heal(one, other) => self.set_partition(one, other, false),
            SimEvent::Submit(id) => self.submit_attempt(&id),
            SimEvent::CallerTimeout(id, attempt) => {
                let caller = &self.callers[&id];
                if caller.is_waiting && caller.attempt == attempt {
                    self.record_outcome(&id, None);
                }
            }
        }
    }

    /// Runs a host with an event. Events for a frozen host wait until it resumes.
    fn run_host(&mut self, host: usize, event: Option<Event>) {
        if self.now_ms() < self.hosts[host].frozen_until_ms {
            self.hosts[host].pending_events.extend(event);
            return;
        }
        let events = std::mem::take(&mut self.hosts[host].pending_events);
        let Some(state) = &mut self.hosts[host].state else {
            return;
        };
        state.detect_pause();
        events.into_iter().chain(event).for_each(|event| state.handle(event));
        for action in state.advance() {
            self.execute(host, action);
        }
    }

    fn execute(&mut self, host: usize, action: Action) {
        let incarnation = self.hosts[host].incarnation;
        if self.is_traced {
            println!("{} ms h{host}: {action:?}", self.now_ms());
        }
        match action {
            Action::Respond(request_id, Response::Outcome(outcome)) => {
                if let Some(id) = self.open_requests.remove(&(host, request_id)) {
                    self.record_outcome(&id, Some(outcome));
                }
            }
            Action::Respond(request_id, Response::Cancelled(verdict)) => {
                if let Some(id) = self.open_cancels.remove(&(host, request_id)) {
                    self.cancel_answers.push((id, verdict));
                }
            }
            Action::Respond(request_id, Response::Ack(ack)) => {
                self.acknowledge_batch(host, request_id, ack);
            }
            Action::Call(call) => {
                self.record_target_claim(host, &call);
                if self.rng.random_bool(self.fault_rates.call_lost) {
                    let is_late = self.rng.random_bool(self.fault_rates.late);
                    if is_late {
                        let after = self.rng.random_range(2_000..12_000);
                        let call = call.clone();
                        // A target that is down receives nothing, nor does its next incarnation.
                        let now_ms = self.now_ms();
                        let receiver = self.targets.get(&call.target);
                        let receiver = receiver.filter(|target| !target.is_down(now_ms));
                        let started_at_ms =
                            Some(receiver.map_or(u64::MAX, |target| target.entry.started_at_ms));
                        self.schedule(
                            after,
                            SimEvent::Call {
                                host,
                                incarnation,
                                call,
                                is_answered: false,
                                started_at_ms,
                            },
                        );
                    }
                    let timeout = call.timeout.as_millis() as u64;
                    let event = Event::TargetResponded(Box::new(call), lease::Response::NoResponse);
                    return self.schedule(timeout, SimEvent::Host(host, incarnation, event));
                }
                let is_answered = !self.rng.random_bool(self.fault_rates.response_lost);
                let delay = self.rng.random_range(1..4);
                self.schedule(
                    delay,
                    SimEvent::Call { host, incarnation, call, is_answered, started_at_ms: None },
                );
            }
            Action::Send(to, message) => {
                let is_about_split = matches!(message, Message::Split(_) | Message::Share(_));
                self.split_messages += u32::from(is_about_split);
                let now_ms = self.now_ms();
                let recorded = self.messages.as_mut();
                recorded.into_iter().for_each(|all| all.push((now_ms, host, to, message.kind())));
                let Some(message) = self.as_sent(host, to, message) else {
                    return;
                };
                self.grants += u32::from(matches!(message, Message::Grant(_)));
                self.send_message(host, to, message);
            }
            Action::Disconnect(to) => {
                if let Some(channel) = self.hosts[host].channels.get_mut(&to) {
                    channel.start_session();
                }
            }
            Action::Exit => self.end(host),
            Action::Record(Record::StewardshipTaken { zone, token }) => {
                self.record_zone_claim(host, &Claim { zone, token });
            }
            Action::Record(record) => {
                self.fenced_calls += u32::from(matches!(record, Record::TargetFenced { .. }));
                self.orphans += u32::from(matches!(record, Record::OrphanStopped { .. }));
                self.shared_tokens += u32::from(matches!(record, Record::TokenShared { .. }));
                self.evacuations.record(&record);
            }
            Action::Respond(..) | Action::Publish(_) => {}
        }
    }
}
