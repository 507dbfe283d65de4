//! Cost of a steward's work at several numbers of targets and queued tasks: a start, an end, and a
//! load report.

#![expect(missing_docs, reason = "criterion_group! generates a public function")]

use std::time::{Duration, Instant, SystemTime};

use coltsfootshunt_core::name::{Host, Kind, Service, Target, Zone};
use coltsfootshunt_fleet::crash::Ledger;
use coltsfootshunt_fleet::directory::{self, Directory, Entry};
use coltsfootshunt_fleet::job::{Assignment, Id, Item, Requirements, Resources};
use coltsfootshunt_fleet::lease::{Call, End, Ended, Issuer, Order, Phase, Report, Response, Term};
use coltsfootshunt_fleet::member::{Claim, Identity, Membership};
use coltsfootshunt_fleet::speed::Estimator;
use coltsfootshunt_fleet::steward::{Output, Settings, Steward};
use criterion::{Criterion, criterion_group, criterion_main};

const TARGETS: [usize; 4] = [50, 117, 550, 2_000];
const QUEUED: [usize; 3] = [0, 100, 1_000];
/// Part of the slots that are taken while no task is queued.
const BUSY_SHARE: f64 = 0.8;
/// CPU of a task, in thousandths of a core; a target has two or three times as much.
const TASK_CPU_MILLIS: u64 = 8_000;
/// Time for which tasks may wait, longer than any benchmark.
const DEADLINE_MS: i64 = 3_600_000;

/// A steward under load, with a fixed current time.
struct Bench {
    steward: Steward,
    membership: Membership,
    speeds: Estimator,
    crashes: Ledger,
    issuer: Issuer,
    owner: Host,
    now: Instant,
    /// Number of jobs so far.
    jobs: u64,
    /// Runs that have not ended, the oldest first.
    started: std::collections::VecDeque<Call>,
    ended: u64,
}

impl Bench {
    fn new(targets: usize, queued: usize) -> Self {
        let now = Instant::now();
        let zone = Zone::try_from("a").unwrap();
        let me = Identity {
            host: Host::try_from("me").unwrap(),
            zone: zone.clone(),
            incarnation: 1,
            address: "127.0.0.1:1".parse().unwrap(),
            cpu_millis: 500,
        };
        let mut membership = Membership::new(me, now);
        let mut issuer = Issuer::new(1);
        let token = issuer.next(SystemTime::UNIX_EPOCH);
        membership.claims.push(Claim { zone, token });
        let term = Term { max: Duration::from_secs(1), resend_after: Duration::from_millis(1_300) };
        let mut bench = Self {
            steward: Steward::new(Settings { term, remote_factor: 1.5 }),
            membership,
            speeds: Estimator::default(),
            crashes: Ledger::default(),
            issuer,
            owner: Host::try_from("me").unwrap(),
            now,
            jobs: 0,
            started: std::collections::VecDeque::new(),
            ended: 0,
        };
        let mut directory = Directory::default();
        directory.replace((0..targets).map(entry).collect(), now);
        bench.learn_speeds(targets);
        bench.steward.sync(&directory, &bench.membership, now);
        for call in bench.maintain().calls {
            let report = Report { clock_ms: 1, started_at_ms: Some(1), ..Report::default() };
            bench.respond(&call, Response::Report(report));
        }
        let slots: usize = (0..targets).map(slots).sum();
        let wanted =
            if queued == 0 { (slots as f64 * BUSY_SHARE) as usize } else { slots + queued };
        while bench.started.len() + bench.steward.queued() < wanted {
            bench.enqueue();
            bench.dispatch();
        }
        bench.maintain();
        bench
    }

    /// Targets differ in speed as in deployment C, each by a few per cent more.
    fn learn_speeds(&mut self, targets: usize) {
        let (kind, estimate) = (Kind::try_from("cut").unwrap(), Duration::from_millis(100));
        for round in 0..20 {
            for index in 0..targets {
                let factor =
                    [0.7, 0.7, 1.7][index % 3] * (0.95 + (index * 7 % 101) as f64 / 1_000.0);
                let times = (estimate, estimate.mul_f64(factor * (0.9 + 0.01 * f64::from(round))));
                self.speeds.record_completion(&kind, &name(index), times, self.now);
            }
        }
    }

    fn maintain(&mut self) -> Output {
        let mut output = Output::default();
        let times = (SystemTime::UNIX_EPOCH, self.now);
        let Self { steward, membership, speeds, issuer, .. } = self;
        steward.maintain(membership, speeds, issuer, times, &mut output);
        output
    }

    fn respond(&mut self, call: &Call, response: Response) -> Output {
        let mut output = Output::default();
        self.steward.handle_response(call, response, &mut self.speeds, self.now, &mut output);
        output
    }

