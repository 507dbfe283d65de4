//! The product's own decisions: a steward, and an owner for each job, without their I/O.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use coltsfootshunt_core::name::{Host, Kind, Service, Target, Zone};
use coltsfootshunt_fleet::directory::{self, Entry};
use coltsfootshunt_fleet::job::{
    Bundle, End, Ending, Id, Need, Open, Outcome, Part, Plan, Policy as Route, Room, Size, Step,
    Task,
};
use coltsfootshunt_fleet::lease::{
    Answer as Reply, Call, Ended, How, Listed, Mint, Order, Report, Token,
};
use coltsfootshunt_fleet::member::{Card, Claim, Roster};
use coltsfootshunt_fleet::speed::Book;
use coltsfootshunt_fleet::steward::{Output, Settings, Steward};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::agenda::Agenda;
use crate::load::{ALLOWANCE, KINDS, Load, PATIENCE, STRETCH, is_middle};
use crate::policy::{Answer, Policy};

/// Way to a target and back.
const ROUND_TRIP: Duration = Duration::from_millis(1);
/// Time between looks of the steward at everything, as in the product.
const TICK: Duration = Duration::from_millis(50);
/// Longest lease of a target.
const LEASE: Duration = Duration::from_secs(1);
/// Room of one task, in thousandths of a core.
const TASK_CPU: u64 = 1_000;
/// Attempts that a task may fail.
const ATTEMPTS: u32 = 2;
/// Seed of what targets leave unanswered.
const SEED: u64 = 1;

/// One steward that is the owner of all jobs, too.
#[derive(Clone, Copy, Debug, Default)]
pub struct Product;

impl Policy for Product {
    fn name(&self) -> &'static str {
        "coltsfootshunt"
    }

    fn play(&self, load: &Load) -> Vec<Answer> {
        let mut play = Play::new(load);
        play.run();
        play.answers.into_iter().map(|one| one.unwrap_or(Answer::GivenUp(PATIENCE))).collect()
    }
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Leave(usize),
    Reply(Call, Reply),
    /// A run may have ended at a target.
    End(Target),
    /// The wait of a renewal is over.
    WaitOver(Call),
    Tick,
}

/// A target's side.
#[derive(Default)]
struct Machine {
    running: BTreeMap<Task, (u32, Duration)>,
    ended: Vec<Ended>,
    numbers: u64,
    /// Renewals that wait for an end.
    waiting: Vec<Call>,
}

struct Play<'a> {
    load: &'a Load,
    start: Instant,
    agenda: Agenda<Duration, Event>,
    rng: StdRng,
    me: Host,
    steward: Steward,
    roster: Roster,
    directory: directory::List,
    speeds: Book,
    mint: Mint,
    machines: BTreeMap<Target, (usize, Machine)>,
    open: BTreeMap<usize, Open>,
    answers: Vec<Option<Answer>>,
}

fn named<T: for<'a> TryFrom<&'a str, Error: std::fmt::Debug>>(name: &str) -> T {
    T::try_from(name).expect("the model's names are valid")
}

impl<'a> Play<'a> {
    fn new(load: &'a Load) -> Self {
        let start = Instant::now();
        let me: Host = named("host");
        let zone: Zone = named("zone");
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let card =
            Card { host: me.clone(), zone: zone.clone(), incarnation: 1, address, weight: 250 };
        let mut roster = Roster::new(card, start);
        roster.claims.push(Claim { zone: zone.clone(), token: Token(1) });
        let mut machines = BTreeMap::new();
        let mut entries = Vec::new();
        for (number, target) in load.targets.iter().enumerate() {
            let name: Target = named(&format!("t{number}"));
            let capacity = Room {
                cpu_millis: TASK_CPU * target.places as u64,
                memory_mb: 1 << 20,
                accelerators: 0,
            };
            entries.push(Entry {
                name: name.clone(),
                born: 1,
                address,
                zone: zone.clone(),
                service: named("service"),
                capacity,
                labels: Vec::new(),
                state: directory::State::Ready,
            });
            machines.insert(name, (number, Machine::default()));
        }
        let mut directory = directory::List::default();
        directory.read(entries, start);
        Self {
            load,
            start,
            agenda: Agenda::default(),
            rng: StdRng::seed_from_u64(SEED),
            me,
            steward: Steward::new(Settings { lease: LEASE, remote_factor: 1.0 }),
            roster,
            directory,
            speeds: Book::default(),
            mint: Mint::new(1),
            machines,
            open: BTreeMap::new(),
            answers: vec![None; load.jobs.len()],
        }
    }

