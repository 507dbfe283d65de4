mod closed;
mod extreme_values;
mod gaps;
mod silent_owners;
mod sums;

use std::time::{Duration, Instant, SystemTime};

use coltsfootshunt_core::name::{Host, Kind, Service, Target, Zone};
use coltsfootshunt_testkit::cases;

use super::{Output, Settings, Steward};
use crate::crash::{Ledger, Loss, Run, Verdict};
use crate::directory::{self, tests::entry};
use crate::job::{Assignment, End, Grant, Id, Item, Requirements, Reservation, Resources, Task};
use crate::lease::{self, Call, Ended, Issuer, Order, Phase, Report, Response, Term, Token};
use crate::member::tests::identity;
use crate::member::{Claim, Heartbeat, Membership};
use crate::routing::Load;
use crate::speed::Estimator;

const TERM: Term = Term { max: Duration::from_secs(1), resend_after: Duration::from_millis(1_300) };

struct Bench {
    steward: Steward,
    membership: Membership,
    directory: directory::Directory,
    speeds: Estimator,
    crashes: Ledger,
    issuer: Issuer,
    now: Instant,
    /// Number of the last end that a target reported.
    ended: u64,
}

impl Bench {
    /// Creates a steward that has claimed `targets` targets.
    fn new(targets: usize) -> Self {
        let now = Instant::now();
        let mut membership = Membership::new(identity("me", "a", 250), now);
        membership.claims.push(Claim { zone: Zone::try_from("a").unwrap(), token: Token(1) });
        let mut directory = directory::Directory::default();
        directory.replace((0..targets).map(|one| entry(&format!("t{one}"), "a")).collect(), now);
        let steward = Steward::new(Settings { term: TERM, remote_factor: 1.5 });
        let (speeds, issuer) = (Estimator::default(), Issuer::new(1));
        let crashes = Ledger::default();
        let mut bench =
            Self { steward, membership, directory, speeds, crashes, issuer, now, ended: 0 };
        bench.steward.sync(&bench.directory, &bench.membership, now);
        for call in bench.maintain().calls {
            let report = Report { clock_ms: 1, started_at_ms: Some(1), ..Report::default() };
            bench.handle_response(&call, Response::Report(report));
        }
        bench
    }

    fn maintain(&mut self) -> Output {
        let mut output = Output::default();
        let times = (SystemTime::UNIX_EPOCH, self.now);
        self.steward.maintain(
            &self.membership,
            &mut self.speeds,
            &mut self.issuer,
            times,
            &mut output,
        );
        output
    }

    fn handle_response(&mut self, call: &Call, response: Response) -> Output {
        let mut output = Output::default();
        self.steward.handle_response(call, response, &mut self.speeds, self.now, &mut output);
        output
    }

    fn enqueue(&mut self, job: u32, tasks: u32, owner: &str) -> Output {
        self.enqueue_assignment(assignment(job, tasks), owner)
    }

    /// Completes the first attempt on the first target.
    fn complete_first(&mut self) {
        let name = self.steward.trackers().next().unwrap().entry.name.to_string();
        self.complete_on(&name);
    }

    /// Completes the first attempt on the given target.
    fn complete_on(&mut self, target: &str) {
        let tracker = self.steward.trackers().find(|one| &*one.entry.name.to_string() == target);
        let (task, attempt) = tracker.unwrap().attempts().next().unwrap();
        let (task, run) = (task.clone(), attempt.run);
        self.ended += 1;
        let ended = vec![Ended { sequence: self.ended, task, run, end: lease::End::Done }];
        let report = Report { clock_ms: 3, started_at_ms: Some(1), ended, ..Report::default() };
        for call in
            self.maintain().calls.into_iter().filter(|call| call.target.to_string() == target)
        {
            self.handle_response(&call, Response::Report(report.clone()));
        }
    }

    fn enqueue_assignment(&mut self, assignment: Assignment, owner: &str) -> Output {
        let mut output = Output::default();
        let owner = Host::try_from(owner).unwrap();
        let view = (&self.membership, &self.speeds);
        self.steward.enqueue(&owner, assignment, view, self.now, &mut output);
        output
    }

