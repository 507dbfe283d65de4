//! How long a target's answers are waited for.

use std::time::Duration;

/// Bounds of the timeout. The shorter one is some round trips between zones; the longer one is a
/// quarter of a lease, so that several calls fit into it.
const BOUNDS: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(250));
/// Multiple of the slowest recent answer that is waited for.
const MARGIN: u32 = 4;
/// Share of the slowest answer that is kept when a faster one comes.
const DECAY: f64 = 0.9;

/// A timeout that follows the answers: what gets no answer closes its target, so waiting longer than
/// answers take wastes the target, and waiting less raises its fence in vain.
#[derive(Clone, Copy, Debug)]
pub struct Timeout {
    slowest: Duration,
}

impl Default for Timeout {
    fn default() -> Self {
        Self { slowest: BOUNDS.1 / MARGIN }
    }
}

impl Timeout {
    /// Time for the next answer.
    #[must_use]
    pub fn within(&self) -> Duration {
        (self.slowest * MARGIN).clamp(BOUNDS.0, BOUNDS.1)
    }

    /// An answer came after some time.
    pub fn answered(&mut self, took: Duration) {
        self.slowest = took.max(self.slowest.mul_f64(DECAY)).min(BOUNDS.1 / MARGIN);
    }

    /// No answer came in time.
    pub fn missed(&mut self) {
        self.slowest = (self.slowest * 2).min(BOUNDS.1 / MARGIN);
    }
}
