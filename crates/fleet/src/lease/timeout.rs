//! The timeout of calls to a target.

use std::time::Duration;

/// Lower and upper bound of the timeout: several round trips between zones, and a quarter of a lease,
/// so that several calls fit into one lease.
const TIMEOUT_RANGE: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(250));
/// Ratio of the timeout to the slowest recent response.
const RESPONSE_TIME_FACTOR: u32 = 4;
/// Factor applied to the slowest response time with each faster response.
const DECAY: f64 = 0.9;

/// An adaptive timeout. A call without a response closes its target to new work until it is claimed
/// again, so a timeout far above the usual response time leaves the target unused, and one below it
/// leads to needless claims.
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
    /// Returns the timeout of the next call.
    #[must_use]
    pub fn current(&self) -> Duration {
        (self.slowest_response * RESPONSE_TIME_FACTOR).clamp(TIMEOUT_RANGE.0, TIMEOUT_RANGE.1)
    }

    /// Records the response time of a call.
    pub fn record_response(&mut self, took: Duration) {
        self.slowest_response = took
            .max(self.slowest_response.mul_f64(DECAY))
            .min(TIMEOUT_RANGE.1 / RESPONSE_TIME_FACTOR);
    }

    /// Records a call without a response within the timeout.
    pub fn record_miss(&mut self) {
        self.slowest_response =
            (self.slowest_response * 2).min(TIMEOUT_RANGE.1 / RESPONSE_TIME_FACTOR);
    }
}