    /// Records runs that take half as long on the first target as on the others.
    fn learn_speeds(&mut self) {
        let kind = Kind::try_from("cut").unwrap();
        let estimate = Duration::from_millis(100);
        let names: Vec<_> = self.directory.iter().map(|entry| entry.name.clone()).collect();
        for _ in 0..40 {
            for (index, name) in names.iter().enumerate() {
                let took = if index == 0 { estimate / 2 } else { estimate };
                self.speeds.record_completion(&kind, name, (estimate, took), self.now);
            }
        }
        // A steward takes up scores that it has not changed itself at the tick.
        self.maintain();
    }

    /// Starts all tasks that can start. Owners grant all requests.
    fn dispatch(&mut self) -> Output {
        let mut all = Output::default();
        loop {
            let output = self.dispatch_once();
            all.calls.extend(output.calls);
            all.completions.extend(output.completions);
            if output.grant_requests.is_empty() {
                return all;
            }
            for (owner, reservation) in output.grant_requests {
                self.grant(&owner, reservation);
            }
        }
    }

    fn dispatch_once(&mut self) -> Output {
        let mut output = Output::default();
        let known = (&self.membership, &self.speeds, &self.crashes);
        self.steward.dispatch(known, self.now, &mut output);
        output
    }

    fn grant(
        &mut self,
        owner: &Host,
        Reservation { task, generation, sequence }: Reservation,
    ) -> Output {
        let mut output = Output::default();
        let grant = Grant { task, generation, sequence, run: 1, echo: None };
        self.steward.apply_grants(owner, &[grant], self.now, &mut output);
        output
    }

    fn other_steward(&mut self, free: u32, free_fast: u32) {
        self.membership.record_contact(&identity("other", "b", 250), self.now);
        let claims = vec![Claim { zone: Zone::try_from("b").unwrap(), token: Token(2) }];
        let load =
            Load { free_slots: free, free_fast_slots: free_fast, slots: 10, ..Load::default() };
        let heartbeat = Heartbeat { claims, load, ..Heartbeat::default() };
        self.membership.record_heartbeat(&Host::try_from("other").unwrap(), heartbeat);
    }
}

fn assignment(job: u32, tasks: u32) -> Assignment {
    let resources = Resources { cpu_millis: 14_000, memory_mb: 64, accelerators: 0 };
    let requirements = Requirements { resources, estimate_ms: 50, ..Requirements::default() };
    let item =
        |index| Item { step: 0, index, run: 1, sequence: 1, requirements: requirements.clone() };
    Assignment {
        job: Id::try_from(format!("{job:016x}")).unwrap(),
        generation: 1,
        kind: Kind::try_from("cut").unwrap(),
        service: Service::try_from("mill").unwrap(),
        priority: 0,
        spec: "work".into(),
        objective_in_ms: 140,
        deadline_in_ms: 1_500,
        width: tasks,
        started: false,
        shared: false,
        tasks: (0..tasks).map(item).collect(),
        echo: None,
    }
}

/// Tasks that may not end before the caller's deadline on an average target.
fn long_assignment(job: u32, tasks: u32) -> Assignment {
    let mut long_assignment = assignment(job, tasks);
    long_assignment.objective_in_ms = 1_450;
    long_assignment.shared = true;
    long_assignment.tasks.iter_mut().for_each(|item| item.requirements.estimate_ms = 1_300);
    long_assignment
}

/// The task that a call starts, if any.
fn started_task(call: &Call) -> Option<String> {
    match &call.order {
        Order::Start { task, .. } => Some(task.to_string()),
        _ => None,
    }
}

fn count_starts(output: &Output) -> usize {
    output.calls.iter().filter_map(started_task).count()
}

