//! Bounds how many lines are written.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Lines of one kind in one second; a host serves about a hundred tasks in that time.
const LINES: u32 = 400;
/// Time over which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Lines written in the current period, by kind.
#[derive(Debug)]
pub struct Limiter {
    since: Instant,
    written: HashMap<&'static str, u32>,
    /// Lines left out in all.
    suppressed: u64,
}

impl Limiter {
    /// A budget of which nothing is spent.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { since: now, written: HashMap::new(), suppressed: 0 }
    }

    /// Whether one more line of a kind may be written.
    pub fn try_acquire(&mut self, kind: &'static str, now: Instant) -> bool {
        if now.duration_since(self.since) >= PERIOD {
            self.since = now;
            self.written.clear();
        }
        let written = self.written.entry(kind).or_default();
        *written += 1;
        let may = *written <= LINES;
        self.suppressed += u64::from(!may);
        may
    }

    /// Lines left out since the last call.
    pub fn take_suppressed(&mut self) -> u64 {
        std::mem::take(&mut self.suppressed)
    }
}
