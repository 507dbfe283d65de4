//! Starts for owners that have not been heard for some time.

use std::time::{Duration, Instant};

use coltsfootshunt_testkit::cases;

use super::{Bench, TERM, assignment, count_starts, started_task};
use crate::job::{Assignment, End};
use crate::lease::{self, Call, Ended, Order, Report, Response};
use crate::member::tests::identity;

/// Longest time that a target needs to stop what runs when its lease expires.
const MAX_STOP_MS: f64 = 100.0;
/// Rate of the slowest clock that the platform allows for a target.
const SLOW_CLOCK: f64 = 0.98;
const OWNER: &str = "owner";

/// A steward with one target, whose clock is as slow as the platform allows.
struct Scenario {
    bench: Bench,
    begin: Instant,
    /// Latest expiry of a lease that the target was granted, on its clock.
    lease_until_ms: u64,
    pending: Vec<Call>,
}

impl Scenario {
    fn new() -> Self {
        let bench = Bench::new(1);
        let begin = bench.now;
        let mut scenario = Self { bench, begin, lease_until_ms: 0, pending: Vec::new() };
        scenario.hear_owner();
        scenario
    }

    fn hear_owner(&mut self) {
        self.bench.membership.record_contact(&identity(OWNER, "b", 250), self.bench.now);
    }

    fn clock_ms(&self) -> u64 {
        1 + ((self.bench.now - self.begin).as_secs_f64() * 1_000.0 * SLOW_CLOCK) as u64
    }

    /// Passes calls on to the target: starts are accepted at once, renewals wait.
    fn deliver(&mut self, calls: Vec<Call>) {
        for call in calls {
            match call.order {
                Order::Start { lease_until_ms, .. } => {
                    self.lease_until_ms = self.lease_until_ms.max(lease_until_ms);
                    let clock_ms = self.clock_ms();
                    self.bench.handle_response(&call, Response::Accepted { clock_ms });
                }
                Order::Renew { lease_until_ms, .. } => {
                    self.lease_until_ms = self.lease_until_ms.max(lease_until_ms.unwrap_or(0));
                    self.pending.push(call);
                }
                Order::Stop { .. } => {}
            }
        }
    }

    /// Responds to the waiting renewals; with `ends`, one attempt has ended.
    fn respond(&mut self, ends: bool) {
        let mut running: Vec<_> = {
            let tracker = self.bench.steward.trackers().next().unwrap();
            let rows = tracker.attempts();
            rows.map(|(task, one)| lease::Running { task: task.clone(), run: one.run }).collect()
        };
        let mut ended = Vec::new();
        if ends {
            let lease::Running { task, run } = running.remove(0);
            self.bench.ended += 1;
            let end = lease::End::Done;
            ended.push(Ended { sequence: self.bench.ended, task, run, end });
        }
        let clock_ms = self.clock_ms();
        let report =
            Report { clock_ms, started_at_ms: Some(1), running, ended, ..Report::default() };
        for call in std::mem::take(&mut self.pending) {
            self.bench.handle_response(&call, Response::Report(report.clone()));
        }
        let calls = self.bench.maintain().calls;
        self.deliver(calls);
    }

    fn dispatch(&mut self) -> usize {
        let output = self.bench.dispatch();
        let started = count_starts(&output);
        self.deliver(output.calls);
        // A start is followed by a renewal that waits at the target.
        let calls = self.bench.maintain().calls;
        self.deliver(calls);
        started
    }

    /// Longest time from now until everything at the target has stopped.
    fn longest_run(&self) -> Duration {
        let left_ms = self.lease_until_ms.saturating_sub(self.clock_ms()) as f64;
        Duration::from_secs_f64((left_ms / SLOW_CLOCK + MAX_STOP_MS) / 1_000.0)
    }
}

/// Two tasks of the steward itself take the target, and one of a remote owner waits. One of the
/// former ends when the owner has been silent for `silent_ms`. Returns the scenario and the number of
/// tasks that start then.
fn start_after_silence(silent_ms: u64) -> (Scenario, usize) {
    let mut scenario = Scenario::new();
    scenario.bench.enqueue(1, 2, "me");
    assert_eq!(scenario.dispatch(), 2);
    let mut waiting = assignment(2, 1);
    waiting.objective_in_ms = 1_400;
    scenario.hear_owner();
    scenario.bench.enqueue_assignment(waiting, OWNER);
    assert_eq!(scenario.dispatch(), 0);
    for _ in 0..silent_ms / 50 {
        scenario.bench.now += Duration::from_millis(50);
        scenario.respond(false);
        assert_eq!(scenario.dispatch(), 0);
    }
    scenario.respond(true);
    let started = scenario.dispatch();
    (scenario, started)
}