/// Two tasks of 14 cores fit on a target with 32.
fn starts_tasks(targets: usize, tasks: u32, started: usize) {
    let mut bench = Bench::new(targets);
    bench.enqueue(1, tasks, "owner");
    assert_eq!(count_starts(&bench.dispatch()), started);
    assert_eq!(bench.steward.queued(), tasks as usize - started);
    assert_eq!(count_starts(&bench.dispatch()), 0, "no free capacity is left");
}

cases! { starts_tasks:
    that_fit_at_once(2, 4, 4);
    within_the_capacity_of_targets(2, 7, 4);
}

/// A loss of a task's run on a target that is gone.
fn loss_of(task: Task) -> Loss {
    let target = Target::try_from("gone").unwrap();
    let address = ([10, 0, 0, 9], 80).into();
    let run = Run { task, target, address, started_at_ms: 1, number: 1 };
    Loss { run, alone: false, verdict: Verdict::Crashed }
}

/// Guards against suspects that crash one target after the other faster than these restart. Few start at a time,
/// and none while as many targets are down under them.
fn few_suspects_start(targets: usize, started: usize) {
    let mut bench = Bench::new(targets);
    let assignment = assignment(1, 6);
    let job = assignment.job.clone();
    let patient = Assignment { objective_in_ms: 60_000, deadline_in_ms: 60_000, ..assignment };
    bench.enqueue_assignment(patient, "owner");
    for index in 0..6 {
        bench.crashes.add(&loss_of(Task { job: job.clone(), step: 0, index }), bench.now);
    }
    assert_eq!(count_starts(&bench.dispatch()), started);
    bench.now += Duration::from_millis(20);
    assert_eq!(count_starts(&bench.dispatch()), 0, "they run");
    // A later incarnation of each target answers a renewal and then a claim.
    let restarted = Report { clock_ms: 1, started_at_ms: Some(2), ..Report::default() };
    let mut losses = 0;
    for _ in 0..2 {
        bench.now += Duration::from_millis(20);
        for call in bench.maintain().calls {
            losses +=
                bench.handle_response(&call, Response::Report(restarted.clone())).losses.len();
        }
    }
    assert_eq!(losses, started);
    bench.now += Duration::from_secs(3);
    assert_eq!(count_starts(&bench.dispatch()), 0, "their targets are down");
    bench.now += Duration::from_secs(2);
    assert_eq!(count_starts(&bench.dispatch()), started);
}

cases! { few_suspects_start:
    of_a_small_steward(4, 1);
    of_a_large_steward(24, 3);
}

/// Queued tasks are returned while another steward has free slots.
fn returns_tasks(waited_ms: u64, free: u32, returned: usize) {
    let mut bench = Bench::new(1);
    bench.enqueue(1, 6, "owner");
    bench.dispatch();
    bench.other_steward(free, 0);
    bench.now += Duration::from_millis(waited_ms);
    let output = bench.dispatch();
    let ends: Vec<End> = output.completions.iter().map(|(_, completion)| completion.end).collect();
    assert_eq!(ends, vec![End::NotRun; returned]);
}

cases! { returns_tasks:
    not_at_once(10, 8, 0);
    none_without_free_slots_elsewhere(40, 0, 0);
    for_half_of_the_free_slots_elsewhere(40, 4, 2);
    no_more_than_are_queued(40, 20, 4);
}

/// Shared tasks don't start without a grant, and those granted to another steward are removed.
#[test]
fn a_shared_task_starts_once_it_is_granted() {
    let mut bench = Bench::new(2);
    let owner = Host::try_from("owner").unwrap();
    bench.enqueue_assignment(Assignment { shared: true, ..assignment(1, 3) }, "owner");
    let output = bench.dispatch_once();
    assert_eq!((count_starts(&output), output.grant_requests.len()), (0, 3));
    let again = bench.dispatch_once();
    assert_eq!(
        (count_starts(&again), again.grant_requests.len()),
        (0, 0),
        "a grant is requested only once"
    );
    let reservations: Vec<Reservation> =
        output.grant_requests.into_iter().map(|(_, reservation)| reservation).collect();
    bench.steward.withdraw(&owner, &reservations[1..2]);
    assert!(bench.grant(&owner, reservations[0].clone()).completions.is_empty());
    assert_eq!(count_starts(&bench.dispatch_once()), 1);
    assert_eq!(bench.steward.queued(), 1);
}

