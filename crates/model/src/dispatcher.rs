//! The dispatcher as a policy: the control state of each host with simulated I/O.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use coltsfootshunt_core::clock::Clock;
use coltsfootshunt_core::name::{Target, Zone};
use coltsfootshunt_fleet::config::{Document, Limits, Route, Stretch};
use coltsfootshunt_fleet::control::{self, Action, Backlog, Request, Response, State};
use coltsfootshunt_fleet::density::MAX_TARGETS_PER_CORE;
use coltsfootshunt_fleet::directory::{self, Entry};
use coltsfootshunt_fleet::job::{
    Id, Outcome, Plan, RequestId, Requirements, Resources, Step, Submission,
};
use coltsfootshunt_fleet::lease::{Call, Order, Response as TargetResponse, Term};
use coltsfootshunt_fleet::member::Identity;
use coltsfootshunt_fleet::peer::{Batch, MAX_ACK_AGE, Message};
use coltsfootshunt_fleet::steward;
use coltsfootshunt_fleet::store::{Listing, Update};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::event_queue::EventQueue;
use crate::load::{
    ALLOWANCE, Job, KINDS, Kind, Load, ROUTE_TIMEOUT, STRETCH, Workload, is_middle_third,
};
use crate::policy::{Answer, Policy};
use crate::sim_target::SimTarget;

/// One-way network latency to a target or to another host.
const LATENCY: Duration = Duration::from_micros(500);
/// Lease term of targets.
const LEASE_TERM: Term =
    Term { max: Duration::from_secs(1), resend_after: Duration::from_millis(1_300) };
/// Time for which hosts run before the first job arrives, so that each zone has a steward by then.
const WARM_UP: Duration = Duration::from_secs(2);
const MAX_ATTEMPTS: u32 = 2;
/// Seed of the choice of calls that stay unanswered.
const SEED: u64 = 1;
/// Memory of a target. Tasks need 1 MB each, so that memory never limits them.
const TARGET_MEMORY_MB: u64 = 1 << 20;
/// CPU of a host, in thousandths of a core.
const HOST_CPU_MILLIS: u32 = 250;
/// Maximum number of events that a host handles in one iteration, as in its control thread.
const MAX_EVENTS_PER_ITERATION: usize = 128;
/// Interval between the checks whether a host that is behind may run its timers.
const WAKE_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// The dispatcher with a number of availability zones and hosts. One host of each zone is the
/// steward of its targets.
#[derive(Clone, Copy, Debug)]
pub struct Dispatcher {
    /// Number of availability zones. The targets are spread over them.
    pub zones: usize,
    /// Number of hosts in each zone.
    pub hosts_per_zone: usize,
}

impl Default for Dispatcher {
    fn default() -> Self {
        Self { zones: 1, hosts_per_zone: 1 }
    }
}

impl Policy for Dispatcher {
    fn name(&self) -> &'static str {
        "coltsfootshunt"
    }

    fn simulate(&self, load: &Load) -> Vec<Answer> {
        let mut simulation = Simulation::new(self, load);
        simulation.run();
        simulation
            .answers
            .into_iter()
            .zip(&load.jobs)
            .map(|(answer, job)| answer.unwrap_or(Answer::Abandoned(job.patience())))
            .collect()
    }
}

/// A clock that only moves when the simulation sets it.
#[derive(Debug)]
struct VirtualClock {
    start: Instant,
    /// Virtual time since the start.
    elapsed: Mutex<Duration>,
}

impl VirtualClock {
    fn set(&self, to: Duration) {
        *self.elapsed.lock().expect("no thread panics while it holds the lock") = to;
    }
}

impl Clock for VirtualClock {
    fn now(&self) -> Instant {
        self.start + self.uptime()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.uptime()
    }

    fn uptime(&self) -> Duration {
        *self.elapsed.lock().expect("no thread panics while it holds the lock")
    }
}

#[derive(Debug)]
enum Event {
    /// A job arrives, given by its index in the load.
    JobArrived(usize),
    /// The caller of a job leaves.
    CallerLeft(usize),
    /// A host runs its timers.
    Wake(usize),
    /// A host handles the events that wait.
    HostReady(usize),
    /// An event reaches a host.
    HostInput(usize, Box<control::Event>),
    /// A call of a host reaches its target.
    CallReceived(usize, Call),
    /// A run may have ended at a target.
    RunEnded(Target),
    /// The longest wait of a renewal is over.
    RenewalTimedOut(usize, Call),
}

