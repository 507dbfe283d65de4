//! Answers to submissions. Each of the four outcomes carries its own data, in types and in JSON.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::job::Payload;

/// Outcome of a submission, as reported to its caller.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(try_from = "Wire", into = "Wire")]
pub enum Answer {
    /// Every task ran.
    Complete {
        /// One output per task, in the job's order.
        outputs: Vec<Payload>,
    },
    /// At least one task ran or may have run, and the job is incomplete.
    Failed {
        /// Why the job is incomplete.
        failure: Failure,
        /// All tasks of the job, by whether they ran.
        tasks: Breakdown,
    },
    /// No task started, and none ever will.
    NotRun {
        /// Why nothing ran.
        refusal: Refusal,
    },
    /// Tasks may or may not have run, and the submission's owner can't tell.
    Unknown {
        /// Why the outcome is unknown.
        cause: Uncertainty,
    },
}

/// Task indices of a failed job, grouped by whether the tasks ran.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Breakdown {
    /// Tasks for which the target returned an output or reported an error.
    pub ran: Vec<usize>,
    /// Tasks that were sent to a target which returned no valid response.
    pub may_have_run: Vec<usize>,
    /// Tasks that were never started.
    pub not_run: Vec<usize>,
}

/// Why no task of a submission ran.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The request doesn't decode as a valid job.
    #[display("malformed request: {detail}")]
    Malformed {
        /// Message of the decoder or of the failed check.
        detail: String,
    },
    /// The request body is over the limit.
    #[display("the body is larger than {limit} bytes")]
    BodyTooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The configuration has no such kind.
    #[display("unknown kind")]
    UnknownKind,
    /// The configuration has no such team.
    #[display("unknown team")]
    UnknownTeam,
    /// The owner never issued this identifier.
    #[display("this identifier was never given out")]
    #[serde(rename = "never_minted")]
    NeverIssued,
    /// Another job was submitted under this identifier.
    #[display("another job was submitted under this identifier")]
    Mismatch,
    /// No target has the resources that the kind needs, so waiting would not help.
    #[display("no target has what this kind needs")]
    NoTarget,
    /// The predicted finish is after the deadline.
    #[display("predicted to take {predicted_ms} ms, over the deadline")]
    Late {
        /// Predicted time to the complete answer, in milliseconds.
        predicted_ms: u64,
    },
    /// The deadline passed before any task started.
    #[display("the deadline passed in the queue")]
    Expired,
    /// The entry's limit on held submissions is reached.
    #[display("the entry is full")]
    Full,
    /// The entry is shutting down.
    #[display("the entry is stopping")]
    Draining,
    /// The entry has no configuration yet.
    #[display("the entry is not ready")]
    NotReady,
    /// The caller cancelled before any task started.
    #[display("cancelled")]
    Cancelled,
    /// The owner shut down gracefully before this submission reached it.
    #[display("the owner stopped before this submission reached it")]
    #[serde(rename = "retired")]
    OwnerStopped,
    /// Targets refused the tasks, and the retry budget is spent.
    #[display("the targets refused")]
    TargetsRefused,
}

/// Why a job is incomplete although some of its tasks ran or may have run.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// A task did not succeed.
    #[display("task {task}: {fault}")]
    Task {
        /// Index of the first such task.
        task: usize,
        /// What went wrong with the task.
        #[error(source)]
        fault: Fault,
    },
    /// The deadline passed after tasks had started.
    #[display("the deadline passed")]
    Deadline,
    /// The caller cancelled after tasks had started.
    #[display("cancelled")]
    Cancelled,
    /// Targets refused a task, and the retry budget is spent.
    #[display("the targets refused task {task}")]
    TargetsRefused {
        /// Index of the refused task.
        task: usize,
    },
}

/// Why a task that was sent to a target has no output.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The target ran the task and reported an error.
    #[display("the target reports an error: {detail}")]
    Reported {
        /// The target's error message, truncated.
        detail: String,
    },
    /// The connection ended before a complete response.
    #[display("the connection to the target was lost")]
    Lost,
    /// The target didn't respond within the timeout.
    #[display("the target did not answer in time")]
    Timeout,
    /// The response belongs to another task.
    #[display("the response belongs to another task")]
    #[serde(rename = "crossed")]
    WrongTask,
    /// The response doesn't decode.
    #[display("the response is malformed")]
    #[serde(rename = "garbled")]
    Malformed,
    /// The response exceeds the size limit.
    #[display("the response is too large")]
    Oversized,
}

