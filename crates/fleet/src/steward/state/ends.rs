//! When runs are expected to end.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Target;

use super::place::{fastest, is_stuck};
use crate::directory;
use crate::lease::{Attempt, Tracker};
use crate::placement::is_fast;
use crate::speed::Estimator;

/// Share of its expected time that a run is taken to need at least, however long it has run: of a run that
/// is over its time nobody knows when it ends.
const LEFT: f64 = 0.25;

/// Times until runs on the fast ones of these targets are expected to end.
pub(super) fn on_fast<'a>(
    trackers: &'a BTreeMap<Target, Tracker>,
    speeds: &'a Estimator,
    now: Instant,
) -> impl Iterator<Item = Duration> + 'a {
    let best = Duration::from_secs_f64(fastest(trackers, speeds, now));
    let serves = move |picture: &&Tracker| {
        let name = &picture.entry.name;
        let factor = Duration::from_secs_f64(speeds.slowness(name, now).exp());
        let sound = !speeds.is_failing(name, now) && !is_stuck(picture, now);
        sound && picture.entry.state == directory::State::Ready && is_fast(factor, best)
    };
    let running = trackers.values().filter(serves).flat_map(Tracker::attempts);
    running.map(move |(_, attempt)| left(attempt, now))
}

/// Expected time until a run ends.
pub(super) fn left(attempt: &Attempt, now: Instant) -> Duration {
    let ran = now.saturating_duration_since(attempt.sent_at);
    attempt.expected.saturating_sub(ran).max(attempt.expected.mul_f64(LEFT))
}
