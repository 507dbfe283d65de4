//! Hosts, targets, the network between them and callers, in one thread with one clock.

mod callers;
mod network;
mod partitions;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use coltsfootshunt_core::clock::Clock;
use coltsfootshunt_model::agenda::Agenda;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::target::{LEASE_MS, Target};
use crate::config::tests::{document, route};
use crate::control::{Action, Event, Request, Response, Settings, State};
use crate::directory;
use crate::job::{Id, Outcome, Plan, RequestId, Task};
use crate::lease::{self, Call, Term};
use crate::member::Identity;
use crate::peer::{Batch, Message};
use crate::report::Record;
use crate::steward;
use crate::store::{Listing, Update};

pub(super) use partitions::Cut;

/// Zones of the world; each has two hosts and some targets.
pub(super) const ZONES: [&str; 2] = ["a", "b"];
const TARGETS_PER_ZONE: usize = 3;
const CAPACITY: u64 = 32_000;
/// Time after which a caller that got no answer sends its job again, in milliseconds.
const RESEND_MS: u64 = 1_300;
const PATIENCE_MS: u64 = 1_500;
/// Time after which a batch that can't be delivered ends its session, in milliseconds.
const GIVE_UP_MS: u64 = 700;

pub(super) struct Time {
    start: Instant,
    now_ms: Mutex<u64>,
}

impl Time {
    pub(super) fn new() -> Self {
        Self { start: Instant::now(), now_ms: Mutex::new(0) }
    }

    pub(super) fn set(&self, now_ms: u64) {
        *self.now_ms.lock().unwrap() = now_ms;
    }

    fn now_ms(&self) -> u64 {
        *self.now_ms.lock().unwrap()
    }
}

impl Clock for Time {
    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms())
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000) + self.uptime()
    }

    fn uptime(&self) -> Duration {
        Duration::from_millis(self.now_ms())
    }
}

enum Happening {
    /// A batch that a cut held up arrives.
    HeldUp(usize, Batch),
    /// A cut between two hosts ends.
    Mend(usize, usize),
    /// A host looks around.
    Wake(usize, u64),
    /// Something reaches a host; the number names the run of its process.
    Event(usize, u64, Event),
    /// A call reaches a target; whether its answer gets back. A target that was left with it and
    /// crashed meanwhile has lost it with all else: `born` tells which life was left with it.
    Call { host: usize, run: u64, call: Call, answered: bool, started_at_ms: Option<u64> },
    /// A waiting renewal is looked at again.
    Hold { host: usize, run: u64, call: Call, until_ms: u64 },
    /// A host tries to deliver what it has for another.
    Deliver { host: usize, run: u64, to: SocketAddr },
    /// A caller sends its job.
    Send(Id),
    /// A caller gives up waiting.
    GiveUp(Id, u32),
}

/// What a host has for another, as the sending side of a session does it.
struct Lane {
    session: u64,
    number: u64,
    queue: Vec<Message>,
    batch: Vec<Message>,
    /// Since when the batch under way is tried.
    trying: Option<u64>,
}

struct Host {
    identity: Identity,
    state: Option<State>,
    run: u64,
    frozen_until: u64,
    lanes: BTreeMap<SocketAddr, Lane>,
    held: Vec<Event>,
}

impl Lane {
    fn new() -> Self {
        Self { session: 1, number: 0, queue: Vec::new(), batch: Vec::new(), trying: None }
    }

    /// Begins a new session.
    fn begin(&mut self) {
        self.session += 1;
        self.number = 0;
        self.queue.clear();
        self.batch.clear();
    }
}

struct Caller {
    host: usize,
    attempt: u32,
    sent: u32,
    open: bool,
    outcomes: Vec<Option<Outcome>>,
    plan: Arc<Plan>,
    takes_ms: u64,
}