impl Fault {
    /// Whether the target reported that the task ran.
    #[must_use]
    pub fn has_run(&self) -> bool {
        matches!(self, Self::Reported { .. })
    }
}

/// Why it is unknown whether a submission ran.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Uncertainty {
    /// No known entry is, or has inherited the records of, the owner's incarnation.
    #[display("no known entry answers for the owner")]
    OwnerGone,
    /// The owner doesn't respond.
    #[display("the owner can't be reached")]
    OwnerUnreachable,
    /// The entry did not read the request: it arrived too slowly, or the requests of all callers fill the memory
    /// for them.
    #[display("the entry did not read the request")]
    Unread,
    /// The record of the submission was dropped after its retention period.
    #[display("the record of this submission is no longer kept")]
    TooOld,
}

/// JSON form of an [`Answer`]. Only the fields of its outcome are present, and `detail` is a message
/// for people.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Wire {
    outcome: Outcome,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    outputs: Option<Vec<Payload>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    failure: Option<Failure>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    tasks: Option<Breakdown>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    refusal: Option<Refusal>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    doubt: Option<Uncertainty>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    detail: Option<String>,
}

/// The outcome of an [`Answer`] without its data.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Every task ran.
    #[display("complete")]
    Complete,
    /// Some tasks ran or may have run.
    #[display("failed")]
    Failed,
    /// No task ran.
    #[display("not_run")]
    NotRun,
    /// It is unknown whether tasks ran.
    #[display("unknown")]
    Unknown,
}

/// The JSON form lacks a field that its outcome requires.
#[derive(Clone, Debug, Display, Error)]
#[display("an answer with outcome {outcome} lacks a field of that outcome")]
pub struct Incomplete {
    outcome: Outcome,
}

impl Answer {
    /// Outcome of this answer.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Complete { .. } => Outcome::Complete,
            Self::Failed { .. } => Outcome::Failed,
            Self::NotRun { .. } => Outcome::NotRun,
            Self::Unknown { .. } => Outcome::Unknown,
        }
    }

    /// Approximate memory of the outputs or task indices, in bytes.
    #[must_use]
    pub fn output_bytes(&self) -> usize {
        match self {
            Self::Complete { outputs } => outputs.iter().map(|output| output.get().len()).sum(),
            Self::Failed { tasks, .. } => {
                let count = tasks.ran.len() + tasks.may_have_run.len() + tasks.not_run.len();
                count * size_of::<usize>()
            }
            Self::NotRun { .. } | Self::Unknown { .. } => 0,
        }
    }
}

impl From<Refusal> for Answer {
    fn from(refusal: Refusal) -> Self {
        Self::NotRun { refusal }
    }
}

impl From<Uncertainty> for Answer {
    fn from(cause: Uncertainty) -> Self {
        Self::Unknown { cause }
    }
}

impl From<Answer> for Wire {
    fn from(answer: Answer) -> Self {
        let mut wire = Self {
            outcome: answer.outcome(),
            outputs: None,
            failure: None,
            tasks: None,
            refusal: None,
            doubt: None,
            detail: None,
        };
        match answer {
            Answer::Complete { outputs } => wire.outputs = Some(outputs),
            Answer::Failed { failure, tasks } => {
                wire.detail = Some(failure.to_string());
                wire.failure = Some(failure);
                wire.tasks = Some(tasks);
            }
            Answer::NotRun { refusal } => {
                wire.detail = Some(refusal.to_string());
                wire.refusal = Some(refusal);
            }
            Answer::Unknown { cause } => {
                wire.detail = Some(cause.to_string());
                wire.doubt = Some(cause);
            }
        }
        wire
    }
}

impl TryFrom<Wire> for Answer {
    type Error = Incomplete;

    fn try_from(wire: Wire) -> Result<Self, Incomplete> {
        let outcome = wire.outcome;
        let answer = match outcome {
            Outcome::Complete => wire.outputs.map(|outputs| Self::Complete { outputs }),
            Outcome::Failed => {
                wire.failure.zip(wire.tasks).map(|(failure, tasks)| Self::Failed { failure, tasks })
            }
            Outcome::NotRun => wire.refusal.map(Self::from),
            Outcome::Unknown => wire.doubt.map(Self::from),
        };
        answer.ok_or(Incomplete { outcome })
    }
}
