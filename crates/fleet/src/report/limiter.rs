//! Limits the rate of log lines.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Maximum number of lines with the same message per second. A host runs about a hundred tasks in that
/// time.
const MAX_LINES_PER_PERIOD: u32 = 400;
/// Period over which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Rate limiter with a separate limit for each message.
#[derive(Debug)]
pub struct Limiter {
    period_start: Instant,
    counts: HashMap<&'static str, u32>,
    /// Lines suppressed since the last call of [`Self::take_suppressed`].
    suppressed: u64,
}

impl Limiter {
    /// Creates a limiter whose first period begins at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { period_start: now, counts: HashMap::new(), suppressed: 0 }
    }

    /// Counts a line with this message. Returns whether it may be written.
    pub fn try_acquire(&mut self, message: &'static str, now: Instant) -> bool {
        if now.duration_since(self.period_start) >= PERIOD {
            self.period_start = now;
            self.counts.clear();
        }
        let count = self.counts.entry(message).or_default();
        *count += 1;
        let is_allowed = *count <= MAX_LINES_PER_PERIOD;
        self.suppressed += u64::from(!is_allowed);
        is_allowed
    }

    /// Returns the number of lines suppressed since the last call.
    pub fn take_suppressed(&mut self) -> u64 {
        std::mem::take(&mut self.suppressed)
    }
}
