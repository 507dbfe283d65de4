//! Cost of the control thread's decisions for a task: admission, start and end, at several numbers
//! of targets and queued tasks.

#![expect(missing_docs, reason = "criterion_group! generates a public function")]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use coltsfootshunt_core::config::{
    Document, Draft as Configuration, KindDraft, Resources, TargetDraft, TeamDraft,
};
use coltsfootshunt_core::job::{Draft, Job, Payload};
use coltsfootshunt_core::name::{Host, Zone};
use coltsfootshunt_core::submission::{Id, Incarnation};
use coltsfootshunt_entry::control::{Action, Event, Output, Policy, Setup, State};
use coltsfootshunt_entry::dispatch::{Limit, Predicted, Slack};
use coltsfootshunt_entry::loan::MostIdle;
use coltsfootshunt_entry::member::Identity;
use coltsfootshunt_entry::submission::{End, Limits, Reply, Request, RequestId};
use coltsfootshunt_entry::target::Report;
use criterion::{BatchSize, BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use serde_json::value::RawValue;
use uuid::Uuid;

/// Slots of each target.
const SLOTS: u32 = 8;
const TEAMS: usize = 69;
/// Tasks of each job.
const WIDTH: usize = 100;
/// Minimum number of queued tasks for the benchmark of ends and starts, which takes tasks from the
/// queue.
const MIN_QUEUED: usize = 300_000;
/// Timeout of each job, longer than any benchmark, in milliseconds.
const DEADLINE_MS: u64 = 3_600_000;

/// A control state under load, with a fixed current time.
struct Bench {
    state: State,
    now: Instant,
    actions: Vec<Action>,
    /// Unused identifiers.
    ids: Vec<Id>,
    /// Number of tasks submitted so far.
    submitted: usize,
}

impl Bench {
    /// Occupies all slots, and queues the given number of tasks.
    fn new(targets: usize, queued: usize) -> Self {
        let now = Instant::now();
        let mut bench =
            Self { state: state(now), now, actions: Vec::new(), ids: Vec::new(), submitted: 0 };
        let document = Box::new(document(targets));
        bench.handle(Event::Configuration(document));
        let slots = targets * SLOTS as usize;
        // The first tasks take all slots; the others stay in the queue.
        while bench.submitted < slots + queued {
            bench.submit(WIDTH.min(slots + queued - bench.submitted));
        }
        bench
    }

    fn handle(&mut self, event: Event) {
        self.state.handle(event, self.now, &mut self.actions);
        self.state.advance(self.now, &mut self.actions);
    }

    fn submit(&mut self, width: usize) {
        if self.ids.is_empty() {
            self.issue_identifiers();
        }
        let id = self.ids.pop().expect("identifiers were issued");
        let team = format!("team-{}", self.submitted % TEAMS);
        self.submitted += width;
        let job = job(&team, width);
        self.handle(Event::Request(RequestId(0), Request::Submit { id, job }));
    }

    fn issue_identifiers(&mut self) {
        let mut actions = Vec::new();
        let request = Request::IssueIdentifiers { count: 1_000 };
        self.state.handle(Event::Request(RequestId(0), request), self.now, &mut actions);
        for action in actions {
            if let Action::Respond(_, Output::Reply(Reply::Identifiers(ids))) = action {
                self.ids = ids;
            }
        }
    }

    /// Handles the ends of running tasks. Each frees a slot for a queued task.
    fn end(&mut self, ends: Vec<Event>) {
        for event in ends {
            self.handle(event);
        }
    }

    /// Takes the start actions so far, and returns the event that ends each of these tasks.
    fn take_ends(&mut self) -> Vec<Event> {
        let ended = |action| match action {
            Action::StartTask(attempt, _) => {
                let took = Duration::from_millis(100);
                let end = End::Output(payload());
                Some(Event::AttemptEnded(attempt, Report { end, rejection: None, took }))
            }
            _ => None,
        };
        self.actions.drain(..).filter_map(ended).collect()
    }
}

fn state(now: Instant) -> State {
    let identity = Identity {
        host: Host::try_from("entry").expect("the name is valid"),
        zone: zone(),
        incarnation: Incarnation(1),
        address: address(0),
        weight: 1,
    };
    let limit = Limit { max_tasks: 10_000_000 };
    let policy = Policy {
        order: Box::new(Slack),
        admission: Box::new(Predicted { limit }),
        sharing: Box::new(MostIdle),
    };
    let submission_limits = Limits { max_open: 1_000_000, ..Limits::default() };
    let setup = Setup {
        identity,
        seeds: Vec::new(),
        policy,
        submission_limits,
        drain_limits: coltsfootshunt_entry::drain::Limits::default(),
    };
    State::new(setup, now)
}

fn zone() -> Zone {
    Zone::try_from("zone").expect("the name is valid")
}

fn address(number: usize) -> SocketAddr {
    let [_, _, high, low] = (number as u32).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 1, high, low)), 7_000)
}

fn document(targets: usize) -> Document {
    let team = |number| TeamDraft { name: format!("team-{number}"), share: 1 };
    let target = |number| TargetDraft {
        name: format!("target-{number}"),
        zone: zone().to_string(),
        address: address(number),
        slots: SLOTS,
        connections: 64,
        has: Resources::default(),
    };
    let kind = KindDraft {
        name: "kind".to_owned(),
        idempotent: false,
        rerun_lost: false,
        expected_ms: 100,
        needs: Resources::default(),
    };
    let draft = Configuration {
        teams: (0..TEAMS).map(team).collect(),
        kinds: vec![kind],
        targets: (0..targets).map(target).collect(),
    };
    Document::after(None, Uuid::nil(), draft.try_into().expect("the draft is valid"))
}

fn payload() -> Payload {
    RawValue::from_string("{}".to_owned()).expect("the text is JSON").into()
}

fn job(team: &str, tasks: usize) -> Job {
    let draft = Draft {
        team: team.to_owned(),
        kind: "kind".to_owned(),
        deadline_ms: Some(DEADLINE_MS),
        tasks: vec![payload(); tasks],
    };
    Job::try_from(draft).expect("the draft is valid")
}

fn decision(criterion: &mut Criterion) {
    let sizes = [(50, 0), (1_000, 0), (18_000, 0), (50, 10_000), (50, 100_000), (1_000, 100_000)];
    let mut group = criterion.benchmark_group("decision");
    group.sample_size(10).warm_up_time(Duration::from_millis(300));
    group.measurement_time(Duration::from_secs(1));
    group.throughput(Throughput::Elements(WIDTH as u64));
    for (targets, queued) in sizes {
        let name = format!("{targets} targets {queued} queued");
        let mut bench = Bench::new(targets, queued);
        group.bench_function(BenchmarkId::new("admit", &name), |bencher| {
            bencher.iter_batched(|| (), |()| bench.submit(WIDTH), BatchSize::PerIteration);
        });
        let mut bench = Bench::new(targets, queued.max(MIN_QUEUED));
        let mut ends = bench.take_ends();
        group.bench_function(BenchmarkId::new("end_and_start", &name), |bencher| {
            bencher.iter_batched(
                || (),
                |()| {
                    let batch = ends.split_off(ends.len().saturating_sub(WIDTH));
                    bench.end(batch);
                    ends.extend(bench.take_ends());
                },
                BatchSize::PerIteration,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
