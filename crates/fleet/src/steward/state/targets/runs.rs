//! Expected ends of running attempts.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Host;

use crate::job::Task;
use crate::lease::Attempt;

/// Smallest share of its expected run time that a run is assumed to still need, because the end of
/// an overdue run can't be predicted.
const MIN_REMAINING_SHARE: f64 = 0.25;
/// Lower limit of expected run times: the round trip to a target.
pub(in super::super) const MIN_RUN: Duration = Duration::from_millis(5);
/// Expected end of runs whose expected run time can't be represented: beyond any deadline.
const FAR_FUTURE: Duration = Duration::from_secs(366 * 86_400);

/// Expected time until a run ends.
pub(in super::super) fn remaining(attempt: &Attempt, now: Instant) -> Duration {
    let ran = now.saturating_duration_since(attempt.sent_at);
    attempt.expected.saturating_sub(ran).max(attempt.expected.mul_f64(MIN_REMAINING_SHARE))
}

/// What the sums contain of one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(in super::super) struct Run {
    pub(super) task: Task,
    pub(super) owner: Host,
    pub(super) is_cancelled: bool,
    pub(super) is_isolated: bool,
    pub(super) end: End,
    /// Expected run time, at least [`MIN_RUN`].
    expected: Duration,
}

/// When a run is expected to end. From `settles_at` on the time left is assumed to be `min_left`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct End {
    at: Instant,
    min_left: Duration,
    settles_at: Instant,
}

impl Run {
    pub(super) fn new(task: &Task, attempt: &Attempt) -> Self {
        let min_left = attempt.expected.mul_f64(MIN_REMAINING_SHARE);
        let after =
            |time| attempt.sent_at.checked_add(time).unwrap_or(attempt.sent_at + FAR_FUTURE);
        Self {
            task: task.clone(),
            owner: attempt.owner.clone(),
            is_cancelled: attempt.cancelled,
            is_isolated: attempt.isolated,
            end: End {
                at: after(attempt.expected),
                min_left,
                settles_at: after(attempt.expected.saturating_sub(min_left)),
            },
            expected: attempt.expected.max(MIN_RUN),
        }
    }

    /// Ends per second of a slot that repeats this run.
    pub(super) fn ends_per_s(&self) -> f64 {
        self.expected.as_secs_f64().recip()
    }

    /// Expected time until the run ends.
    pub(in super::super) fn remaining(&self, now: Instant) -> Duration {
        self.end.remaining(now)
    }
}

impl End {
    fn remaining(&self, now: Instant) -> Duration {
        self.at.saturating_duration_since(now).max(self.min_left)
    }
}

/// The expected ends of a set of runs, in order.
///
/// The time left of a run falls until it is `min_left` and then stays the same, so both parts are in
/// order without regard to the time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(in super::super) struct Ends {
    /// Ends by their time, each with the row of its target and the task.
    falling: BTreeSet<(End, u32, Task)>,
    /// The same, by the time from which the time left stays the same.
    settling: BTreeSet<(Instant, End, u32, Task)>,
    /// Ends whose time left stays the same, by that time.
    settled: BTreeSet<(Duration, End, u32, Task)>,
    /// Time up to which ends have been moved.
    advanced_to: Option<Instant>,
}

impl Ends {
    pub(super) fn insert(&mut self, row: u32, run: &Run) {
        let Run { end, task, .. } = run;
        if self.advanced_to.is_some_and(|at| end.settles_at <= at) {
            self.settled.insert((end.min_left, *end, row, task.clone()));
            return;
        }
        self.settling.insert((end.settles_at, *end, row, task.clone()));
        self.falling.insert((*end, row, task.clone()));
    }

    pub(super) fn remove(&mut self, row: u32, run: &Run) {
        let Run { end, task, .. } = run;
        if self.falling.remove(&(*end, row, task.clone())) {
            self.settling.remove(&(end.settles_at, *end, row, task.clone()));
        } else {
            self.settled.remove(&(end.min_left, *end, row, task.clone()));
        }
    }

    /// Moves the ends whose time left stays the same from now on.
    pub(super) fn advance(&mut self, now: Instant) {
        self.advanced_to = self.advanced_to.max(Some(now));
        while self.settling.first().is_some_and(|(settles_at, ..)| *settles_at <= now) {
            let Some((_, end, row, task)) = self.settling.pop_first() else {
                return;
            };
            self.falling.remove(&(end, row, task.clone()));
            self.settled.insert((end.min_left, end, row, task));
        }
    }

    /// Number of runs.
    pub(in super::super) fn len(&self) -> usize {
        self.falling.len() + self.settled.len()
    }

    /// Times left, the shortest first.
    pub(in super::super) fn times(&self, now: Instant) -> impl Iterator<Item = Duration> {
        let falling = self.falling.iter().map(move |(end, ..)| end.remaining(now));
        merge(falling, self.settled.iter().map(|(left, ..)| *left))
    }

    /// Longest time left.
    pub(in super::super) fn last(&self, now: Instant) -> Option<Duration> {
        let falling = self.falling.last().map(|(end, ..)| end.remaining(now));
        falling.max(self.settled.last().map(|(left, ..)| *left))
    }
}

/// Merges two ascending sequences.
pub(in super::super) fn merge(
    one: impl Iterator<Item = Duration>,
    other: impl Iterator<Item = Duration>,
) -> impl Iterator<Item = Duration> {
    let (mut one, mut other) = (one.peekable(), other.peekable());
    std::iter::from_fn(move || match (one.peek(), other.peek()) {
        (Some(first), Some(second)) if second < first => other.next(),
        (Some(_), _) => one.next(),
        (None, _) => other.next(),
    })
}
