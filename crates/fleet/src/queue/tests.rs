use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Kind, Service};
use coltsfootshunt_testkit::cases;

use super::{Binding, Queue, QueuedTask};
use crate::job::{Id, Requirements, Task};

/// A task of 100 ms whose job is late after `objective_ms` and whose caller goes after `due_ms`.
pub(crate) fn waiting(
    job: &str,
    priority: u32,
    now: Instant,
    objective_ms: u64,
    due_ms: u64,
) -> QueuedTask {
    QueuedTask {
        task: Task { job: Id::try_from(job).unwrap(), step: 0, index: 0 },
        owner: Host::try_from("owner").unwrap(),
        generation: 1,
        kind: Kind::try_from("cut").unwrap(),
        service: Service::try_from("mill").unwrap(),
        priority,
        run: 1,
        sequence: 1,
        requirements: Requirements { estimate_ms: 100, ..Requirements::default() },
        spec: "".into(),
        objective: now + Duration::from_millis(objective_ms),
        deadline: now + Duration::from_millis(due_ms),
        since: now,
        typical: Duration::from_millis(100),
        usual: Duration::from_millis(100),
        quickest: Duration::from_millis(100),
        deviation: 0.3,
        width: 1,
        started: false,
        binding: Binding::Exclusive,
    }
}

const FIRST: &str = "0000000000000001";
const SECOND: &str = "0000000000000002";

fn order(first: (u32, u64), second: (u32, u64), wanted: [&str; 2]) {
    let now = Instant::now();
    let mut line = Queue::default();
    line.push(waiting(FIRST, first.0, now, first.1, 1_500));
    line.push(waiting(SECOND, second.0, now, second.1, 1_500));
    line.sort(now);
    let jobs: Vec<String> = line.iter().map(|one| one.task.job.to_string()).collect();
    assert_eq!(jobs, wanted);
}

cases! { order:
    least_slack_first((0, 900), (0, 300), [SECOND, FIRST]);
    urgent_work_that_has_time_waits_for_work_that_has_none((0, 900), (2, 300), [SECOND, FIRST]);
    late_work_waits_for_work_that_can_be_on_time((0, 50), (2, 900), [SECOND, FIRST]);
    late_work_goes_by_priority((2, 10), (0, 50), [SECOND, FIRST]);
}

fn levels(left_ms: u64, run_ms: u64, level: usize) {
    let (left, run) = (Duration::from_millis(left_ms), Duration::from_millis(run_ms));
    assert_eq!(super::slack_level(left, run), level);
}

cases! { levels:
    of_short_work(142, 51, 1);
    of_long_work(1_276, 760, 3);
    of_work_that_is_late(50, 100, 0);
    of_work_with_all_time(9_000, 100, 5);
}

/// Both are late; the second one's job has begun.
#[test]
fn late_work_of_a_job_that_has_begun_goes_first() {
    let now = Instant::now();
    let mut line = Queue::default();
    line.push(waiting(FIRST, 0, now, 50, 1_500));
    line.push(QueuedTask { started: true, ..waiting(SECOND, 2, now, 50, 1_500) });
    line.sort(now);
    let first = line.iter().next().map(|one| one.task.job.to_string());
    assert_eq!(first.as_deref(), Some(SECOND));
}

/// A crest of urgent work must not leave jobs half done.
#[test]
fn work_of_a_job_that_has_begun_goes_before_urgent_work() {
    let now = Instant::now();
    let mut line = Queue::default();
    line.push(waiting(FIRST, 0, now, 150, 1_500));
    line.push(waiting(SECOND, 2, now, 900, 1_500));
    let started = Id::try_from(SECOND).unwrap();
    line.begin(&[(started, 1)].into());
    line.sort(now);
    let first = line.iter().next().map(|one| one.task.job.to_string());
    assert_eq!(first.as_deref(), Some(SECOND));
}

/// Core time of 100 ms on one core each: what has begun and what is as urgent counts.
fn ahead(slack_ms: u64, wanted: f64) {
    let now = Instant::now();
    let cores = |one: QueuedTask| {
        let mut one = one;
        one.requirements.resources.cpu_millis = 1_000;
        one
    };
    let mut line = Queue::default();
    line.push(cores(QueuedTask { started: true, ..waiting(FIRST, 0, now, 2_000, 9_000) }));
    line.push(cores(waiting(SECOND, 0, now, 400, 9_000)));
    let before = line.work_before(now + Duration::from_millis(slack_ms), now);
    assert!((before - wanted).abs() < 1e-6, "{before}");
}

cases! { ahead:
    of_urgent_work_is_what_has_begun(100, 100.0);
    of_patient_work_is_all(500, 200.0);
}

/// Long work that only a fast target ends in time is as urgent as that target makes it.
#[test]
fn work_for_fast_targets_is_not_late_while_they_would_do() {
    let now = Instant::now();
    let quickest = Duration::from_millis(50);
    let long = QueuedTask { quickest, ..waiting(FIRST, 0, now, 90, 1_500) };
    assert!(!long.is_late(now));
    let mut line = Queue::default();
    line.push(waiting(SECOND, 0, now, 400, 1_500));
    line.push(long);
    line.sort(now);
    let first = line.iter().next().map(|one| one.task.job.to_string());
    assert_eq!(first.as_deref(), Some(FIRST));
}

/// Of many tasks one is likely to be too long for a slow target where one task alone is not.
fn is_long(width: u32, wanted: bool) {
    let now = Instant::now();
    let usual = Duration::from_millis(860);
    let quickest = Duration::from_millis(400);
    let one = QueuedTask { usual, quickest, width, ..waiting(FIRST, 0, now, 1_400, 1_500) };
    assert_eq!(one.is_long(now), wanted);
}

cases! { is_long:
    not_a_single_task(1, false);
    a_task_of_a_wide_job(8, true);
}
