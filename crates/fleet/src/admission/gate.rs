//! The judgement on one job.

use std::time::Duration;

use crate::job::{Outcome, Refusal};

/// Share of a job's expected run time that is asked for where targets are free: trying costs nobody
/// else anything, and declared times are off by tens of per cent and made for an average target.
const OPTIMISM_FREE: f64 = 0.48;
/// Share of a job's expected time that is asked for where work waits.
const OPTIMISM_BUSY: f64 = 0.7;
/// Expected wait from which work counts as waiting.
const BUSY_FROM: Duration = Duration::from_millis(20);
/// Multiple of a job's slack that its expected wait may reach: what is behind that would be late and
/// make others late. Waits are expected too long, since some of what waits is dropped.
const TOLERANCE: f64 = 1.3;
/// Shortest time after which coming back makes sense: the resolution of the header is a second.
const SHORTEST_RETRY: Duration = Duration::from_secs(1);

/// What awaits a job.
#[derive(Clone, Copy, Debug)]
pub struct Prospect {
    /// Expected time until its first task starts at the best steward.
    pub wait: Duration,
    /// Expected run time of its longest chain of steps.
    pub run: Duration,
    /// The same on the targets that it needs to be on time.
    pub hurried: Duration,
    /// Time in which its answer is on time.
    pub objective: Duration,
    /// How long its caller waits.
    pub patience: Duration,
}

/// Whether work that is behind this wait would be late, with so much time left to its latest start.
#[must_use]
pub fn is_hopeless(wait: Duration, slack: Duration) -> bool {
    wait >= BUSY_FROM && wait > slack.mul_f64(TOLERANCE)
}

/// Whether the job is turned away, and with which answer.
#[must_use]
pub fn judge(prospect: &Prospect) -> Option<Outcome> {
    let slack = prospect.objective.saturating_sub(prospect.hurried);
    if is_hopeless(prospect.wait, slack) {
        return Some(turn_away(prospect.wait - slack));
    }
    let optimism = if prospect.wait < BUSY_FROM { OPTIMISM_FREE } else { OPTIMISM_BUSY };
    let expected = (prospect.wait + prospect.run).mul_f64(optimism);
    if expected <= prospect.patience {
        return None;
    }
    Some(turn_away(prospect.wait))
}

fn turn_away(backlog: Duration) -> Outcome {
    let retry_after = backlog.max(SHORTEST_RETRY);
    Outcome::Refused { refusal: Refusal::TooLate, retry_after }
}