/// Guards against a task that runs twice: it started under a lease that had just been granted for
/// other owners' tasks, and outlived the moment at which its own owner's caller may resend it.
fn never_outlives_a_resend(silent_ms: u64) {
    let (scenario, started) = start_after_silence(silent_ms);
    let resend_in = TERM.resend_after.saturating_sub(Duration::from_millis(silent_ms));
    let longest = scenario.longest_run();
    assert!(
        started == 0 || longest <= resend_in,
        "it may run for {longest:?}, and its caller may resend it in {resend_in:?}"
    );
}

cases! { never_outlives_a_resend:
    of_an_owner_heard_just_now(0);
    of_an_owner_heard_at_its_last_heartbeat(250);
    of_an_owner_silent_for_300_ms(300);
    of_an_owner_silent_for_350_ms(350);
    of_an_owner_silent_for_500_ms(500);
    of_an_owner_silent_for_800_ms(800);
}

/// Guards against a task that runs twice: in one pass over the queue, another task started on the
/// target first and extended its lease.
#[test]
fn a_start_of_the_same_pass_counts() {
    let mut scenario = Scenario::new();
    scenario.bench.now += Duration::from_millis(1_200);
    let silent = Duration::from_millis(500);
    let heard_at = scenario.bench.now - silent;
    scenario.bench.membership.record_contact(&identity(OWNER, "b", 250), heard_at);
    let mut waiting = assignment(2, 1);
    waiting.objective_in_ms = 1_400;
    scenario.bench.enqueue_assignment(waiting, OWNER);
    scenario.bench.enqueue(1, 1, "me");
    let started = scenario.dispatch();
    let longest = scenario.longest_run();
    assert!(
        started == 1 || longest <= TERM.resend_after.saturating_sub(silent),
        "{started} started, for up to {longest:?}"
    );
    assert_eq!(scenario.bench.steward.queued(), 1, "the other one waits");
}

/// A task of an owner that is heard at its usual intervals starts as soon as there is room.
fn starts_at_once(silent_ms: u64) {
    assert_eq!(start_after_silence(silent_ms).1, 1);
}

cases! { starts_at_once:
    for_an_owner_heard_just_now(0);
    for_an_owner_before_its_next_heartbeat(250);
    for_an_owner_whose_heartbeat_is_a_tick_late(300);
}

/// A task of a silent owner starts as soon as the owner is heard.
#[test]
fn a_task_of_a_silent_owner_waits_for_its_next_word() {
    let (mut scenario, started) = start_after_silence(500);
    assert_eq!((started, scenario.bench.steward.queued()), (0, 1));
    scenario.bench.now += Duration::from_millis(20);
    scenario.hear_owner();
    assert_eq!(scenario.dispatch(), 1);
}

/// Tasks of a silent owner hold no room that another task could use, however many they are.
fn delays_no_other(waiting: u32) {
    let (mut scenario, started) = start_after_silence(500);
    assert_eq!(started, 0);
    let started_job = |job| Assignment { started: true, ..assignment(job, 1) };
    for job in 10..10 + waiting {
        scenario.bench.enqueue_assignment(started_job(job), OWNER);
    }
    scenario.bench.enqueue_assignment(started_job(99), "me");
    let calls = scenario.bench.dispatch().calls;
    let started: Vec<_> = calls.iter().filter_map(started_task).collect();
    assert_eq!(started, [format!("{:016x}.0.0", 99)]);
}

cases! { delays_no_other:
    by_one_task(0);
    by_tasks_of_many_jobs(40);
}

/// A task that can't start because its owner is silent does not wait for ever: it is returned as late,
/// which says that it has not run.
#[test]
fn a_task_of_a_silent_owner_is_returned_once_it_is_late() {
    let mut scenario = Scenario::new();
    scenario.bench.enqueue(1, 2, "me");
    assert_eq!(scenario.dispatch(), 2);
    scenario.hear_owner();
    let mut waiting = assignment(2, 1);
    waiting.objective_in_ms = 500;
    scenario.bench.enqueue_assignment(waiting, OWNER);
    let mut ends = Vec::new();
    for round in 0..12 {
        scenario.bench.now += Duration::from_millis(50);
        scenario.respond(round == 7);
        let output = scenario.bench.dispatch();
        assert_eq!(count_starts(&output), 0);
        ends.extend(output.completions.iter().map(|(_, one)| one.end));
    }
    assert_eq!((ends, scenario.bench.steward.queued()), (vec![End::TooLate], 0));
}
