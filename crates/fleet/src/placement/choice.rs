//! Choice among the targets with enough free resources.

use std::time::{Duration, Instant};

use crate::job::Resources;
use crate::queue::QueuedTask;

/// Expected run times within this factor of the best one count as equal.
const ALIKE: f64 = 1.1;
/// A target is fast if its run times are within this factor of the fastest target's.
const FAST: f64 = 1.25;
/// Share of the fast targets' capacity that is reserved for tasks that need a fast target.
const RESERVE: f64 = 0.75;
/// Probability of ending before the caller's deadline from which a slower target is safe enough to
/// relieve the fast ones.
const SURE: f64 = 0.95;
/// Gain in the probability of ending before the caller's deadline for which a task waits for a fast
/// target.
pub const MIN_CHANCE_GAIN: f64 = 0.05;
/// Lowest probability of ending before the caller's deadline with which a task is still started. A
/// run that is bound to end too late only takes resources from others.
pub const LEAST: f64 = 0.05;
/// Margin before the objective by which a run on a slower target must be expected to end: the
/// network round trip.
const AHEAD: Duration = Duration::from_millis(15);

/// A target with enough free resources for the task.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Index of the target in the steward's list.
    pub place: usize,
    /// Expected run time of the task on this target.
    pub expected: Duration,
    /// Free resources of the target.
    pub free: Resources,
    /// Whether the target's runs are long overdue or tend to fail.
    pub suspect: bool,
}

/// Capacity of the fast targets, counted in tasks of the size of the one to place.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fast {
    /// Expected run time on the fastest target, free or not.
    pub best: Duration,
    /// Tasks that could start on fast targets now.
    pub free: u64,
    /// Tasks that the fast targets could run in total.
    pub places: u64,
    /// Expected time until one more task can start on a fast target.
    pub wait: Duration,
}

/// Whether a target is fast, given the expected run times on it and on the fastest target.
#[must_use]
pub fn is_fast(expected: Duration, best: Duration) -> bool {
    expected <= best.mul_f64(FAST)
}

/// Whether a task should wait for a fast target although another target could start it now: even
/// after the wait it is more likely to end before the caller's deadline on the fast target.
#[must_use]
pub fn wants_fast(
    task: &QueuedTask,
    expected: Duration,
    (best, wait): (Duration, Duration),
    now: Instant,
) -> bool {
    let here = task.chance(expected, Duration::ZERO, now);
    !is_fast(expected, best) && task.chance(best, wait, now) > here + MIN_CHANCE_GAIN
}

/// Decision on one task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Start on the candidate with this index.
    Start(usize),
    /// Stay queued for a better target.
    Wait,
}

/// Chooses a target for a task, or lets the task wait.
#[must_use]
pub fn choose(task: &QueuedTask, candidates: &[Candidate], fast: Fast, now: Instant) -> Choice {
    let on_time = |expected: Duration| now + expected <= task.objective;
    let chance = |expected: Duration| task.chance(expected, Duration::ZERO, now);
    let sound: Vec<&Candidate> = candidates.iter().filter(|one| !one.suspect).collect();
    let Some(best) = sound.iter().map(|one| one.expected).min() else {
        return Choice::Wait;
    };
    let hopes = on_time(fast.best) && !on_time(best);
    let waits = wants_fast(task, best, (fast.best, fast.wait), now);
    if hopes || waits || chance(best) < LEAST {
        return Choice::Wait;
    }
    let scarce = fast.free as f64 <= fast.places as f64 * RESERVE;
    let sure = |one: &&&Candidate| {
        !is_fast(one.expected, fast.best)
            && on_time(one.expected + AHEAD)
            && chance(one.expected) >= SURE
    };
    let elsewhere = sound.iter().filter(sure).map(|one| one.expected).min();
    let wanted = elsewhere.filter(|_| scarce && is_fast(best, fast.best)).unwrap_or(best);
    let alike = |one: &&&Candidate| one.expected >= wanted && one.expected <= wanted.mul_f64(ALIKE);
    let tightest = sound.iter().filter(alike).min_by_key(|one| one.free.cpu_millis);
    tightest.map_or(Choice::Wait, |one| Choice::Start(one.place))
}
