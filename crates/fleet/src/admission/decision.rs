//! Admission decision for one job.

use std::time::Duration;

use crate::job::{Outcome, Refusal};
use crate::speed::Forecast;

/// Lowest probability of ending before the caller's deadline with which a job is admitted while
/// targets are free. It is low because an attempt then costs other jobs little.
const MIN_PROBABILITY_IDLE: f64 = 0.1;
/// Lowest probability of ending before the caller's deadline with which a job is admitted while
/// tasks are queued.
const MIN_PROBABILITY_BUSY: f64 = 0.3;
/// Expected wait from which tasks count as queued.
const MIN_BUSY_WAIT: Duration = Duration::from_millis(20);
/// Multiple of its slack up to which a job may be expected to wait; beyond that it would be late
/// and make others late. It is above 1 because waits are overestimated: some queued tasks are
/// dropped.
const SLACK_TOLERANCE: f64 = 1.3;
/// Share of its run time that a job may wait if its objective leaves less slack. The median error of a forecast is
/// 1.3 times their forecast.
const LARGE_SLACK_SHARE: f64 = 0.25;
/// Shortest retry delay; the `Retry-After` header has a resolution of one second.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Estimate of how a job would run if it were admitted now.
#[derive(Clone, Debug)]
pub struct Estimate {
    /// Expected waits of the job's tasks, in ascending order.
    pub waits: Vec<Duration>,
    /// Forecast run time of the critical path on the fastest targets, with one task a step.
    pub run: Forecast,
    /// Expected run time on the targets that the job needs in order to meet its objective.
    pub required_run: Duration,
    /// Time from now within which the answer is on time.
    pub objective: Duration,
    /// Time from now for which the caller waits.
    pub timeout: Duration,
    /// Wait that the job can take even if its objective leaves no slack.
    pub min_slack: Duration,
}

/// Wait that a job can take although its objective leaves less slack, for zones where the largest jobs would
/// otherwise be refused whenever anything waits. `run` is the expected run time on the fastest targets.
///
/// The objective of a job whose run takes most of its caller's time is cut to that time. Such a job has no
/// slack by its objective from the start, but a wait of a part of its run still lets it end.
#[must_use]
pub fn min_slack(run: Duration, timeout: Duration) -> Duration {
    timeout.saturating_sub(run).min(run.mul_f64(LARGE_SLACK_SHARE))
}

/// Whether a job that waits this long would miss its objective. `slack` is the time left until its
/// latest start.
#[must_use]
pub fn misses_objective(wait: Duration, slack: Duration) -> bool {
    wait >= MIN_BUSY_WAIT && wait > slack.mul_f64(SLACK_TOLERANCE)
}

/// Whether a job that ends before its caller's deadline with this probability is too unlikely to be
/// worth running. `wait` is the expected wait of its last task.
#[must_use]
pub fn is_unlikely(probability: f64, wait: Duration) -> bool {
    probability < if wait < MIN_BUSY_WAIT { MIN_PROBABILITY_IDLE } else { MIN_PROBABILITY_BUSY }
}

/// Whether a job that starts now is likely enough to end within `left`.
#[must_use]
pub fn is_feasible(run: &Forecast, left: Duration) -> bool {
    run.probability_within(left) >= MIN_PROBABILITY_IDLE
}

/// Decides on a job: `None` if it is admitted, or else the refusal to answer with.
#[must_use]
pub fn decide(estimate: &Estimate) -> Option<Outcome> {
    let slack = estimate.objective.saturating_sub(estimate.required_run).max(estimate.min_slack);
    let wait = estimate.waits.last().copied().unwrap_or_default();
    if misses_objective(wait, slack) {
        return Some(refuse(Refusal::TooLate, wait - slack));
    }
    if !is_unlikely(estimate.run.probability_all_within(&estimate.waits, estimate.timeout), wait) {
        return None;
    }
    let tasks = u32::try_from(estimate.waits.len()).unwrap_or(u32::MAX);
    let in_time = is_feasible(&estimate.run.longest_of(tasks), estimate.timeout);
    let refusal = if in_time { Refusal::TooLate } else { Refusal::Infeasible };
    Some(refuse(refusal, wait))
}

fn refuse(refusal: Refusal, backlog: Duration) -> Outcome {
    Outcome::Refused { refusal, retry_after: backlog.max(MIN_RETRY_AFTER) }
}
