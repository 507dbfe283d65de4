//! Order of waiting jobs.

use std::time::{Duration, Instant};

/// What an order looks at.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// When the job arrived.
    pub since: Instant,
    /// When its answer is due.
    pub due: Instant,
    /// Time that the job would take alone.
    pub alone: Duration,
}

/// Ranks jobs; the lowest rank goes first.
pub trait Order: Send {
    /// Rank of a job, as a point in time.
    fn rank(&self, shape: &Shape) -> Instant;
}

/// By the latest start that still meets the deadline.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slack;

impl Order for Slack {
    fn rank(&self, shape: &Shape) -> Instant {
        shape.due.checked_sub(shape.alone).unwrap_or(shape.since).max(shape.since)
    }
}

/// By arrival; the baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrival;

impl Order for Arrival {
    fn rank(&self, shape: &Shape) -> Instant {
        shape.since
    }
}