    fn enqueue(&mut self) {
        self.jobs += 1;
        let resources = Resources { cpu_millis: TASK_CPU_MILLIS, memory_mb: 64, accelerators: 0 };
        let requirements = Requirements { resources, estimate_ms: 100, ..Requirements::default() };
        let assignment = Assignment {
            job: Id::try_from(format!("{:016x}", self.jobs)).unwrap(),
            generation: 1,
            kind: Kind::try_from("cut").unwrap(),
            service: Service::try_from("mill").unwrap(),
            priority: 0,
            spec: "work".into(),
            objective_in_ms: DEADLINE_MS,
            deadline_in_ms: DEADLINE_MS,
            width: 1,
            started: true,
            shared: false,
            tasks: vec![Item { step: 0, index: 0, run: 1, sequence: 1, requirements }],
            echo: None,
        };
        let view = (&self.membership, &self.speeds);
        self.steward.enqueue(&self.owner, assignment, view, self.now, &mut Output::default());
    }

    /// Starts what can start, and returns the number of starts.
    fn dispatch(&mut self) -> usize {
        let mut output = Output::default();
        let known = (&self.membership, &self.speeds, &self.crashes);
        self.steward.dispatch(known, self.now, &mut output);
        let starts = output.calls.len();
        for call in output.calls {
            self.maintain_target(&call.target.clone());
            self.started.push_back(call);
        }
        starts
    }

    fn maintain_target(&mut self, target: &Target) {
        let times = (SystemTime::UNIX_EPOCH, self.now);
        let Self { steward, membership, issuer, .. } = self;
        steward.maintain_target(target, membership, issuer, times, &mut Output::default());
    }

    /// The renewal that waits at the target of the oldest run, and its response.
    fn oldest_end(&mut self) -> (Call, Response) {
        let start = self.started.pop_front().unwrap();
        let Order::Start { task, run, .. } = start.order else { unreachable!() };
        let tracker = self.steward.tracker(&start.target).unwrap();
        assert!(matches!(tracker.phase, Phase::Held(_)));
        self.ended += 1;
        let ended = vec![Ended { sequence: self.ended, task, run, end: End::Done }];
        let max_wait = Duration::from_millis(50);
        let order = Order::Renew { lease_until_ms: None, acknowledged: 0, max_wait };
        let report = Report { clock_ms: 1, started_at_ms: Some(1), ended, ..Report::default() };
        (Call { order, ..start }, Response::Report(report))
    }

    /// One end and the start that it makes possible; returns the time that each took.
    fn step(&mut self) -> (Duration, Duration) {
        let (call, response) = self.oldest_end();
        let before = Instant::now();
        self.respond(&call, response);
        self.maintain_target(&call.target);
        let end = before.elapsed();
        let before = Instant::now();
        self.enqueue();
        let starts = self.dispatch();
        let start = before.elapsed();
        assert_eq!(starts, 1);
        (start, end)
    }
}

fn name(index: usize) -> Target {
    Target::try_from(format!("target-{index:05}")).unwrap()
}

/// Number of tasks that a target runs at a time; a third of the targets has half as much again.
fn slots(index: usize) -> usize {
    if index % 3 == 1 { 3 } else { 2 }
}

fn entry(index: usize) -> Entry {
    let cpu_millis = slots(index) as u64 * TASK_CPU_MILLIS;
    Entry {
        name: name(index),
        started_at_ms: 1,
        address: "127.0.0.1:80".parse().unwrap(),
        zone: Zone::try_from("a").unwrap(),
        service: Service::try_from("mill").unwrap(),
        capacity: Resources { cpu_millis, memory_mb: 1_000, accelerators: 0 },
        labels: Vec::new(),
        state: directory::State::Ready,
        is_cold: false,
    }
}

fn measure(criterion: &mut Criterion) {
    for queued in QUEUED {
        for targets in TARGETS {
            let mut bench = Bench::new(targets, queued);
            let id = |name| format!("{name}/{targets} targets/{queued} queued");
            criterion.bench_function(&id("start"), |bencher| {
                bencher.iter_custom(|count| (0..count).map(|_| bench.step().0).sum());
            });
            criterion.bench_function(&id("end"), |bencher| {
                bencher.iter_custom(|count| (0..count).map(|_| bench.step().1).sum());
            });
            criterion.bench_function(&id("load"), |bencher| {
                bencher.iter(|| bench.steward.load(&bench.membership, &bench.speeds, bench.now));
            });
        }
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(100))
        .measurement_time(Duration::from_millis(300));
    targets = measure
}
criterion_main!(benches);
