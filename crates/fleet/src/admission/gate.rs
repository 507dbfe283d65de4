//! The judgement on one job.

use std::time::Duration;

use crate::job::{Outcome, Refusal};

/// Share of a job's expected time that is asked for: predictions are medians, and a job that may
/// well end in time is not turned away.
const OPTIMISM: f64 = 0.7;
/// Shortest time after which coming back makes sense: the resolution of the header is a second.
const SHORTEST_RETRY: Duration = Duration::from_secs(1);

/// What awaits a job.
#[derive(Clone, Copy, Debug)]
pub struct Prospect {
    /// Expected time until its first task starts at the best steward.
    pub wait: Duration,
    /// Expected run time of its longest chain of steps.
    pub run: Duration,
    /// How long its caller waits.
    pub patience: Duration,
}

/// Whether the job is turned away, and with which answer.
#[must_use]
pub fn judge(prospect: &Prospect) -> Option<Outcome> {
    let expected = (prospect.wait + prospect.run).mul_f64(OPTIMISM);
    if expected <= prospect.patience {
        return None;
    }
    let retry_after = prospect.wait.max(SHORTEST_RETRY);
    Some(Outcome::Refused { refusal: Refusal::TooLate, retry_after })
}
