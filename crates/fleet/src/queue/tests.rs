use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Kind, Service};
use coltsfootshunt_testkit::cases;

use super::{Binding, Queue, QueuedTask};
use crate::job::{Id, Requirements, Task};
use crate::precedence::LeastSlack;

/// A task of 100 ms with an objective and a caller's deadline, in milliseconds from now.
pub(crate) fn queued_task(
    job: &str,
    priority: u32,
    now: Instant,
    objective_ms: u64,
    deadline_ms: u64,
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
        deadline: now + Duration::from_millis(deadline_ms),
        queued_at: now,
        average_run: Duration::from_millis(100),
        median_run: Duration::from_millis(100),
        fastest_run: Duration::from_millis(100),
        deviation: 0.3,
        width: 1,
        job_started: false,
        is_excess: false,
        binding: Binding::Exclusive,
    }
}

const FIRST: &str = "0000000000000001";
const SECOND: &str = "0000000000000002";

fn sorts(first: (u32, u64), second: (u32, u64), wanted: [&str; 2]) {
    let now = Instant::now();
    let mut queue = Queue::default();
    queue.push(queued_task(FIRST, first.0, now, first.1, 1_500));
    queue.push(queued_task(SECOND, second.0, now, second.1, 1_500));
    queue.sort(&LeastSlack, now);
    let jobs: Vec<String> = queue.iter().map(|queued| queued.task.job.to_string()).collect();
    assert_eq!(jobs, wanted);
}

cases! { sorts:
    least_slack_first((0, 900), (0, 300), [SECOND, FIRST]);
    less_slack_before_higher_priority((0, 900), (2, 300), [SECOND, FIRST]);
    on_time_before_late((0, 50), (2, 900), [SECOND, FIRST]);
    late_tasks_by_priority((2, 10), (0, 50), [SECOND, FIRST]);
}

fn assigns_slack_level(left_ms: u64, run_ms: u64, level: usize) {
    let (left, run) = (Duration::from_millis(left_ms), Duration::from_millis(run_ms));
    assert_eq!(super::slack_level(left, run), level);
}

cases! { assigns_slack_level:
    of_a_short_job(142, 51, 1);
    of_a_long_job(1_276, 760, 3);
    of_a_late_job(50, 100, 0);
    of_a_job_with_ample_time(9_000, 100, 5);
}

/// Both tasks are late, and the job of the second one has started.
#[test]
fn late_tasks_of_a_started_job_come_first() {
    let now = Instant::now();
    let mut queue = Queue::default();
    queue.push(queued_task(FIRST, 0, now, 50, 1_500));
    queue.push(QueuedTask { job_started: true, ..queued_task(SECOND, 2, now, 50, 1_500) });
    queue.sort(&LeastSlack, now);
    let first = queue.iter().next().map(|queued| queued.task.job.to_string());
    assert_eq!(first.as_deref(), Some(SECOND));
}

/// A peak of urgent jobs must not leave started jobs half done.
#[test]
fn tasks_of_a_started_job_come_before_urgent_ones() {
    let now = Instant::now();
    let mut queue = Queue::default();
    queue.push(queued_task(FIRST, 0, now, 150, 1_500));
    queue.push(queued_task(SECOND, 2, now, 900, 1_500));
    let started = Id::try_from(SECOND).unwrap();
    queue.mark_started(&[(started, 1)].into());
    queue.sort(&LeastSlack, now);
    let first = queue.iter().next().map(|queued| queued.task.job.to_string());
    assert_eq!(first.as_deref(), Some(SECOND));
}

/// Each task takes 100 ms on one core. Started jobs and jobs that are at least as urgent count.
fn counts_work_ahead(slack_ms: u64, wanted: f64) {
    let now = Instant::now();
    let cores = |queued: QueuedTask| {
        let mut queued = queued;
        queued.requirements.resources.cpu_millis = 1_000;
        queued
    };
    let mut queue = Queue::default();
    queue.push(cores(QueuedTask { job_started: true, ..queued_task(FIRST, 0, now, 2_000, 9_000) }));
    queue.push(cores(queued_task(SECOND, 0, now, 400, 9_000)));
    let arriving = queued_task(FIRST, 0, now, slack_ms + 135, 9_000).class(now);
    let [before] = queue.work_before(&[arriving], &LeastSlack, now);
    assert!((before - wanted).abs() < 1e-6, "{before}");
}

cases! { counts_work_ahead:
    of_urgent_jobs_only_started_ones(100, 100.0);
    of_a_job_with_slack_all(500, 200.0);
}

/// The slack of a task that needs a fast target is computed with the run time on that target.
#[test]
fn a_task_for_fast_targets_is_not_late_while_they_can_end_it() {
    let now = Instant::now();
    let fastest_run = Duration::from_millis(50);
    let long = QueuedTask { fastest_run, ..queued_task(FIRST, 0, now, 90, 1_500) };
    assert!(!long.is_late(now));
    let mut queue = Queue::default();
    queue.push(queued_task(SECOND, 0, now, 400, 1_500));
    queue.push(long);
    queue.sort(&LeastSlack, now);
    let first = queue.iter().next().map(|queued| queued.task.job.to_string());
    assert_eq!(first.as_deref(), Some(FIRST));
}

/// The more tasks a job has, the likelier one of them is too long for a slow target.
fn is_long(width: u32, wanted: bool) {
    let now = Instant::now();
    let median_run = Duration::from_millis(860);
    let fastest_run = Duration::from_millis(400);
    let queued =
        QueuedTask { median_run, fastest_run, width, ..queued_task(FIRST, 0, now, 1_400, 1_500) };
    assert_eq!(queued.is_long(now), wanted);
}

cases! { is_long:
    not_a_single_task(1, false);
    a_task_of_a_wide_job(8, true);
}
