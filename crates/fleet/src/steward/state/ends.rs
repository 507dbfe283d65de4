//! When places on fast targets become free.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Target;

use super::place::{fastest, is_stuck};
use crate::directory;
use crate::lease::{Attempt, Picture};
use crate::placement::is_fast;
use crate::speed::Book;

/// Share of its expected time that a run is taken to need at least, however long it has run: of a run that
/// is over its time nobody knows when it ends.
const LEFT: f64 = 0.25;
/// Expected wait while no fast target can be used for now, such as during a claim: about an answer.
const UNKNOWN: Duration = Duration::from_millis(50);

/// Times until runs on fast targets are expected to end, the next one first.
#[derive(Debug)]
pub(super) struct Ends {
    next: Vec<Duration>,
}

impl Ends {
    /// What runs on the fast ones of these targets.
    pub(super) fn new(pictures: &BTreeMap<Target, Picture>, speeds: &Book, now: Instant) -> Self {
        let best = Duration::from_secs_f64(fastest(pictures, speeds, now));
        let serves = |picture: &&Picture| {
            let name = &picture.entry.name;
            let factor = Duration::from_secs_f64(speeds.slowness(name, now).exp());
            let sound = !speeds.is_failing(name, now) && !is_stuck(picture, now);
            sound && picture.entry.state == directory::State::Ready && is_fast(factor, best)
        };
        let running = pictures.values().filter(serves).flat_map(Picture::attempts);
        let mut next: Vec<Duration> = running.map(|(_, attempt)| left(attempt, now)).collect();
        next.sort_unstable();
        Self { next }
    }

    /// Expected time until a place is free for a task that comes after so many others that wait.
    pub(super) fn after(&self, others: usize) -> Duration {
        let Some(last) = self.next.last() else {
            return UNKNOWN;
        };
        let rounds = u32::try_from(others / self.next.len()).unwrap_or(u32::MAX);
        last.saturating_mul(rounds) + self.next[others % self.next.len()]
    }
}

/// Expected time until a run ends.
pub(super) fn left(attempt: &Attempt, now: Instant) -> Duration {
    let ran = now.saturating_duration_since(attempt.since);
    attempt.expected.saturating_sub(ran).max(attempt.expected.mul_f64(LEFT))
}
