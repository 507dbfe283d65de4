//! The product's own decisions: whole hosts without their I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use coltsfootshunt_core::clock::Clock;
use coltsfootshunt_core::name::{Target, Zone};
use coltsfootshunt_fleet::config::{Document, Limits, Route, Stretch};
use coltsfootshunt_fleet::control::{self, Action, Request, Response, State};
use coltsfootshunt_fleet::directory::{self, Entry};
use coltsfootshunt_fleet::job::{
    Id, Outcome, Plan, RequestId, Requirements, Resources, Step, Submission,
};
use coltsfootshunt_fleet::lease::{Call, Order, Response as Reply, Term};
use coltsfootshunt_fleet::member::Identity;
use coltsfootshunt_fleet::peer::{Batch, Message};
use coltsfootshunt_fleet::steward;
use coltsfootshunt_fleet::store::{Listing, Update};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::event_queue::EventQueue;
use crate::load::{ALLOWANCE, KINDS, Load, PATIENCE, STRETCH, is_middle};
use crate::machine::Machine;
use crate::policy::{Answer, Policy};

/// Way to a target or to another host, one way.
const ONE_WAY: Duration = Duration::from_micros(500);
/// Longest lease of a target.
const TERM: Term = Term { max: Duration::from_secs(1), resend_after: Duration::from_millis(1_300) };
/// Time for which hosts run before jobs come: they settle who is steward.
const LEAD: Duration = Duration::from_secs(2);
/// Attempts that a task may fail.
const ATTEMPTS: u32 = 2;
/// Seed of what targets leave unanswered.
const SEED: u64 = 1;
/// Memory of a target, in MB: never scarce here.
const MEMORY_MB: u64 = 1 << 20;

/// Hosts in some availability zones; each zone's steward is one of its hosts.
#[derive(Clone, Copy, Debug)]
pub struct Product {
    /// Availability zones, among which the targets are shared out.
    pub zones: usize,
    /// Hosts of each.
    pub hosts: usize,
}

impl Default for Product {
    fn default() -> Self {
        Self { zones: 1, hosts: 1 }
    }
}

impl Policy for Product {
    fn name(&self) -> &'static str {
        "coltsfootshunt"
    }

    fn play(&self, load: &Load) -> Vec<Answer> {
        let mut play = Play::new(self, load);
        play.run();
        play.answers.into_iter().map(|one| one.unwrap_or(Answer::GivenUp(PATIENCE))).collect()
    }
}

#[derive(Debug)]
struct Time {
    start: Instant,
    spent: Mutex<Duration>,
}

impl Time {
    fn pass(&self, to: Duration) {
        *self.spent.lock().expect("no holder of this lock panics") = to;
    }
}

impl Clock for Time {
    fn now(&self) -> Instant {
        self.start + self.uptime()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.uptime()
    }

    fn uptime(&self) -> Duration {
        *self.spent.lock().expect("no holder of this lock panics")
    }
}

#[derive(Debug)]
enum Event {
    /// A caller hands its job in.
    Arrive(usize),
    /// A caller goes.
    Leave(usize),
    /// A host looks at everything.
    Wake(usize),
    /// Something reaches a host.
    Host(usize, Box<control::Event>),
    /// A host's call reaches its target.
    Call(usize, Call),
    /// A run may have ended at a target.
    End(Target),
    /// The wait of a renewal is over.
    WaitOver(usize, Call),
}

struct Host {
    identity: Identity,
    state: State,
    /// Number of the last batch to each other host.
    sent: BTreeMap<SocketAddr, u64>,
}

struct Site {
    /// Its place in the load.
    number: usize,
    machine: Machine,
    /// Renewals that wait for an end, each with its host.
    waiting: Vec<(usize, Call)>,
}

struct Play<'a> {
    load: &'a Load,
    time: Arc<Time>,
    events: EventQueue<Duration, Event>,
    rng: StdRng,
    hosts: Vec<Host>,
    sites: BTreeMap<Target, Site>,
    answers: Vec<Option<Answer>>,
}

fn named<T: for<'a> TryFrom<&'a str, Error: std::fmt::Debug>>(name: &str) -> T {
    T::try_from(name).expect("the model's names are valid")
}

fn zone(number: usize) -> Zone {
    named(&format!("z{number}"))
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1 + host as u16))
}

