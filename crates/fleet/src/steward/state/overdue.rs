//! Runs that take much longer than expected, and targets that hang for this reason.

use std::time::{Duration, Instant};

use crate::job::Task;
use crate::lease::{Attempt, Tracker};

/// Multiple of its expected run time after which a run is overdue. About one in thirty healthy runs
/// takes that long.
pub(super) const OVERDUE_FACTOR: f64 = 3.0;
/// Shortest time after which a run is overdue; short runs vary by the network round trip.
pub(super) const MIN_OVERDUE: Duration = Duration::from_millis(120);

fn is_overdue(attempt: &Attempt, now: Instant) -> bool {
    let limit = attempt.expected.mul_f64(OVERDUE_FACTOR).max(MIN_OVERDUE);
    now.duration_since(attempt.sent_at) > limit
}

/// Whether all of at least two runs on a target are overdue, so that it hangs or has slowed down.
pub(super) fn is_stuck(tracker: &Tracker, now: Instant) -> bool {
    let mut running = 0;
    for (_, attempt) in tracker.attempts() {
        if !is_overdue(attempt, now) {
            return false;
        }
        running += 1;
    }
    running >= 2
}

/// Whether a target hangs: runs of two different jobs are overdue. Overdue runs of a single job
/// don't count, since all its tasks may take long.
pub(super) fn is_hung(tracker: &Tracker, now: Instant) -> bool {
    let counts = |(_, attempt): &(&Task, &Attempt)| !attempt.recalled && is_overdue(attempt, now);
    let mut jobs = tracker.attempts().filter(counts).map(|(task, _)| &task.job);
    jobs.next().is_some_and(|first| jobs.any(|other| other != first))
}