/// Chances of failures, each for one call or message.
#[derive(Clone, Copy, Default)]
pub(super) struct Chances {
    pub(super) call_lost: f64,
    pub(super) answer_lost: f64,
    pub(super) late: f64,
    pub(super) fails: f64,
    /// A target turns the call away and does nothing.
    pub(super) sheds: f64,
    /// A run takes eight times as long as its caller says.
    pub(super) hangs: f64,
}

pub(super) struct World {
    time: Arc<Time>,
    hosts: Vec<Host>,
    pub(super) targets: BTreeMap<coltsfootshunt_core::name::Target, Target>,
    agenda: Agenda<u64, Happening>,
    callers: BTreeMap<Id, Caller>,
    request_ids: BTreeMap<(usize, RequestId), Id>,
    next_ticket: u64,
    rng: StdRng,
    pub(super) chances: Chances,
    /// Run times on all targets of a zone but its first, in percent of those there.
    pub(super) slow_percent: u64,
    /// Cuts from one host to another.
    cuts: BTreeMap<(usize, usize), Cut>,
    /// Whether bytes that a cut between hosts holds up arrive when it ends, as on the platform.
    pub(super) holds_up: bool,
    /// What cuts hold up, by sender and receiver.
    held_up: Vec<(usize, usize, Batch)>,
    /// Cuts from a host to a target that lives.
    severed: BTreeMap<(usize, coltsfootshunt_core::name::Target), Cut>,
    /// Targets that the list of the store lacks.
    hidden: BTreeSet<coltsfootshunt_core::name::Target>,
    /// The host that callers send to; any, if none.
    door: Option<usize>,
    pub(super) starts: BTreeMap<Task, u32>,
    /// Messages with which owners granted tasks that stood with several stewards.
    pub(super) grants: u32,
    /// How often a steward heard from a target that another one has it.
    pub(super) fences: u32,
    pub(super) broken: Vec<String>,
    /// Whether what hosts do is printed; by `COLTSFOOTSHUNT_TRACE`.
    traced: bool,
}

impl World {
    pub(super) fn new(seed: u64) -> Self {
        let time = Arc::new(Time::new());
        let mut world = Self {
            time,
            hosts: Vec::new(),
            targets: BTreeMap::new(),
            agenda: Agenda::default(),
            callers: BTreeMap::new(),
            request_ids: BTreeMap::new(),
            next_ticket: 1,
            rng: StdRng::seed_from_u64(seed),
            chances: Chances::default(),
            slow_percent: 100,
            cuts: BTreeMap::new(),
            holds_up: false,
            held_up: Vec::new(),
            severed: BTreeMap::new(),
            hidden: BTreeSet::new(),
            door: None,
            starts: BTreeMap::new(),
            grants: 0,
            fences: 0,
            broken: Vec::new(),
            traced: std::env::var_os("COLTSFOOTSHUNT_TRACE").is_some(),
        };
        for (number, zone) in ZONES.iter().flat_map(|zone| [zone, zone]).enumerate() {
            let identity = Identity {
                address: format!("10.0.0.{}:1", number + 1).parse().unwrap(),
                ..crate::member::tests::identity(&format!("h{number}"), zone, 250)
            };
            let lanes = BTreeMap::new();
            let held = Vec::new();
            let host = Host { identity, state: None, run: 0, frozen_until: 0, lanes, held };
            world.hosts.push(host);
        }
        for (number, zone) in ZONES.iter().enumerate() {
            for each in 0..TARGETS_PER_ZONE {
                let mut entry = directory::tests::entry(&format!("t{number}{each}"), zone);
                entry.capacity.cpu_millis = CAPACITY;
                world.targets.insert(entry.name.clone(), Target::new(entry, 0));
            }
        }
        (0..world.hosts.len()).for_each(|host| world.start(host));
        world
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.time.now_ms()
    }

    pub(super) fn hosts(&self) -> usize {
        self.hosts.len()
    }

    pub(super) fn chance(&mut self, chance: f64) -> bool {
        self.rng.random_bool(chance)
    }