struct Host {
    identity: Identity,
    state: State,
    /// Sessions to other hosts.
    sessions: BTreeMap<SocketAddr, Session>,
    /// Events that wait, each with its arrival. `None` stands for the timers.
    inbox: VecDeque<(Duration, Option<control::Event>)>,
    /// Time until which the host handles earlier events.
    busy_until: Duration,
}

/// The sending side of a session.
#[derive(Default)]
struct Session {
    /// Sequence number of the last batch.
    sequence: u64,
    /// Time of the last batch.
    sent_at: Option<Duration>,
    /// Time at which the last batch arrives, before which no later one does.
    arrives_at: Duration,
}

struct TargetState {
    /// Index of the target in the load.
    index: usize,
    sim: SimTarget,
    /// Renewals that wait for the end of a run, each with its host.
    renewals: Vec<(usize, Call)>,
}

struct Simulation<'a> {
    load: &'a Load,
    clock: Arc<VirtualClock>,
    events: EventQueue<Duration, Event>,
    rng: StdRng,
    hosts: Vec<Host>,
    targets: BTreeMap<Target, TargetState>,
    /// Answer to each job of the load. `None` while it is open.
    answers: Vec<Option<Answer>>,
}

/// Parses a name that the simulation itself makes up.
fn parse_name<T: for<'a> TryFrom<&'a str, Error: std::fmt::Debug>>(name: &str) -> T {
    T::try_from(name).expect("names of the simulation are valid")
}

fn zone_name(number: usize) -> Zone {
    parse_name(&format!("z{number}"))
}

fn host_address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1 + host as u16))
}

impl<'a> Simulation<'a> {
    fn new(dispatcher: &Dispatcher, load: &'a Load) -> Self {
        let clock = Arc::new(VirtualClock { start: Instant::now(), elapsed: Mutex::default() });
        let entries: Vec<Entry> = directory_entries(dispatcher, load);
        let targets = entries.iter().enumerate().map(|(index, entry)| {
            let state = TargetState { index, sim: SimTarget::default(), renewals: Vec::new() };
            (entry.name.clone(), state)
        });
        let mut simulation = Self {
            load,
            clock: Arc::clone(&clock),
            events: EventQueue::default(),
            rng: StdRng::seed_from_u64(SEED),
            hosts: Vec::new(),
            targets: targets.collect(),
            answers: vec![None; load.jobs.len()],
        };
        let document = Arc::new(config_document(&load.pattern.workload));
        for number in 0..dispatcher.zones * dispatcher.hosts_per_zone {
            let identity = Identity {
                host: parse_name(&format!("h{number}")),
                zone: zone_name(number % dispatcher.zones),
                incarnation: 1 + number as u64,
                address: host_address(number),
                cpu_millis: host_cpu_millis(dispatcher, load),
            };
            let settings = control::Settings {
                identity: identity.clone(),
                seeds: (0..dispatcher.zones * dispatcher.hosts_per_zone)
                    .map(host_address)
                    .collect(),
                steward: steward::Settings { term: LEASE_TERM, remote_factor: 1.0 },
                stop_timeout: WARM_UP,
                // The model's hosts read the list once.
                max_targets_age: Duration::MAX,
                targets_per_core: 150,
                evacuation: coltsfootshunt_fleet::evacuation::Settings::default(),
            };
            let state = State::new(settings, Arc::clone(&clock) as Arc<dyn Clock>);
            simulation.hosts.push(Host {
                identity,
                state,
                sessions: BTreeMap::new(),
                inbox: VecDeque::new(),
                busy_until: Duration::ZERO,
            });
            let listing = Listing::from(entries.clone());
            for update in [Update::Document(Arc::clone(&document)), Update::Targets(listing)] {
                let event = Box::new(control::Event::Store(update));
                simulation.events.push(Duration::ZERO, Event::HostInput(number, event));
            }
            simulation.events.push(Duration::ZERO, Event::Wake(number));
        }
        simulation
    }