/// A grant for a task that is no longer queued is returned, so that the owner doesn't wait for it.
#[test]
fn a_grant_for_a_removed_task_is_returned() {
    let mut bench = Bench::new(1);
    let owner = Host::try_from("owner").unwrap();
    bench.enqueue_assignment(Assignment { shared: true, ..assignment(1, 1) }, "owner");
    let (_, reservation) = bench.dispatch_once().grant_requests.remove(0);
    bench.steward.withdraw(&owner, std::slice::from_ref(&reservation));
    let ends: Vec<End> =
        bench.grant(&owner, reservation).completions.iter().map(|(_, one)| one.end).collect();
    assert_eq!(ends, [End::NotRun]);
}

/// An owner that doesn't respond to a grant request must not keep a slot from other tasks for long.
#[test]
fn a_task_whose_grant_request_times_out_is_returned() {
    let mut bench = Bench::new(1);
    bench.enqueue_assignment(Assignment { shared: true, ..assignment(1, 1) }, "owner");
    assert_eq!(bench.dispatch_once().grant_requests.len(), 1);
    bench.now += Duration::from_millis(110);
    assert_eq!(bench.dispatch_once().completions.len(), 1);
    assert_eq!(bench.steward.queued(), 0);
}

/// Long tasks that were sent to start at once and find no free fast target are returned, so that
/// the owner queues them at several stewards.
#[test]
fn long_tasks_that_cannot_start_at_once_are_returned() {
    let mut bench = Bench::new(3);
    bench.learn_speeds();
    bench.enqueue(1, 6, "owner");
    assert_eq!(count_starts(&bench.dispatch()), 6);
    bench.enqueue_assignment(Assignment { shared: false, ..long_assignment(2, 2) }, "owner");
    let ends: Vec<End> = bench.dispatch().completions.iter().map(|(_, one)| one.end).collect();
    assert_eq!(ends, [End::NoFastTarget, End::NoFastTarget]);
}

/// Grants for shared long tasks are requested only when a slot on a fast target becomes free.
fn requests_grants_for_long_tasks(free: &str, requested: usize) {
    let mut bench = Bench::new(3);
    bench.learn_speeds();
    bench.enqueue(1, 6, "owner");
    assert_eq!(count_starts(&bench.dispatch()), 6);
    bench.enqueue_assignment(Assignment { started: true, ..long_assignment(2, 3) }, "owner");
    assert_eq!(bench.dispatch_once().grant_requests.len(), 0);
    bench.complete_on(free);
    assert_eq!(bench.dispatch_once().grant_requests.len(), requested);
}

cases! { requests_grants_for_long_tasks:
    not_for_slow_slots("t1", 0);
    for_fast_slots("t0", 1);
}

/// A short and a long task wait when a slot becomes free, on a fast or on a slow target.
fn long_tasks_wait(free: &str, wanted: &[&str]) {
    let mut bench = Bench::new(3);
    bench.learn_speeds();
    bench.enqueue(1, 6, "owner");
    assert_eq!(count_starts(&bench.dispatch()), 6);
    bench.enqueue_assignment(assignment(2, 1), "owner");
    bench.enqueue_assignment(long_assignment(3, 1), "owner");
    bench.complete_on(free);
    let started: Vec<_> = bench.dispatch().calls.iter().filter_map(started_task).collect();
    assert_eq!(started, wanted);
}

cases! { long_tasks_wait:
    and_come_first_on_fast_targets("t0", &["0000000000000003.0.0"]);
    while_short_tasks_take_slow_targets("t1", &["0000000000000002.0.0"]);
}

