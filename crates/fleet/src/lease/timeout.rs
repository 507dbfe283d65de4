//! How long a target's answers are waited for.

use std::time::Duration;

/// Bounds of the timeout. The shorter one is some round trips between zones; the longer one is a
/// quarter of a lease, so that several calls fit into it.
const TIMEOUT_RANGE: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(250));
/// Multiple of the slowest recent answer that is waited for.
const RESPONSE_TIME_FACTOR: u32 = 4;
/// Share of the slowest answer that is kept when a faster one comes.
const DECAY: f64 = 0.9;

/// A timeout that follows the answers: what gets no answer closes its target, so waiting longer than
/// answers take wastes the target, and waiting less raises its fence in vain.
#[derive(Clone, Copy, Debug)]
pub struct Timeout {
    slowest_response: Duration,
}

impl Default for Timeout {
    fn default() -> Self {
        Self { slowest_response: TIMEOUT_RANGE.1 / RESPONSE_TIME_FACTOR }
    }
}

impl Timeout {
    /// Time for the next answer.
    #[must_use]
    pub fn current(&self) -> Duration {
        (self.slowest_response * RESPONSE_TIME_FACTOR).clamp(TIMEOUT_RANGE.0, TIMEOUT_RANGE.1)
    }

    /// An answer came after some time.
    pub fn record_response(&mut self, took: Duration) {
        self.slowest_response = took
            .max(self.slowest_response.mul_f64(DECAY))
            .min(TIMEOUT_RANGE.1 / RESPONSE_TIME_FACTOR);
    }

    /// No answer came in time.
    pub fn record_miss(&mut self) {
        self.slowest_response =
            (self.slowest_response * 2).min(TIMEOUT_RANGE.1 / RESPONSE_TIME_FACTOR);
    }
}