impl<'a> Play<'a> {
    fn new(product: &Product, load: &'a Load) -> Self {
        let time = Arc::new(Time { start: Instant::now(), spent: Mutex::default() });
        let entries: Vec<Entry> = entries(product, load);
        let sites = entries.iter().enumerate().map(|(number, entry)| {
            let site = Site { number, machine: Machine::default(), waiting: Vec::new() };
            (entry.name.clone(), site)
        });
        let mut play = Self {
            load,
            time: Arc::clone(&time),
            events: EventQueue::default(),
            rng: StdRng::seed_from_u64(SEED),
            hosts: Vec::new(),
            sites: sites.collect(),
            answers: vec![None; load.jobs.len()],
        };
        let document = Arc::new(document());
        for number in 0..product.zones * product.hosts {
            let identity = Identity {
                host: named(&format!("h{number}")),
                zone: zone(number % product.zones),
                incarnation: 1 + number as u64,
                address: address(number),
                cpu_millis: 250,
            };
            let settings = control::Settings {
                identity: identity.clone(),
                seeds: (0..product.zones * product.hosts).map(address).collect(),
                steward: steward::Settings { term: TERM, remote_factor: 1.0 },
                stop_timeout: LEAD,
            };
            let state = State::new(settings, Arc::clone(&time) as Arc<dyn Clock>);
            play.hosts.push(Host { identity, state, sent: BTreeMap::new() });
            let listing = Listing::from(entries.clone());
            for news in [Update::Document(Arc::clone(&document)), Update::Targets(listing)] {
                let event = Box::new(control::Event::Store(news));
                play.events.push(Duration::ZERO, Event::Host(number, event));
            }
            play.events.push(Duration::ZERO, Event::Wake(number));
        }
        play
    }

    fn run(&mut self) {
        for (number, job) in self.load.jobs.iter().enumerate() {
            self.events.push(LEAD + job.at, Event::Arrive(number));
            self.events.push(LEAD + job.at + PATIENCE, Event::Leave(number));
        }
        let end = LEAD + self.load.length + PATIENCE;
        while let Some((at, event)) = self.events.pop_until(end) {
            self.time.pass(at);
            self.act(event, at);
        }
    }

    fn act(&mut self, event: Event, at: Duration) {
        match event {
            Event::Arrive(number) => {
                let request = Request::Submit(self.submission(number));
                let event = control::Event::Request(RequestId(number as u64), request);
                self.settle(self.front(number), Some(event), at);
            }
            Event::Leave(number) => {
                if self.answers[number].is_none() {
                    self.answers[number] = Some(Answer::GivenUp(PATIENCE));
                    let event = control::Event::CallerLeft(id(number), RequestId(number as u64));
                    self.settle(self.front(number), Some(event), at);
                }
            }
            Event::Wake(host) => {
                self.settle(host, None, at);
                let next = self.hosts[host].state.next_wake();
                let next = next.saturating_duration_since(self.time.start);
                self.events.push(next.max(at + ONE_WAY), Event::Wake(host));
            }
            Event::Host(host, event) => self.settle(host, Some(*event), at),
            Event::Call(host, call) => self.call(host, call, at),
            Event::End(target) => self.news(&target, at),
            Event::WaitOver(host, call) => {
                if let Some(site) = self.sites.get_mut(&call.target)
                    && let Some(place) =
                        site.waiting.iter().position(|(_, one)| one.token == call.token)
                {
                    site.waiting.remove(place);
                    self.report(host, call, at);
                }
            }
        }
    }

    /// The host that takes a job.
    fn front(&self, number: usize) -> usize {
        number % self.hosts.len()
    }

    fn submission(&self, number: usize) -> Submission {
        let job = &self.load.jobs[number];
        let resources = Resources { cpu_millis: job.cpu_millis, memory_mb: 1, accelerators: 0 };
        let estimate_ms = job.declared.as_millis() as u64;
        let requirements = Requirements { resources, estimate_ms, ..Requirements::default() };
        let step = Step { count: job.tasks.len() as u32, requirements, after: Vec::new() };
        let plan = Plan::new("work".into(), vec![step]).expect("a job has tasks");
        let kind = named(KINDS[job.kind].name);
        Submission { id: id(number), kind, plan: Arc::new(plan), timeout: PATIENCE }
    }

    /// Lets a host work.
    fn settle(&mut self, host: usize, event: Option<control::Event>, at: Duration) {
        let state = &mut self.hosts[host].state;
        state.detect_pause();
        event.into_iter().for_each(|event| state.handle(event));
        for action in state.advance() {
            self.carry_out(host, action, at);
        }
    }

    fn carry_out(&mut self, host: usize, action: Action, at: Duration) {
        match action {
            Action::Respond(RequestId(number), Response::Outcome(outcome)) => {
                self.answered(number as usize, outcome, at);
            }
            Action::Call(call) => {
                if self.rng.random_bool(self.load.pattern.unanswered) {
                    let within = call.timeout;
                    let event = control::Event::TargetResponded(Box::new(call), Reply::NoResponse);
                    return self.events.push(at + within, Event::Host(host, Box::new(event)));
                }
                self.events.push(at + ONE_WAY, Event::Call(host, call));
            }
            Action::Send(to, message) => self.send(host, to, message, at),
            Action::Respond(..)
            | Action::Disconnect(_)
            | Action::Publish(_)
            | Action::Record(_)
            | Action::Exit => {}
        }
    }