/// A long task needs a whole fast target, of which one half becomes free after the other.
#[test]
fn a_large_task_is_not_starved_by_smaller_ones() {
    let mut bench = Bench::new(3);
    bench.learn_speeds();
    bench.enqueue(1, 6, "owner");
    assert_eq!(count_starts(&bench.dispatch()), 6);
    let mut large = long_assignment(2, 1);
    large.tasks[0].requirements.resources.cpu_millis = 28_000;
    bench.enqueue_assignment(large, "owner");
    let mut small = assignment(3, 1);
    small.objective_in_ms = 1_000;
    small.tasks[0].requirements.estimate_ms = 400;
    bench.enqueue_assignment(small, "owner");
    bench.complete_on("t0");
    assert_eq!(count_starts(&bench.dispatch()), 0, "the free half is held for the large task");
    bench.complete_on("t0");
    let started: Vec<_> = bench.dispatch().calls.iter().filter_map(started_task).collect();
    assert_eq!(started, ["0000000000000002.0.0"]);
}

/// Waiting for a fast target would take too long, but the job may still end in time on the free
/// slow targets.
#[test]
fn a_long_job_that_may_end_on_slow_targets_is_kept() {
    let mut bench = Bench::new(3);
    bench.learn_speeds();
    bench.enqueue_assignment(long_assignment(1, 2), "owner");
    bench.dispatch();
    bench.enqueue_assignment(long_assignment(2, 1), "owner");
    let mut wide = long_assignment(3, 8);
    wide.tasks.iter_mut().for_each(|item| item.requirements.estimate_ms = 900);
    let many = bench.enqueue_assignment(wide, "owner");
    assert!(many.completions.is_empty(), "{:?}", many.completions);
}

/// At peak load, tasks that can no longer be on time are returned unless their job has started.
#[test]
fn late_tasks_of_an_unstarted_job_are_returned() {
    let mut bench = Bench::new(1);
    bench.enqueue(1, 2, "owner");
    bench.enqueue(2, 2, "owner");
    assert_eq!(count_starts(&bench.dispatch()), 2);
    bench.now += Duration::from_millis(120);
    let output = bench.dispatch();
    let ends: Vec<_> =
        output.completions.iter().map(|(_, one)| (one.task.job.to_string(), one.end)).collect();
    let second = format!("{:016x}", 2);
    assert_eq!(ends, [(second.clone(), End::TooLate), (second, End::TooLate)]);
}

/// At peak load, a new job starts only once all tasks of started jobs are placed.
#[test]
fn started_jobs_are_finished_before_new_ones_start() {
    let mut bench = Bench::new(1);
    bench.enqueue(1, 3, "owner");
    assert_eq!(count_starts(&bench.dispatch()), 2);
    let mut urgent = assignment(2, 1);
    urgent.objective_in_ms = 90;
    bench.enqueue_assignment(urgent, "owner");
    bench.complete_first();
    let output = bench.dispatch();
    let started: Vec<String> = output.calls.iter().filter_map(started_task).collect();
    assert_eq!(started, [format!("{:016x}.0.2", 1)]);
}

/// A peak that owners can't see yet: each has sent as many tasks as its view of the load allowed.
fn returns_assignment(ahead: u32, started: bool, wanted: Option<End>) {
    let mut bench = Bench::new(1);
    bench.enqueue(1, 2, "owner");
    bench.dispatch();
    for job in 0..ahead {
        let mut earlier = assignment(10 + job, 1);
        earlier.started = true;
        bench.enqueue_assignment(earlier, "owner");
    }
    let output = bench.enqueue_assignment(Assignment { started, ..assignment(2, 1) }, "owner");
    assert_eq!(output.completions.first().map(|(_, completion)| completion.end), wanted);
}

cases! { returns_assignment:
    that_would_be_late_behind_the_queue(6, false, Some(End::Overloaded));
    not_while_the_queue_is_short(1, false, None);
    not_of_a_started_job(6, true, None);
}

