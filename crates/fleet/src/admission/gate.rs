//! The judgement on one job.

use std::time::Duration;

use crate::job::{Outcome, Refusal};
use crate::speed::Forecast;

/// Least chance to end before the caller goes where targets are free: trying costs others little.
const LEAST_FREE: f64 = 0.1;
/// The same where work waits.
const LEAST_BUSY: f64 = 0.3;
/// Expected wait from which work counts as waiting.
const BUSY_FROM: Duration = Duration::from_millis(20);
/// Multiple of a job's slack that its expected wait may reach: what is behind that would be late and
/// make others late. Waits are expected too long, since some of what waits is dropped.
const TOLERANCE: f64 = 1.3;
/// Shortest time after which coming back makes sense: the resolution of the header is a second.
const SHORTEST_RETRY: Duration = Duration::from_secs(1);

/// What awaits a job.
#[derive(Clone, Debug)]
pub struct Estimate {
    /// Expected waits of its tasks, the shortest first.
    pub waits: Vec<Duration>,
    /// Run time of its longest chain of steps on the fastest targets, of one task a step.
    pub run: Forecast,
    /// Expected run time on the targets that it needs to be on time.
    pub required_run: Duration,
    /// Time in which its answer is on time.
    pub objective: Duration,
    /// How long its caller waits.
    pub timeout: Duration,
}

/// Whether work that is behind this wait would be late, with so much time left to its latest start.
#[must_use]
pub fn misses_objective(wait: Duration, slack: Duration) -> bool {
    wait >= BUSY_FROM && wait > slack.mul_f64(TOLERANCE)
}

/// Whether work has too little chance to end before its caller goes, if its last task waits for so long.
#[must_use]
pub fn is_unlikely(chance: f64, wait: Duration) -> bool {
    chance < if wait < BUSY_FROM { LEAST_FREE } else { LEAST_BUSY }
}

/// Whether a job has a chance to end in the time left if it starts now.
#[must_use]
pub fn is_feasible(run: &Forecast, left: Duration) -> bool {
    run.probability_within(left) >= LEAST_FREE
}

/// Whether the job is turned away, and with which answer.
#[must_use]
pub fn decide(estimate: &Estimate) -> Option<Outcome> {
    let slack = estimate.objective.saturating_sub(estimate.required_run);
    let wait = estimate.waits.last().copied().unwrap_or_default();
    if misses_objective(wait, slack) {
        return Some(turn_away(Refusal::TooLate, wait - slack));
    }
    if !is_unlikely(estimate.run.probability_all_within(&estimate.waits, estimate.timeout), wait) {
        return None;
    }
    let tasks = u32::try_from(estimate.waits.len()).unwrap_or(u32::MAX);
    let in_time = is_feasible(&estimate.run.longest_of(tasks), estimate.timeout);
    let refusal = if in_time { Refusal::TooLate } else { Refusal::Infeasible };
    Some(turn_away(refusal, wait))
}

fn turn_away(refusal: Refusal, backlog: Duration) -> Outcome {
    Outcome::Refused { refusal, retry_after: backlog.max(SHORTEST_RETRY) }
}
