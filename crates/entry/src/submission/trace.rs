//! Trace of a submission: its events with their times.

use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Target;
use serde::{Deserialize, Serialize};

/// Steps kept of one submission; later ones are only counted.
pub const MAX_STEPS: usize = 64;

/// Steps kept at each end when the trace of a successful submission is shortened.
const KEPT_STEPS_PER_END: usize = 8;

/// Events of a submission in order.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Trace {
    /// Recorded steps, oldest first.
    pub steps: Vec<Step>,
    /// Number of steps that were not kept: those beyond `MAX_STEPS`, and the middle of a
    /// shortened trace.
    pub omitted: usize,
}

/// One event of a trace with its time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Step {
    /// Time since the owner accepted the submission, in microseconds.
    pub at_us: u64,
    /// Event that occurred.
    pub stage: Stage,
}

/// Event in the life of a submission.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The job was accepted.
    Accepted {
        /// Predicted time from acceptance to the answer, in milliseconds.
        predicted_ms: u64,
    },
    /// The same job was submitted again under the same identifier.
    Repeated,
    /// A task was sent to a target.
    Sent {
        /// Index of the task in its job.
        task: usize,
        /// Target of the attempt.
        target: Target,
    },
    /// An attempt ended, and the target provably did not run the task.
    NotStarted {
        /// Index of the task in its job.
        task: usize,
        /// Target of the attempt.
        target: Target,
    },
    /// An attempt ended with an output or a fault.
    Ended {
        /// Index of the task in its job.
        task: usize,
        /// Whether the task returned an output.
        succeeded: bool,
    },
    /// The caller cancelled the submission.
    Cancelled,
    /// The job's deadline passed before its answer.
    Expired,
    /// The submission got its answer.
    Answered {
        /// Kind of the answer.
        outcome: coltsfootshunt_core::answer::Outcome,
    },
}

impl Trace {
    /// Records an event that occurred at `now`, for a submission accepted at `accepted_at`. The
    /// answer is always recorded, other events only up to `MAX_STEPS`.
    pub fn record(&mut self, accepted_at: Instant, now: Instant, stage: Stage) {
        let is_final = matches!(stage, Stage::Answered { .. });
        if self.steps.len() >= MAX_STEPS && !is_final {
            self.omitted += 1;
            return;
        }
        let elapsed = now.saturating_duration_since(accepted_at);
        self.steps.push(Step { at_us: micros(elapsed), stage });
    }
}

impl Trace {
    /// Drops the middle steps, so that the traces of more submissions fit into the memory bound.
    /// Meant for submissions that succeeded.
    pub fn shorten(&mut self) {
        let surplus = self.steps.len().saturating_sub(2 * KEPT_STEPS_PER_END);
        if surplus > 0 {
            self.steps.drain(KEPT_STEPS_PER_END..KEPT_STEPS_PER_END + surplus);
            self.omitted += surplus;
        }
        self.steps.shrink_to_fit();
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