    fn answered(&mut self, number: usize, outcome: Outcome, at: Duration) {
        let took = at - LEAD - self.load.jobs[number].at;
        let answer = match outcome {
            Outcome::Completed => Answer::Completed(took),
            Outcome::Refused { .. } => Answer::Refused(took),
            Outcome::Failed | Outcome::Unknown => Answer::GivenUp(took),
        };
        self.answers[number].get_or_insert(answer);
    }

    fn send(&mut self, host: usize, to: SocketAddr, message: Message, at: Duration) {
        let from = &mut self.hosts[host];
        let number = from.sent.entry(to).or_default();
        *number += 1;
        let batch = Batch {
            from: from.identity.clone(),
            session: 1,
            sequence: *number,
            messages: vec![message],
        };
        let Some(other) = self.hosts.iter().position(|one| one.identity.address == to) else {
            return;
        };
        let event = control::Event::Request(RequestId(u64::MAX), Request::Deliver(batch));
        self.events.push(at + ONE_WAY, Event::Host(other, Box::new(event)));
    }

    /// A call reaches its target.
    fn call(&mut self, host: usize, call: Call, at: Duration) {
        let Some(site) = self.sites.get_mut(&call.target) else {
            return;
        };
        match &call.order {
            Order::Renew { acknowledged, max_wait, .. } => {
                site.machine.pass(at);
                site.waiting.retain(|(_, one)| one.token != call.token);
                if site.machine.has_news(*acknowledged) || max_wait.is_zero() {
                    return self.report(host, call, at);
                }
                site.waiting.push((host, call.clone()));
                self.events.push(at + *max_wait, Event::WaitOver(host, call));
            }
            Order::Start { task, run, .. } => {
                let job = usize::from_str_radix(&String::from(task.job.clone()), 16)
                    .expect("the model numbers its jobs");
                let target = self.load.targets[site.number];
                let takes = self.load.jobs[job].tasks[task.index as usize].mul_f64(target.slowness);
                let stands = target.hangs && is_middle(at.saturating_sub(LEAD), self.load.length);
                let since = if stands { LEAD + self.load.length * 2 / 3 } else { at };
                site.machine.start(task.clone(), *run, since + takes);
                self.events.push(since + takes, Event::End(call.target.clone()));
                self.reply(host, call, Reply::Accepted { clock_ms: at.as_millis() as u64 }, at);
            }
            Order::Stop { task, .. } => {
                site.machine.stop(task);
                self.events.push(at, Event::End(call.target.clone()));
                self.reply(host, call, Reply::Accepted { clock_ms: at.as_millis() as u64 }, at);
            }
        }
    }

    /// Answers the renewals that wait at a target, if something has ended there.
    fn news(&mut self, target: &Target, at: Duration) {
        let Some(site) = self.sites.get_mut(target) else {
            return;
        };
        site.machine.pass(at);
        for (host, call) in std::mem::take(&mut site.waiting) {
            self.call(host, call, at);
        }
    }

    fn report(&mut self, host: usize, call: Call, at: Duration) {
        if let Some(site) = self.sites.get(&call.target) {
            let report = site.machine.report(at);
            self.reply(host, call, Reply::Report(report), at);
        }
    }

    fn reply(&mut self, host: usize, call: Call, reply: Reply, at: Duration) {
        let event = control::Event::TargetResponded(Box::new(call), reply);
        self.events.push(at + ONE_WAY, Event::Host(host, Box::new(event)));
    }
}

fn entries(product: &Product, load: &Load) -> Vec<Entry> {
    let entry = |(number, target): (usize, &crate::load::Target)| Entry {
        name: named(&format!("t{number}")),
        started_at_ms: 1,
        address: address(0),
        // Whole groups of unlike targets, so that zones have their share of fast ones.
        zone: zone(number / crate::load::SLOWNESS.len() % product.zones),
        service: named("service"),
        capacity: Resources {
            cpu_millis: target.cpu_millis,
            memory_mb: MEMORY_MB,
            accelerators: 0,
        },
        labels: Vec::new(),
        state: directory::State::Ready,
    };
    load.targets.iter().enumerate().map(entry).collect()
}

fn document() -> Document {
    let route = |kind: &crate::load::Kind| Route {
        kind: named(kind.name),
        authority: "model".into(),
        prefix: kind.name.into(),
        service: named("service"),
        priority: 0,
        max_attempts: ATTEMPTS,
        timeout: PATIENCE,
        stretch: Stretch::try_from(STRETCH).expect("it is a factor"),
        allowance: ALLOWANCE,
    };
    let limits = Limits {
        max_header_bytes: 1 << 14,
        max_body_bytes: 1 << 18,
        read_timeout: LEAD,
        idle_timeout: LEAD,
    };
    Document { version: 1, routes: KINDS.iter().map(route).collect(), limits }
}

fn id(number: usize) -> Id {
    Id::try_from(format!("{number:016x}").as_str()).expect("sixteen digits")
}