    fn run(&mut self) {
        for (number, job) in self.load.jobs.iter().enumerate() {
            self.events.push(WARM_UP + job.arrives_at, Event::JobArrived(number));
            let leaves_at = WARM_UP + job.arrives_at + job.patience();
            self.events.push(leaves_at, Event::CallerLeft(number));
        }
        let patience = self.load.jobs.iter().map(Job::patience).max().unwrap_or_default();
        let end = WARM_UP + self.load.duration + patience;
        while let Some((at, event)) = self.events.pop_until(end) {
            self.clock.set(at);
            self.handle(event, at);
        }
    }

    fn handle(&mut self, event: Event, at: Duration) {
        match event {
            Event::JobArrived(number) => {
                let request = Request::Submit(self.submission(number));
                let event = control::Event::Request(RequestId(number as u64), request);
                self.deliver(self.receiving_host(number), Some(event), at);
            }
            Event::CallerLeft(number) => {
                if self.answers[number].is_none() {
                    self.answers[number] =
                        Some(Answer::Abandoned(self.load.jobs[number].patience()));
                    let event =
                        control::Event::CallerLeft(job_id(number), RequestId(number as u64));
                    self.deliver(self.receiving_host(number), Some(event), at);
                }
            }
            Event::HostReady(host) => self.handle_inbox(host, at),
            Event::Wake(host) if !self.hosts[host].inbox.is_empty() => {
                self.events.push(at + WAKE_RETRY_INTERVAL, Event::Wake(host));
            }
            Event::Wake(host) => {
                self.deliver(host, None, at);
                let next = self.hosts[host].state.next_wake();
                let next = next.saturating_duration_since(self.clock.start);
                self.events.push(next.max(at + LATENCY), Event::Wake(host));
            }
            Event::HostInput(host, event) => self.deliver(host, Some(*event), at),
            Event::CallReceived(host, call) => self.execute_call(host, call, at),
            Event::RunEnded(target) => self.retry_renewals(&target, at),
            Event::RenewalTimedOut(host, call) => {
                if let Some(target) = self.targets.get_mut(&call.target)
                    && let Some(index) =
                        target.renewals.iter().position(|(_, other)| is_same(other, &call))
                {
                    target.renewals.remove(index);
                    self.respond_with_report(host, call, at);
                }
            }
        }
    }

    /// Index of the host that receives a job.
    fn receiving_host(&self, number: usize) -> usize {
        number % self.hosts.len()
    }

    fn submission(&self, number: usize) -> Submission {
        let job = &self.load.jobs[number];
        let resources = Resources { cpu_millis: job.cpu_millis, memory_mb: 1, accelerators: 0 };
        let estimate_ms = job.estimate.as_millis() as u64;
        let requirements = Requirements { resources, estimate_ms, ..Requirements::default() };
        let step = Step { count: job.tasks.len() as u32, requirements, after: Vec::new() };
        let plan = Plan::new("work".into(), vec![step]).expect("a job of a load has tasks");
        let kind = parse_name(KINDS[job.kind].name);
        Submission {
            id: job_id(number),
            kind,
            plan: Arc::new(plan),
            patience: job.patience().into(),
        }
    }

    /// Has a host handle an event, at once or after those that wait.
    fn deliver(&mut self, host: usize, event: Option<control::Event>, at: Duration) {
        if self.load.pattern.event_cost.is_zero() {
            return self.advance_host(host, vec![event], (at, at));
        }
        let Host { inbox, busy_until, .. } = &mut self.hosts[host];
        inbox.push_back((at, event));
        if inbox.len() == 1 {
            self.events.push(at.max(*busy_until), Event::HostReady(host));
        }
    }

    /// Has a host handle the events that wait. Each takes some time.
    fn handle_inbox(&mut self, host: usize, at: Duration) {
        let Host { inbox, busy_until, state, .. } = &mut self.hosts[host];
        let age = inbox.front().map(|(came_at, _)| at - *came_at).unwrap_or_default();
        state.set_backlog(Backlog::from(age));
        let count = inbox.len().min(MAX_EVENTS_PER_ITERATION);
        let events = inbox.drain(..count).map(|(_, event)| event).collect();
        let end = at + self.load.pattern.event_cost * count as u32;
        *busy_until = end;
        if !inbox.is_empty() {
            self.events.push(end, Event::HostReady(host));
        }
        self.advance_host(host, events, (at, end));
    }

