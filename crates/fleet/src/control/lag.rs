//! How far the control thread is behind: the time that events wait for it.

use std::time::{Duration, Instant};

use metrics::histogram;

use crate::report::Record;

/// Interval between log lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Longest wait of an event below which no line is written.
const MIN_REPORTED_WAIT: Duration = Duration::from_millis(20);

/// Backlog from which it counts as wait: above what a busy host shows between two iterations.
const MIN_WAIT: Duration = Duration::from_millis(20);
/// Backlog above which a steward takes no new tasks. Short jobs have about this much slack.
const MAX_OPEN_BACKLOG: Duration = Duration::from_millis(50);
/// Backlog above which lines for each task are counted instead of written.
const MAX_LOGGED_BACKLOG: Duration = Duration::from_millis(100);

/// How far the control thread is behind: the age of the oldest event that it has not handled.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    age: Duration,
}

impl From<Duration> for Backlog {
    fn from(age: Duration) -> Self {
        Self { age }
    }
}

impl Backlog {
    /// Age of the oldest event that waits.
    #[must_use]
    pub fn age(self) -> Duration {
        self.age
    }

    /// Wait that it adds to that of tasks.
    #[must_use]
    pub fn wait(self) -> Duration {
        if self.age > MIN_WAIT { self.age } else { Duration::ZERO }
    }

    /// Whether a steward should take no new tasks.
    #[must_use]
    pub fn stops_new_tasks(self) -> bool {
        self.age > MAX_OPEN_BACKLOG
    }

    /// Whether lines for each task are counted instead of written.
    #[must_use]
    pub fn drops_records(self) -> bool {
        self.age > MAX_LOGGED_BACKLOG
    }
}

/// Interval between lines that give the number of records without a line of their own.
const DROPPED_INTERVAL: Duration = Duration::from_secs(1);

/// Records that were counted instead of written.
#[derive(Debug)]
pub(super) struct Dropped {
    since: Instant,
    records: u64,
}

impl Dropped {
    pub(super) fn new(now: Instant) -> Self {
        Self { since: now, records: 0 }
    }

    pub(super) fn add(&mut self) {
        self.records += 1;
    }

    /// Returns what to log if a line is due.
    pub(super) fn end_iteration(&mut self, now: Instant) -> Option<Record> {
        let period = now.duration_since(self.since);
        if self.records == 0 || period < DROPPED_INTERVAL {
            return None;
        }
        let Self { records, .. } = std::mem::replace(self, Self::new(now));
        Some(Record::RecordsDropped { records, period })
    }
}

/// Waits of the events since the last line.
#[derive(Debug)]
pub(super) struct Lag {
    since: Instant,
    events: u64,
    iterations: u64,
    total_wait: Duration,
    longest_wait: Duration,
}

impl Lag {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            since: now,
            events: 0,
            iterations: 0,
            total_wait: Duration::ZERO,
            longest_wait: Duration::ZERO,
        }
    }

    /// Counts an event that waited until it was handled.
    pub(super) fn record_event(&mut self, wait: Duration) {
        self.events += 1;
        self.total_wait += wait;
        self.longest_wait = self.longest_wait.max(wait);
    }

    /// Counts an iteration. Returns what to log, if a line is due and an event has waited for long.
    pub(super) fn end_iteration(&mut self, now: Instant) -> Option<Record> {
        self.iterations += 1;
        let period = now.duration_since(self.since);
        if period < REPORT_INTERVAL {
            return None;
        }
        let Self { events, iterations, total_wait, longest_wait, .. } =
            std::mem::replace(self, Self::new(now));
        histogram!("coltsfootshunt_control_wait_seconds").record(longest_wait.as_secs_f64());
        let mean_wait = total_wait / u32::try_from(events.max(1)).unwrap_or(u32::MAX);
        let record = Record::ControlBehind { events, iterations, mean_wait, longest_wait, period };
        (longest_wait >= MIN_REPORTED_WAIT).then_some(record)
    }
}
