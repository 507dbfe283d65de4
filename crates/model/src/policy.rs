//! The interface of a policy, and the answers it gives to the jobs of a load.

use std::time::Duration;

use crate::load::{Job, Load};

/// Answer to one job. Each variant holds the time from the arrival of the job to the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// All tasks were completed.
    Completed(Duration),
    /// The job was refused and no task ran.
    Refused(Duration),
    /// The job failed or its caller left. Some tasks may have run.
    Abandoned(Duration),
}

impl Answer {
    /// Whether the job was completed within its objective.
    #[must_use]
    pub fn is_on_time(&self, job: &Job) -> bool {
        matches!(self, Self::Completed(elapsed) if *elapsed <= job.objective())
    }
}

/// A scheduling policy that can be simulated.
pub trait Policy {
    /// Name of the policy in tables.
    fn name(&self) -> &'static str;

    /// Simulates a load. Returns one answer for each job, in the order of the jobs.
    fn simulate(&self, load: &Load) -> Vec<Answer>;
}