/// Runs of `jobs` jobs, expected to take 50 ms each, hang on one target for `ms` milliseconds.
fn recalls_runs(jobs: u32, ms: u64, wanted: usize) {
    let mut bench = Bench::new(1);
    for job in 1..=jobs {
        bench.enqueue(job, 2 / jobs, "owner");
    }
    let output = bench.dispatch();
    for call in output.calls.iter().filter(|call| started_task(call).is_some()) {
        bench.handle_response(call, Response::Accepted { clock_ms: 2 });
    }
    bench.now += Duration::from_millis(ms);
    let output = bench.maintain();
    let stops = output.calls.iter().filter(|call| matches!(call.order, Order::Stop { .. }));
    assert_eq!(stops.count(), wanted);
}

cases! { recalls_runs:
    on_a_target_that_hangs(2, 200, 2);
    none_that_may_just_be_long(2, 100, 0);
    none_of_a_single_job(1, 200, 0);
    none_that_could_not_end_in_time_elsewhere(2, 1_490, 0);
}

/// A cancelled job's queued tasks are removed, and its attempts are stopped at the next round of
/// calls.
#[test]
fn a_cancelled_job_frees_its_resources_at_once() {
    let mut bench = Bench::new(1);
    bench.enqueue(1, 4, "owner");
    let output = bench.dispatch();
    for call in output.calls.iter().filter(|call| matches!(call.order, Order::Start { .. })) {
        bench.handle_response(call, Response::Accepted { clock_ms: 2 });
    }
    let owner = Host::try_from("owner").unwrap();
    bench.steward.cancel(&owner, &Id::try_from(format!("{:016x}", 1)).unwrap(), 1);
    assert_eq!(bench.steward.queued(), 0);
    let stops =
        bench.maintain().calls.into_iter().filter(|call| matches!(call.order, Order::Stop { .. }));
    assert_eq!(stops.count(), 2);
}

/// A caller's repeat arrives through another owner while the first owner's task is still queued.
#[test]
fn a_repeat_replaces_the_first_submission() {
    let mut bench = Bench::new(0);
    bench.enqueue(1, 1, "owner");
    let output = bench.enqueue(1, 1, "another");
    let ends: Vec<_> =
        output.completions.iter().map(|(owner, one)| (owner.to_string(), one.end)).collect();
    assert_eq!(ends, [("owner".to_owned(), End::Unresolved)]);
    assert_eq!(bench.steward.queued(), 1);
}

#[test]
fn a_draining_target_gets_no_new_tasks() {
    let mut bench = Bench::new(2);
    let mut entries: Vec<_> = bench.directory.iter().cloned().collect();
    entries[0].state = directory::State::Draining;
    bench.directory.replace(entries, bench.now);
    bench.steward.sync(&bench.directory, &bench.membership, bench.now);
    bench.enqueue(1, 4, "owner");
    let output = bench.dispatch();
    assert_eq!(count_starts(&output), 2);
    let names: Vec<String> = output.calls.iter().map(|call| call.target.to_string()).collect();
    assert!(names.iter().all(|name| name == "t1"), "{names:?}");
}

/// Guards against a former steward that takes a target back from its successor: it keeps the target
/// only until its last attempts there have ended.
#[test]
fn change_of_suffix_claims_no_target_of_a_resigned_zone() {
    let mut bench = Bench::new(1);
    bench.enqueue(1, 1, "owner");
    bench.dispatch();
    bench.membership.claims.clear();
    bench.steward.sync(&bench.directory, &bench.membership, bench.now);
    assert_eq!(bench.steward.busy_unclaimed(&bench.membership).len(), 1);
    let before = bench.steward.trackers().next().unwrap().phase;
    bench.steward.void_tokens(&bench.membership);
    bench.maintain();
    assert_eq!(bench.steward.trackers().next().unwrap().phase, before);
}

/// Guards against targets that are still held under tokens which another process may use.
#[test]
fn change_of_suffix_claims_targets_again() {
    let mut bench = Bench::new(1);
    let before = bench.steward.trackers().next().unwrap().phase;
    bench.steward.void_tokens(&bench.membership);
    bench.maintain();
    let after = bench.steward.trackers().next().unwrap().phase;
    assert!(matches!((before, after), (Phase::Held(held), Phase::Claiming(new)) if new > held));
}
