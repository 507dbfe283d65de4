//! The judgement on one job.

use std::time::Duration;

use crate::job::{Outcome, Refusal};
use crate::speed::Forecast;
use crate::spread::Outlook;

/// Least chance to end before the caller goes where targets are free: trying costs others little.
const LEAST_FREE: f64 = 0.1;
/// The same where work waits.
const LEAST_BUSY: f64 = 0.3;
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
    /// Expected waits of its tasks.
    pub outlook: Outlook,
    /// Number of its tasks.
    pub tasks: u32,
    /// Run time of its longest chain of steps on the fastest targets, of one task a step.
    pub run: Forecast,
    /// Expected run time on the targets that it needs to be on time.
    pub hurried: Duration,
    /// Time in which its answer is on time.
    pub objective: Duration,
    /// How long its caller waits.
    pub patience: Duration,
}

impl Prospect {
    /// Chance, from 0 to 1, that all its tasks end before its caller goes.
    fn chance(&self) -> f64 {
        let Outlook { first, last, behind } = self.outlook;
        let all = self.run.longest_of(self.tasks);
        let late = self.run.longest_of(u32::try_from(behind).unwrap_or(u32::MAX));
        let left = |wait| self.patience.saturating_sub(wait);
        all.chance(left(first)).min(late.chance(left(last)))
    }
}

/// Whether work that is behind this wait would be late, with so much time left to its latest start.
#[must_use]
pub fn is_hopeless(wait: Duration, slack: Duration) -> bool {
    wait >= BUSY_FROM && wait > slack.mul_f64(TOLERANCE)
}

/// Whether work that waits has too little chance to end before its caller goes.
#[must_use]
pub fn is_vain(chance: f64) -> bool {
    chance < LEAST_BUSY
}

/// Whether a job has a chance to end in the time left if it starts now.
#[must_use]
pub fn has_chance(run: &Forecast, left: Duration) -> bool {
    run.chance(left) >= LEAST_FREE
}

/// Whether the job is turned away, and with which answer.
#[must_use]
pub fn judge(prospect: &Prospect) -> Option<Outcome> {
    let slack = prospect.objective.saturating_sub(prospect.hurried);
    let wait = prospect.outlook.last;
    if is_hopeless(wait, slack) {
        return Some(turn_away(Refusal::TooLate, wait - slack));
    }
    let least = if wait < BUSY_FROM { LEAST_FREE } else { LEAST_BUSY };
    if prospect.chance() >= least {
        return None;
    }
    let in_time = has_chance(&prospect.run.longest_of(prospect.tasks), prospect.patience);
    let refusal = if in_time { Refusal::TooLate } else { Refusal::Hopeless };
    Some(turn_away(refusal, wait))
}

fn turn_away(refusal: Refusal, backlog: Duration) -> Outcome {
    Outcome::Refused { refusal, retry_after: backlog.max(SHORTEST_RETRY) }
}
