//! The choice among targets with room.

use std::time::{Duration, Instant};

use crate::job::Resources;
use crate::queue::QueuedTask;

/// Expected run times within this factor of the best count as equal.
const ALIKE: f64 = 1.1;
/// Run times within this factor of the fastest target's make a target fast.
const FAST: f64 = 1.25;
/// Share of the fast targets' room that is left to work that needs it.
const RESERVE: f64 = 0.75;
/// Chance to end before the caller goes from which a target will do for work that could have a fast one.
const SURE: f64 = 0.95;
/// Chance that a fast target must add for a task to wait for it.
pub const MIN_CHANCE_GAIN: f64 = 0.05;
/// Least chance to end before the caller goes: a start that is bound to be in vain only keeps others out.
pub const LEAST: f64 = 0.05;
/// Time by which an end must be expected before the job is late: the way there and back.
const AHEAD: Duration = Duration::from_millis(15);

/// A target that could have the task.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Its place in the steward's list.
    pub place: usize,
    /// Expected run time of the task there.
    pub expected: Duration,
    /// Room that it has left.
    pub free: Resources,
    /// Whether what runs there is long overdue, or it fails what it starts.
    pub suspect: bool,
}

/// Room of the fast targets, in tasks like the one at hand.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fast {
    /// Expected run time on the fastest target there is, free or not.
    pub best: Duration,
    /// Tasks that could start on them now.
    pub free: u64,
    /// Tasks that they hold when empty.
    pub places: u64,
    /// Expected time until one more task can start on them.
    pub wait: Duration,
}

/// Whether a target is fast, by run times there and on the fastest one.
#[must_use]
pub fn is_fast(expected: Duration, best: Duration) -> bool {
    expected <= best.mul_f64(FAST)
}

/// Whether a task should wait for a fast target although another could start it: its chance to end before
/// its caller goes is better there, even after the wait.
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

/// What to do with a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Start it there.
    Start(usize),
    /// Wait for a better target.
    Wait,
}

/// Chooses a target.
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
