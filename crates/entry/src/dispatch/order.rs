//! Order in which waiting jobs are served.

use std::time::{Duration, Instant};

/// Times of a job that determine its rank.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// When the job arrived.
    pub arrived_at: Instant,
    /// When the job's answer is due.
    pub deadline: Instant,
    /// Expected time of the job if all its tasks start at once.
    pub run_time: Duration,
}

/// Ranks waiting jobs. The job with the lowest rank is served first.
pub trait Order: Send {
    /// Rank of a job, as a point in time.
    fn rank(&self, timing: &Timing) -> Instant;
}

/// Ranks jobs by their latest start: the last moment at which a job can start and still meet its
/// deadline.
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

/// Ranks jobs by their arrival. This is the baseline for comparisons.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrival;

impl Order for Arrival {
    fn rank(&self, timing: &Timing) -> Instant {
        timing.arrived_at
    }
}
