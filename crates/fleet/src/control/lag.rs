//! How far the control thread is behind: the time that events wait for it.

use std::time::{Duration, Instant};

use metrics::histogram;

use crate::report::Record;

/// Interval between log lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Longest wait of an event below which no line is written.
const MIN_REPORTED_WAIT: Duration = Duration::from_millis(20);

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