    /// Has a host handle events and advance its state, and executes the actions that follow at the end.
    fn advance_host(
        &mut self,
        host: usize,
        events: Vec<Option<control::Event>>,
        (at, end): (Duration, Duration),
    ) {
        self.clock.set(at);
        let state = &mut self.hosts[host].state;
        state.detect_pause();
        events.into_iter().flatten().for_each(|event| state.handle(event));
        for action in state.advance() {
            self.execute(host, action, end);
        }
    }

    fn execute(&mut self, host: usize, action: Action, at: Duration) {
        match action {
            Action::Respond(RequestId(number), Response::Outcome(outcome)) => {
                self.record_outcome(number as usize, outcome, at);
            }
            Action::Call(call) => {
                if self.rng.random_bool(self.load.pattern.unanswered_share) {
                    let timeout = call.timeout;
                    let event =
                        control::Event::TargetResponded(Box::new(call), TargetResponse::NoResponse);
                    return self.events.push(at + timeout, Event::HostInput(host, Box::new(event)));
                }
                self.events.push(at + LATENCY, Event::CallReceived(host, call));
            }
            Action::Send(to, message) => self.send(host, to, message, at),
            Action::Respond(..)
            | Action::Disconnect(_)
            | Action::Publish(_)
            | Action::Record(_)
            | Action::Exit => {}
        }
    }

    fn record_outcome(&mut self, number: usize, outcome: Outcome, at: Duration) {
        let elapsed = at - WARM_UP - self.load.jobs[number].arrives_at;
        let answer = match outcome {
            Outcome::Completed => Answer::Completed(elapsed),
            Outcome::Refused { .. } => Answer::Refused(elapsed),
            Outcome::Failed | Outcome::Unknown | Outcome::Cancelled => Answer::Abandoned(elapsed),
        };
        self.answers[number].get_or_insert(answer);
    }

    fn send(&mut self, host: usize, to: SocketAddr, message: Message, at: Duration) {
        let sender = &mut self.hosts[host];
        let session = sender.sessions.entry(to).or_default();
        let is_recent = session.sent_at.is_some_and(|sent_at| at < sent_at + MAX_ACK_AGE);
        // As in the outbox, a batch without messages goes ahead and is acknowledged first.
        let mut batches = vec![(vec![message], LATENCY)];
        if batches[0].0[0].is_about_jobs() && !is_recent {
            batches[0].1 = LATENCY * 3;
            batches.insert(0, (Vec::new(), LATENCY));
        }
        session.sent_at = Some(at);
        let receiver = self.hosts.iter().position(|other| other.identity.address == to);
        for (messages, delay) in batches {
            let sender = &mut self.hosts[host];
            let session = sender.sessions.entry(to).or_default();
            session.sequence += 1;
            session.arrives_at = session.arrives_at.max(at + delay);
            let batch = Batch {
                from: sender.identity.clone(),
                session: 1,
                sequence: session.sequence,
                messages,
            };
            let event = control::Event::Request(RequestId(u64::MAX), Request::Deliver(batch));
            if let Some(receiver) = receiver {
                let event = Event::HostInput(receiver, Box::new(event));
                self.events.push(session.arrives_at, event);
            }
        }
    }

    /// Executes a call at its target.
    fn execute_call(&mut self, host: usize, call: Call, at: Duration) {
        let Some(target) = self.targets.get_mut(&call.target) else {
            return;
        };
        match &call.order {
            Order::Renew { acknowledged, max_wait, .. } => {
                target.sim.advance(at);
                target.renewals.retain(|(_, other)| !is_same(other, &call));
                if target.sim.has_unacknowledged(*acknowledged) || max_wait.is_zero() {
                    return self.respond_with_report(host, call, at);
                }
                target.renewals.push((host, call.clone()));
                self.events.push(at + *max_wait, Event::RenewalTimedOut(host, call));
            }
            Order::Start { task, run, .. } => {
                let job = usize::from_str_radix(&String::from(task.job.clone()), 16)
                    .expect("job identifiers are hexadecimal indices");
                let properties = self.load.targets[target.index];
                let run_time =
                    self.load.jobs[job].tasks[task.index as usize].mul_f64(properties.slowness);
                let is_hanging = properties.hangs
                    && is_middle_third(at.saturating_sub(WARM_UP), self.load.duration);
                let starts_at = if is_hanging { WARM_UP + self.load.duration * 2 / 3 } else { at };
                target.sim.start(task.clone(), *run, starts_at + run_time);
                self.events.push(starts_at + run_time, Event::RunEnded(call.target.clone()));
                self.respond(
                    host,
                    call,
                    TargetResponse::Accepted { clock_ms: at.as_millis() as u64 },
                    at,
                );
            }
            Order::Stop { task, .. } => {
                target.sim.stop(task);
                self.events.push(at, Event::RunEnded(call.target.clone()));
                self.respond(
                    host,
                    call,
                    TargetResponse::Accepted { clock_ms: at.as_millis() as u64 },
                    at,
                );
            }
        }
    }

