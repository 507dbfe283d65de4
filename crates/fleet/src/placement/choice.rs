//! The choice among targets with room.

use std::time::{Duration, Instant};

use crate::job::Room;
use crate::queue::Waiting;

/// Expected run times within this factor of the best count as equal.
const ALIKE: f64 = 1.1;

/// A target that could have the task.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Its place in the steward's list.
    pub place: usize,
    /// Expected run time of the task there.
    pub expected: Duration,
    /// Room that it has left.
    pub free: Room,
    /// Whether what runs there is long overdue, or it fails what it starts.
    pub suspect: bool,
}

/// What to do with a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Start it there.
    Start(usize),
    /// Wait for a better target.
    Wait,
}

/// Chooses a target. `fastest` is the expected run time on the fastest target there is, free or
/// not.
#[must_use]
pub fn choose(task: &Waiting, candidates: &[Candidate], fastest: Duration, now: Instant) -> Choice {
    let on_time = |expected: Duration| now + expected <= task.objective;
    let in_time = |expected: Duration| now + expected <= task.due;
    let sound: Vec<&Candidate> = candidates.iter().filter(|one| !one.suspect).collect();
    let Some(best) = sound.iter().map(|one| one.expected).min() else {
        return Choice::Wait;
    };
    let hopes = (on_time(fastest) && !on_time(best)) || (in_time(fastest) && !in_time(best));
    if hopes {
        return Choice::Wait;
    }
    let alike = sound.iter().filter(|one| one.expected <= best.mul_f64(ALIKE));
    let tightest = alike.min_by_key(|one| one.free.cpu_millis);
    tightest.map_or(Choice::Wait, |one| Choice::Start(one.place))
}