    fn run(&mut self) {
        for (number, job) in self.load.jobs.iter().enumerate() {
            self.happen(job.at, Event::Arrive(number));
            self.happen(job.at + PATIENCE, Event::Leave(number));
        }
        self.happen(Duration::ZERO, Event::Tick);
        let end = self.load.length + PATIENCE;
        while let Some((at, event)) = self.agenda.next_by(end) {
            self.act(event, at);
            let mut out = Output::default();
            let now = self.start + at;
            self.steward.dispatch(&self.roster, &self.speeds, now, &mut out);
            self.tend(at, &mut out);
            self.carry_out(out, at);
        }
    }

    fn happen(&mut self, at: Duration, event: Event) {
        self.agenda.put(at, event);
    }

    fn act(&mut self, event: Event, at: Duration) {
        let now = self.start + at;
        let mut out = Output::default();
        match event {
            Event::Tick => {
                self.steward.sync(&self.directory, &self.roster, now);
                self.happen(at + TICK, Event::Tick);
            }
            Event::Arrive(number) => return self.arrive(number, at),
            Event::Leave(number) => {
                if let Some(open) = self.open.remove(&number) {
                    self.answers[number] = Some(Answer::GivenUp(PATIENCE));
                    self.steward.cancel(&self.me, &id(number), open.opening);
                }
            }
            Event::Reply(call, reply) => {
                self.steward.answer(&call, reply, &mut self.speeds, now, &mut out);
            }
            Event::End(target) => {
                let (_, machine) = self.machines.get_mut(&target).expect("it is known");
                machine.pass(at);
                let waiting = std::mem::take(&mut machine.waiting);
                waiting.into_iter().for_each(|call| self.renew(call, false, at));
            }
            Event::WaitOver(call) => {
                let (_, machine) = self.machines.get(&call.target).expect("it is known");
                if machine.waiting.iter().any(|one| one.token == call.token) {
                    self.renew(call, true, at);
                }
            }
        }
        self.carry_out(out, at);
    }

    fn tend(&mut self, at: Duration, out: &mut Output) {
        let times = (SystemTime::UNIX_EPOCH + at, self.start + at);
        self.steward.tend(&self.roster, &mut self.speeds, &mut self.mint, times, out);
    }

    fn arrive(&mut self, number: usize, at: Duration) {
        let job = &self.load.jobs[number];
        let need = Need {
            room: Room { cpu_millis: TASK_CPU, memory_mb: 1, accelerators: 0 },
            estimate_ms: job.declared.as_millis() as u64,
            ..Need::default()
        };
        let step = Step { count: job.tasks.len() as u32, need, after: Vec::new() };
        let plan = Arc::new(Plan::new("work".into(), vec![step]).expect("a job has tasks"));
        let kind: Kind = named(KINDS[job.kind].name);
        let typical = self.speeds.typical(&kind, job.declared);
        let service: Service = named("service");
        let route = Route { service, priority: 0, attempts: ATTEMPTS };
        let now = self.start + at;
        let objective = now + (typical.mul_f64(STRETCH) + ALLOWANCE).min(PATIENCE);
        let open = Open::new(kind, plan, route, (now, objective, now + PATIENCE), Size::Usual);
        self.open.insert(number, open);
        self.push(number, at);
    }

    /// Hands a job's tasks that may start to the steward.
    fn push(&mut self, number: usize, at: Duration) {
        let Some(open) = self.open.get_mut(&number) else {
            return;
        };
        let now = self.start + at;
        let left = |then: Instant| {
            let ahead = then.saturating_duration_since(now).as_millis() as i64;
            ahead - now.saturating_duration_since(then).as_millis() as i64
        };
        let ready = open.ready();
        ready.iter().for_each(|task| open.sent(task.part, self.me.clone()));
        let part = |task: coltsfootshunt_fleet::job::Ready| Part {
            step: task.step,
            index: task.index,
            run: task.run,
            need: task.need,
        };
        let bundle = Bundle {
            job: id(number),
            opening: open.opening,
            kind: open.kind.clone(),
            service: open.policy.service.clone(),
            priority: open.policy.priority,
            spec: open.plan.spec.clone(),
            objective_in_ms: left(open.objective),
            due_in_ms: left(open.due),
            begun: open.begun || open.committed,
            parts: ready.into_iter().map(part).collect(),
        };
        let mut out = Output::default();
        self.steward.accept(&self.me, bundle, &self.speeds, now, &mut out);
        self.carry_out(out, at);
    }

