//! Expected ends of running attempts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Target;

use super::placer::{fastest_factor, is_stuck};
use crate::directory;
use crate::lease::{Attempt, Tracker};
use crate::placement::is_fast;
use crate::speed::Estimator;

/// Smallest share of its expected run time that a run is assumed to still need, because the end of
/// an overdue run can't be predicted.
const MIN_REMAINING_SHARE: f64 = 0.25;

/// Expected times until the runs on fast, healthy targets end.
pub(super) fn fast_run_ends<'a>(
    trackers: &'a BTreeMap<Target, Tracker>,
    speeds: &'a Estimator,
    now: Instant,
) -> impl Iterator<Item = Duration> + 'a {
    let fastest_run = Duration::from_secs_f64(fastest_factor(trackers, speeds, now));
    let is_usable = move |tracker: &&Tracker| {
        let name = &tracker.entry.name;
        let factor = Duration::from_secs_f64(speeds.slowness(name, now).exp());
        let is_healthy =
            !tracker.is_closed() && !speeds.is_failing(name, now) && !is_stuck(tracker, now);
        is_healthy && tracker.entry.state == directory::State::Ready && is_fast(factor, fastest_run)
    };
    let running = trackers.values().filter(is_usable).flat_map(Tracker::attempts);
    running.map(move |(_, attempt)| remaining(attempt, now))
}

/// Expected time until a run ends.
pub(super) fn remaining(attempt: &Attempt, now: Instant) -> Duration {
    let ran = now.saturating_duration_since(attempt.sent_at);
    attempt.expected.saturating_sub(ran).max(attempt.expected.mul_f64(MIN_REMAINING_SHARE))
}
