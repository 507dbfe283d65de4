//! What a policy makes of a load.

use std::time::Duration;

use crate::load::{Job, Load, PATIENCE};

/// How one job ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// Completed so long after it came.
    Completed(Duration),
    /// Turned away so long after it came, with nothing run.
    Refused(Duration),
    /// Given up so long after it came, with a part of it run.
    GivenUp(Duration),
}

impl Answer {
    /// Whether its caller got what it asked for, on time.
    #[must_use]
    pub fn is_on_time(&self, job: &Job) -> bool {
        matches!(self, Self::Completed(took) if *took <= job.objective().min(PATIENCE))
    }
}

/// Plays loads.
pub trait Policy {
    /// Its name.
    fn name(&self) -> &'static str;

    /// Answers to all jobs of a load, in their order.
    fn play(&self, load: &Load) -> Vec<Answer>;
}