    /// Executes the waiting renewals of a target again. Those without an end to report go on
    /// waiting.
    fn retry_renewals(&mut self, target: &Target, at: Duration) {
        let Some(target) = self.targets.get_mut(target) else {
            return;
        };
        target.sim.advance(at);
        for (host, call) in std::mem::take(&mut target.renewals) {
            self.execute_call(host, call, at);
        }
    }

    fn respond_with_report(&mut self, host: usize, call: Call, at: Duration) {
        if let Some(target) = self.targets.get(&call.target) {
            let report = target.sim.report(at);
            self.respond(host, call, TargetResponse::Report(report), at);
        }
    }

    fn respond(&mut self, host: usize, call: Call, response: TargetResponse, at: Duration) {
        let event = control::Event::TargetResponded(Box::new(call), response);
        self.events.push(at + LATENCY, Event::HostInput(host, Box::new(event)));
    }
}

/// Directory entries of the targets.
fn directory_entries(dispatcher: &Dispatcher, load: &Load) -> Vec<Entry> {
    let workload = &load.pattern.workload;
    let rotation = workload.slowness_factors.len() * workload.targets_per_factor;
    let entry = |(number, target): (usize, &crate::load::Target)| Entry {
        name: parse_name(&format!("t{number}")),
        started_at_ms: 1,
        address: host_address(0),
        // Consecutive targets with all slowness factors go to one zone, so that each zone has its
        // share of fast targets.
        zone: zone_name(number / rotation % dispatcher.zones),
        service: parse_name("service"),
        capacity: Resources {
            cpu_millis: target.cpu_millis,
            memory_mb: TARGET_MEMORY_MB,
            accelerators: 0,
        },
        labels: Vec::new(),
        state: directory::State::Ready,
        is_cold: false,
    };
    load.targets.iter().enumerate().map(entry).collect()
}

/// The configuration with one route for each kind.
fn config_document(workload: &Workload) -> Document {
    let route = |kind: &Kind| Route {
        kind: parse_name(kind.name),
        authority: "model".into(),
        prefix: kind.name.into(),
        service: parse_name("service"),
        priority: kind.priority,
        max_attempts: MAX_ATTEMPTS,
        timeout: ROUTE_TIMEOUT,
        stretch: Stretch::try_from(STRETCH).expect("STRETCH is a valid factor"),
        allowance: ALLOWANCE,
    };
    let limits = Limits {
        max_header_bytes: 1 << 14,
        max_body_bytes: 1 << 18,
        read_timeout: WARM_UP,
        idle_timeout: WARM_UP,
    };
    Document { version: 1, routes: workload.kinds.iter().map(route).collect(), limits }
}

/// CPU of each host. In a dense load it is just too small for the targets of a zone.
fn host_cpu_millis(dispatcher: &Dispatcher, load: &Load) -> u32 {
    if !load.pattern.is_dense {
        return HOST_CPU_MILLIS;
    }
    let targets_per_zone = load.targets.len() / dispatcher.zones;
    (targets_per_zone.saturating_sub(1) * 1_000 / MAX_TARGETS_PER_CORE) as u32
}

fn job_id(number: usize) -> Id {
    Id::try_from(format!("{number:016x}").as_str())
        .expect("sixteen hexadecimal digits are an identifier")
}

/// Whether a renewal takes the place of another at its target: a host has one there that extends the lease and one
/// that watches the idle target.
fn is_same(one: &Call, other: &Call) -> bool {
    let extends = |call: &Call| matches!(call.order, Order::Renew { lease_until_ms: Some(_), .. });
    one.token == other.token && extends(one) == extends(other)
}
