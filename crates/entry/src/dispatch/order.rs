//! Order of waiting jobs.

use std::time::{Duration, Instant};

/// What an order looks at.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// When the job arrived.
    pub arrived_at: Instant,
    /// When its answer is due.
    pub deadline: Instant,
    /// Time that the job would take alone.
    pub run_time: Duration,
}

/// Ranks jobs; the lowest rank goes first.
pub trait Order: Send {
    /// Rank of a job, as a point in time.
    fn rank(&self, timing: &Timing) -> Instant;
}

/// By the latest start that still meets the deadline.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slack;

impl Order for Slack {
    fn rank(&self, timing: &Timing) -> Instant {
        timing
            .deadline
            .checked_sub(timing.run_time)
            .unwrap_or(timing.arrived_at)
            .max(timing.arrived_at)
    }
}

/// By arrival; the baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrival;

impl Order for Arrival {
    fn rank(&self, timing: &Timing) -> Instant {
        timing.arrived_at
    }
}
