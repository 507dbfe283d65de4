//! The course of a submission: what was done with it, when and why.

use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Target;
use serde::{Deserialize, Serialize};

/// Most steps that one submission remembers; later ones are counted only.
pub const MAX_STEPS: usize = 64;

/// Steps kept from the beginning and from the end of a course that went well.
const KEPT_ENDS: usize = 8;

/// What happened, in order.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Trace {
    /// The steps, oldest first.
    pub steps: Vec<Step>,
    /// Steps beyond [`MAX_STEPS`].
    pub omitted: usize,
}

/// One step.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Step {
    /// Time since the submission reached its owner, in microseconds.
    pub at_us: u64,
    /// What happened.
    pub stage: Stage,
}

/// What can happen to a submission.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Accepted with this predicted time to the answer, in milliseconds.
    Accepted {
        /// Predicted time, in milliseconds.
        predicted_ms: u64,
    },
    /// Another copy of the submission arrived.
    Repeated,
    /// A task went to a target.
    Sent {
        /// Index of the task.
        task: usize,
        /// The target.
        target: Target,
    },
    /// A target provably did not run a task.
    NotStarted {
        /// Index of the task.
        task: usize,
        /// The target.
        target: Target,
    },
    /// A task ended.
    Ended {
        /// Index of the task.
        task: usize,
        /// Whether it gave an output.
        succeeded: bool,
    },
    /// The caller cancelled.
    Cancelled,
    /// The deadline passed.
    Expired,
    /// The answer was made.
    Answered {
        /// Its words.
        outcome: coltsfootshunt_core::answer::Outcome,
    },
}

impl Trace {
    /// Notes a step that happened at `now`, for a submission that arrived at `since`.
    pub fn record(&mut self, since: Instant, now: Instant, stage: Stage) {
        let terminal = matches!(stage, Stage::Answered { .. });
        if self.steps.len() >= MAX_STEPS && !terminal {
            self.omitted += 1;
            return;
        }
        let passed = now.saturating_duration_since(since);
        self.steps.push(Step { at_us: micros(passed), stage });
    }
}

impl Trace {
    /// Drops the middle of a course that went well, to hold more of them.
    pub fn shorten(&mut self) {
        let surplus = self.steps.len().saturating_sub(2 * KEPT_ENDS);
        if surplus > 0 {
            self.steps.drain(KEPT_ENDS..KEPT_ENDS + surplus);
            self.omitted += surplus;
        }
        self.steps.shrink_to_fit();
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
