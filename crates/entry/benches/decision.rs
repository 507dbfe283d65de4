//! Cost of the decision path: a task admitted, started and ended, at several sizes of the fleet and
//! of the queue.

#![expect(missing_docs, reason = "the macro of the library makes a public function")]

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

const SLOTS: u32 = 8;
const TEAMS: usize = 69;
const WIDTH: usize = 100;
/// Tasks that wait while ends and starts are measured.
const ENOUGH: usize = 300_000;
const DEADLINE_MS: u64 = 3_600_000;

struct Bench {
    state: State,
    now: Instant,
    out: Vec<Action>,
    ids: Vec<Id>,
    submitted: usize,
}

impl Bench {
    fn new(targets: usize, queued: usize) -> Self {
        let now = Instant::now();
        let mut bench =
            Self { state: state(now), now, out: Vec::new(), ids: Vec::new(), submitted: 0 };
        let document = Box::new(document(targets));
        bench.event(Event::Configuration(document));
        let slots = targets * SLOTS as usize;
        // All slots are taken, then as many tasks wait as was asked for.
        while bench.submitted < slots + queued {
            bench.submit(WIDTH.min(slots + queued - bench.submitted));
        }
        bench
    }

    fn event(&mut self, event: Event) {
        self.state.handle(event, self.now, &mut self.out);
        self.state.advance(self.now, &mut self.out);
    }

    fn submit(&mut self, width: usize) {
        if self.ids.is_empty() {
            self.mint();
        }
        let id = self.ids.pop().expect("they were minted");
        let team = format!("team-{}", self.submitted % TEAMS);
        self.submitted += width;
        let job = job(&team, width);
        self.event(Event::Request(RequestId(0), Request::Submit { id, job }));
    }

    fn mint(&mut self) {
        let mut out = Vec::new();
        let request = Request::IssueIdentifiers { count: 1_000 };
        self.state.handle(Event::Request(RequestId(0), request), self.now, &mut out);
        for action in out {
            if let Action::Respond(_, Output::Reply(Reply::Identifiers(ids))) = action {
                self.ids = ids;
            }
        }
    }

    /// Ends running tasks; each frees a slot for a waiting one.
    fn end(&mut self, ends: Vec<Event>) {
        for event in ends {
            self.event(event);
        }
    }

    /// Takes the starts so far, as their ends.
    fn starts(&mut self) -> Vec<Event> {
        let ended = |action| match action {
            Action::StartTask(attempt, _) => {
                let took = Duration::from_millis(100);
                let end = End::Output(payload());
                Some(Event::AttemptEnded(attempt, Report { end, rejection: None, took }))
            }
            _ => None,
        };
        self.out.drain(..).filter_map(ended).collect()
    }
}

fn state(now: Instant) -> State {
    let myself = Identity {
        host: Host::try_from("entry").expect("a name"),
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
    let ledger = Limits { max_open: 1_000_000, ..Limits::default() };
    let setup = Setup {
        identity: myself,
        seeds: Vec::new(),
        policy,
        submission_limits: ledger,
        drain_limits: coltsfootshunt_entry::drain::Limits::default(),
    };
    State::new(setup, now)
}

fn zone() -> Zone {
    Zone::try_from("zone").expect("a name")
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
    Document::after(None, Uuid::nil(), draft.try_into().expect("the draft is whole"))
}

fn payload() -> Payload {
    RawValue::from_string("{}".to_owned()).expect("JSON").into()
}

fn job(team: &str, tasks: usize) -> Job {
    let draft = Draft {
        team: team.to_owned(),
        kind: "kind".to_owned(),
        deadline_ms: Some(DEADLINE_MS),
        tasks: vec![payload(); tasks],
    };
    Job::try_from(draft).expect("the draft is whole")
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
        // Enough waits that the measurement does not run dry.
        let mut bench = Bench::new(targets, queued.max(ENOUGH));
        let mut ends = bench.starts();
        group.bench_function(BenchmarkId::new("end_and_start", &name), |bencher| {
            bencher.iter_batched(
                || (),
                |()| {
                    let some = ends.split_off(ends.len().saturating_sub(WIDTH));
                    bench.end(some);
                    ends.extend(bench.starts());
                },
                BatchSize::PerIteration,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