    fn carry_out(&mut self, out: Output, at: Duration) {
        for call in out.calls {
            self.call(call, at);
        }
        for (_, ending) in out.endings {
            self.ended(&ending, at);
        }
    }

    fn ended(&mut self, ending: &Ending, at: Duration) {
        let number = usize::from_str_radix(&String::from(ending.task.job.clone()), 16);
        let number = number.expect("the model numbers its jobs");
        let Some(open) = self.open.get_mut(&number) else {
            return;
        };
        let outcome = open.end(&self.me, ending);
        let Some(outcome) = outcome else {
            if ending.end != End::Done {
                self.push(number, at);
            }
            return;
        };
        let took = at - self.load.jobs[number].at;
        self.answers[number] = Some(match outcome {
            Outcome::Completed => Answer::Completed(took),
            Outcome::Refused { .. } => Answer::Refused(took),
            Outcome::Failed | Outcome::Unknown => Answer::GivenUp(took),
        });
        if let Some(open) = self.open.remove(&number) {
            self.steward.cancel(&self.me, &id(number), open.opening);
        }
    }

    /// A call reaches its target, unless the target leaves it unanswered.
    fn call(&mut self, call: Call, at: Duration) {
        if self.rng.random_bool(self.load.pattern.unanswered) {
            let within = call.within;
            return self.happen(at + within, Event::Reply(call, Reply::Silent));
        }
        match &call.order {
            Order::Renew { wait, .. } => {
                let over = at + *wait;
                if !wait.is_zero() {
                    self.happen(over, Event::WaitOver(call.clone()));
                }
                self.renew(call, over == at, at);
            }
            Order::Start { task, run, .. } => {
                let (number, machine) = self.machines.get_mut(&call.target).expect("it is known");
                let job = usize::from_str_radix(&String::from(task.job.clone()), 16)
                    .expect("the model numbers its jobs");
                let target = self.load.targets[*number];
                let takes = self.load.jobs[job].tasks[task.index as usize].mul_f64(target.slowness);
                let mut end = at + takes;
                if target.hangs && is_middle(at, self.load.length) {
                    end = self.load.length * 2 / 3 + takes;
                }
                machine.running.insert(task.clone(), (*run, end));
                self.happen(end, Event::End(call.target.clone()));
                self.taken(call, at);
            }
            Order::Stop { task, .. } => {
                let (_, machine) = self.machines.get_mut(&call.target).expect("it is known");
                if let Some((run, _)) = machine.running.remove(task) {
                    machine.end(task.clone(), run, How::Ended);
                }
                self.happen(at, Event::End(call.target.clone()));
                self.taken(call, at);
            }
        }
    }

    fn taken(&mut self, call: Call, at: Duration) {
        let clock_ms = at.as_millis() as u64;
        self.happen(at + ROUND_TRIP, Event::Reply(call, Reply::Taken { clock_ms }));
    }

    /// Answers a renewal if there is news or its wait is over; else it waits.
    fn renew(&mut self, call: Call, over: bool, at: Duration) {
        let Order::Renew { seen, .. } = call.order else {
            return;
        };
        let (_, machine) = self.machines.get_mut(&call.target).expect("it is known");
        machine.pass(at);
        machine.ended.retain(|one| one.number > seen);
        machine.waiting.retain(|one| one.token != call.token);
        if machine.ended.is_empty() && !over {
            return machine.waiting.push(call);
        }
        let running = machine.running.iter();
        let running =
            running.map(|(task, (run, _))| Listed { task: task.clone(), run: *run }).collect();
        let ended = machine.ended.clone();
        let clock_ms = at.as_millis() as u64;
        let report = Report { clock_ms, born: Some(1), running, ended };
        self.happen(at + ROUND_TRIP, Event::Reply(call, Reply::Report(report)));
    }
}

impl Machine {
    fn pass(&mut self, now: Duration) {
        let over = |(task, (run, end)): (&Task, &(u32, Duration))| {
            (*end <= now).then(|| (task.clone(), *run))
        };
        let over: Vec<(Task, u32)> = self.running.iter().filter_map(over).collect();
        for (task, run) in over {
            self.running.remove(&task);
            self.end(task, run, How::Done);
        }
    }

    fn end(&mut self, task: Task, run: u32, how: How) {
        self.numbers += 1;
        self.ended.push(Ended { number: self.numbers, task, run, how });
    }
}

fn id(number: usize) -> Id {
    Id::try_from(format!("{number:016x}").as_str()).expect("sixteen digits")
}
