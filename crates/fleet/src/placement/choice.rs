//! Choice among the targets with enough free resources.

use std::time::{Duration, Instant};

use super::Outlook;
use crate::job::Resources;
use crate::queue::QueuedTask;

/// Expected run times within this factor of the best one count as equal.
pub(super) const EQUAL_FACTOR: f64 = 1.1;
/// A target is fast if its run times are within this factor of the fastest targets'.
pub(crate) const FAST_FACTOR: f64 = 1.25;
/// Share of the fast targets' capacity that is reserved for tasks that need a fast target.
const RESERVED_SHARE: f64 = 0.75;
/// Probability of ending before the caller's deadline from which a slower target is safe enough to
/// relieve the fast ones.
const SAFE_PROBABILITY: f64 = 0.95;
/// Gain in the probability of ending before the caller's deadline for which a task waits for a fast
/// target.
pub const MIN_CHANCE_GAIN: f64 = 0.05;
/// Lowest probability of ending before the caller's deadline with which a task is still started. A
/// run that is bound to end too late only takes resources from others.
pub const MIN_PROBABILITY: f64 = 0.05;
/// Margin before the objective by which a run on a slower target must be expected to end: the
/// network round trip.
const OBJECTIVE_MARGIN: Duration = Duration::from_millis(15);

/// A target with enough free resources for the task.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Index of the target in the steward's list.
    pub index: usize,
    /// Expected run time of the task on this target.
    pub expected: Duration,
    /// Free resources of the target.
    pub free: Resources,
    /// Whether the target's runs are long overdue or tend to fail.
    pub suspect: bool,
}

/// Capacity of the fast targets, counted in tasks of the size of the one to place.
#[derive(Clone, Copy, Debug, Default)]
pub struct FastTargets {
    /// Expected run time on the fastest targets, free or not.
    pub fastest_run: Duration,
    /// Tasks that could start on fast targets now.
    pub free_slots: u64,
    /// Tasks that the fast targets could run in total.
    pub slots: u64,
    /// Expected time until one more task can start on a fast target.
    pub wait: Duration,
}

/// Whether a target is fast, given the expected run times on it and on the fastest targets.
#[must_use]
pub fn is_fast(expected: Duration, fastest_run: Duration) -> bool {
    expected <= fast_limit(fastest_run)
}

/// Longest expected run time on a fast target.
pub(super) fn fast_limit(fastest_run: Duration) -> Duration {
    fastest_run.mul_f64(FAST_FACTOR)
}

/// Whether a task should wait for a fast target although another target could start it now: even
/// after the wait it is more likely to end before the caller's deadline on the fast target.
#[must_use]
pub fn wants_fast(
    task: &QueuedTask,
    expected: Duration,
    (fastest_run, wait): (Duration, Duration),
    now: Instant,
) -> bool {
    let current = task.probability_in_time(expected, Duration::ZERO, now);
    !is_fast(expected, fastest_run)
        && task.probability_in_time(fastest_run, wait, now) > current + MIN_CHANCE_GAIN
}

/// Decision on one task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Start on the candidate with this index.
    Start(usize),
    /// Stay queued for a better target.
    Wait,
}

/// Chooses a target for a task, or lets the task wait. `outlook` tells what else waits.
#[must_use]
pub fn choose(
    task: &QueuedTask,
    candidates: &[Candidate],
    fast: FastTargets,
    outlook: &Outlook,
    now: Instant,
) -> Choice {
    let is_on_time = |expected: Duration| now + expected <= task.objective;
    let probability = |expected: Duration| task.probability_in_time(expected, Duration::ZERO, now);
    let healthy: Vec<&Candidate> =
        candidates.iter().filter(|candidate| !candidate.suspect).collect();
    let Some(best) = healthy.iter().map(|candidate| candidate.expected).min() else {
        return Choice::Wait;
    };
    let could_be_on_time = is_on_time(fast.fastest_run) && !is_on_time(best);
    let is_better_later = wants_fast(task, best, (fast.fastest_run, fast.wait), now);
    if could_be_on_time || is_better_later || probability(best) < MIN_PROBABILITY {
        return Choice::Wait;
    }
    let are_scarce = fast.free_slots as f64 <= fast.slots as f64 * RESERVED_SHARE;
    let is_safe = |candidate: &&&Candidate| {
        !is_fast(candidate.expected, fast.fastest_run)
            && is_on_time(candidate.expected + OBJECTIVE_MARGIN)
            && probability(candidate.expected) >= SAFE_PROBABILITY
    };
    let elsewhere = healthy.iter().filter(is_safe).map(|candidate| candidate.expected).min();
    let shortest =
        elsewhere.filter(|_| are_scarce && is_fast(best, fast.fastest_run)).unwrap_or(best);
    let is_equal = |candidate: &&&Candidate| {
        candidate.expected >= shortest && candidate.expected <= shortest.mul_f64(EQUAL_FACTOR)
    };
    let size = task.requirements.resources.cpu_millis;
    let rank = |candidate: &&&Candidate| outlook.rank(candidate.free.cpu_millis, size);
    let best_fit = healthy.iter().filter(is_equal).min_by_key(rank);
    best_fit.map_or(Choice::Wait, |candidate| Choice::Start(candidate.index))
}