    pub(super) fn pick(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below)
    }

    /// Starts a host's process, or starts it again.
    pub(super) fn start(&mut self, host: usize) {
        let seeds = self.hosts.iter().map(|one| one.identity.address).collect();
        let one = &mut self.hosts[host];
        one.run += 1;
        one.identity.incarnation = one.run * 16 + host as u64;
        one.lanes.clear();
        one.held.clear();
        let repeat = Duration::from_millis(RESEND_MS);
        let term = Term { max: Duration::from_millis(LEASE_MS), resend_after: repeat };
        let settings = Settings {
            identity: one.identity.clone(),
            seeds,
            steward: steward::Settings { term, remote_factor: 1.5 },
            stop_timeout: Duration::from_secs(5),
        };
        let clock: Arc<dyn Clock> = Arc::clone(&self.time) as _;
        one.state = Some(State::new(settings, clock));
        let run = one.run;
        let news = Update::Document(Arc::new(document(1, vec![route("cut", "/a/")])));
        self.happen(1, Happening::Event(host, run, Event::Store(news)));
        self.read_targets(host);
        self.happen(1, Happening::Wake(host, run));
    }

    /// A host reads the list of targets.
    fn read_targets(&mut self, host: usize) {
        let entries = self.targets.values().map(|target| target.entry.clone());
        let entries: Vec<_> = entries.filter(|entry| !self.hidden.contains(&entry.name)).collect();
        let run = self.hosts[host].run;
        let news = Event::Store(Update::Targets(Listing::from(entries)));
        self.happen(2, Happening::Event(host, run, news));
    }

    pub(super) fn kill(&mut self, host: usize) {
        self.hosts[host].state = None;
        let open: Vec<Id> = self
            .callers
            .iter()
            .filter(|(_, caller)| caller.host == host && caller.open)
            .map(|(id, _)| id.clone())
            .collect();
        open.iter().for_each(|id| self.answered(id, None));
    }

    pub(super) fn freeze(&mut self, host: usize, for_ms: u64) {
        self.hosts[host].frozen_until = self.now_ms() + for_ms;
    }

    pub(super) fn stop(&mut self, host: usize) {
        let run = self.hosts[host].run;
        self.happen(0, Happening::Event(host, run, Event::Stop));
    }

    pub(super) fn is_up(&self, host: usize) -> bool {
        self.hosts[host].state.is_some()
    }

    /// A target goes down, breaks its connections, and starts again a little later.
    pub(super) fn crash(&mut self, target: usize) {
        let now_ms = self.now_ms();
        let down_ms = self.rng.random_range(100..1_500);
        if let Some(target) = self.targets.values_mut().nth(target) {
            target.crash(now_ms + down_ms);
        }
    }

    /// Lets time pass.
    pub(super) fn run_for(&mut self, for_ms: u64) {
        let end = self.now_ms() + for_ms;
        while let Some((at, happening)) = self.agenda.next_by(end) {
            self.time.set(at);
            self.pass();
            self.act(happening);
            self.check();
        }
        self.time.set(end);
    }

    fn pass(&mut self) {
        let now_ms = self.now_ms();
        for target in self.targets.values_mut() {
            target.pass(now_ms);
        }
    }

    fn check(&mut self) {
        if !self.broken.is_empty() {
            return;
        }
        let now_ms = self.now_ms();
        let mut seen: BTreeSet<&Task> = BTreeSet::new();
        for target in self.targets.values() {
            if !target.entry.capacity.covers(&target.used()) {
                let name = &target.entry.name;
                self.broken.push(format!("{now_ms} ms: {name} is over its room"));
            }
            for task in target.running.keys() {
                if !seen.insert(task) {
                    self.broken.push(format!("{now_ms} ms: {task} runs twice"));
                }
            }
        }
    }

    fn happen(&mut self, in_ms: u64, happening: Happening) {
        self.agenda.put(self.now_ms() + in_ms, happening);
    }

    fn act(&mut self, happening: Happening) {
        match happening {
            Happening::Wake(host, run) => {
                if self.hosts[host].run == run && self.is_up(host) {
                    self.happen(50, Happening::Wake(host, run));
                    if self.now_ms() / 700 != (self.now_ms() + 50) / 700 {
                        self.read_targets(host);
                    }
                    self.settle(host, None);
                }
            }
            Happening::Event(host, run, event) => {
                if self.hosts[host].run == run && self.is_up(host) {
                    self.settle(host, Some(event));
                }
            }
            Happening::Call { host, run, call, answered, started_at_ms } => {
                let life = self.targets.get(&call.target).map(|target| target.entry.started_at_ms);
                let cut = self.severed.contains_key(&(host, call.target.clone()));
                if started_at_ms.is_none() || (started_at_ms == life && !cut) {
                    self.call(host, run, call, answered);
                }
            }
            Happening::Hold { host, run, call, until_ms } => self.hold(host, run, call, until_ms),
            Happening::Deliver { host, run, to } => self.deliver(host, run, to),
            Happening::HeldUp(to, batch) => {
                let (request_id, run) = (self.request_id(), self.hosts[to].run);
                let event = Event::Request(request_id, Request::Deliver(batch));
                self.happen(0, Happening::Event(to, run, event));
            }
            Happening::Mend(one, other) => self.set_cut(one, other, false),
            Happening::Send(id) => self.send(&id),
            Happening::GiveUp(id, attempt) => {
                let caller = &self.callers[&id];
                if caller.open && caller.attempt == attempt {
                    self.answered(&id, None);
                }
            }
        }
    }

    /// Lets a host work, unless it is frozen: then what comes waits for it.
    fn settle(&mut self, host: usize, event: Option<Event>) {
        if self.now_ms() < self.hosts[host].frozen_until {
            self.hosts[host].held.extend(event);
            return;
        }
        let held = std::mem::take(&mut self.hosts[host].held);
        let Some(state) = &mut self.hosts[host].state else {
            return;
        };
        state.detect_pause();
        held.into_iter().chain(event).for_each(|event| state.handle(event));
        for action in state.advance() {
            self.carry_out(host, action);
        }
    }

    fn carry_out(&mut self, host: usize, action: Action) {
        let run = self.hosts[host].run;
        if self.traced {
            println!("{} ms h{host}: {action:?}", self.now_ms());
        }
        match action {
            Action::Respond(request_id, Response::Outcome(outcome)) => {
                if let Some(id) = self.request_ids.remove(&(host, request_id)) {
                    self.answered(&id, Some(outcome));
                }
            }
            Action::Call(call) => {
                if self.rng.random_bool(self.chances.call_lost) {
                    let late = self.rng.random_bool(self.chances.late);
                    if late {
                        let after = self.rng.random_range(2_000..12_000);
                        let call = call.clone();
                        let started_at_ms =
                            self.targets.get(&call.target).map(|one| one.entry.started_at_ms);
                        self.happen(
                            after,
                            Happening::Call { host, run, call, answered: false, started_at_ms },
                        );
                    }
                    let within = call.timeout.as_millis() as u64;
                    let event = Event::TargetResponded(Box::new(call), lease::Response::NoResponse);
                    return self.happen(within, Happening::Event(host, run, event));
                }
                let answered = !self.rng.random_bool(self.chances.answer_lost);
                let delay = self.rng.random_range(1..4);
                self.happen(
                    delay,
                    Happening::Call { host, run, call, answered, started_at_ms: None },
                );
            }
            Action::Send(to, message) => {
                self.grants += u32::from(matches!(message, Message::Grant(_)));
                self.send_message(host, to, message);
            }
            Action::Disconnect(to) => {
                if let Some(lane) = self.hosts[host].lanes.get_mut(&to) {
                    lane.begin();
                }
            }
            Action::Exit => self.kill(host),
            Action::Note(note) => {
                self.fences += u32::from(matches!(note, Record::TargetFenced { .. }))
            }
            Action::Respond(..) | Action::Publish(_) => {}
        }
    }
}
