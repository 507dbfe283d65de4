//! Answers: the four outcomes of a submission, apart in types and on the wire.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::job::Payload;

/// What a caller learns about its submission.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(try_from = "Wire", into = "Wire")]
pub enum Answer {
    /// Every task ran; one output a task, in the job's order.
    Complete {
        /// The outputs.
        outputs: Vec<Payload>,
    },
    /// At least one task ran or may have run, and the job is not whole.
    Failed {
        /// Why.
        failure: Failure,
        /// What became of each task.
        tasks: Breakdown,
    },
    /// Provably no task started, and none will.
    NotRun {
        /// Why.
        refusal: Refusal,
    },
    /// Tasks may or may not have run: the owner cannot be asked.
    Unknown {
        /// Why.
        cause: Uncertainty,
    },
}

/// Indices of a failed job's tasks by what became of them.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Breakdown {
    /// Tasks whose target answered for them.
    pub ran: Vec<usize>,
    /// Tasks that were sent and not answered for.
    pub may_have_run: Vec<usize>,
    /// Tasks that no target started.
    pub not_run: Vec<usize>,
}

/// Why nothing of a submission ran.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The request can't be read as a job.
    #[display("malformed request: {detail}")]
    Malformed {
        /// What was wrong.
        detail: String,
    },
    /// The request body is over the limit.
    #[display("the body is larger than {limit} bytes")]
    BodyTooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// No configuration names this kind.
    #[display("unknown kind")]
    UnknownKind,
    /// No configuration names this team.
    #[display("unknown team")]
    UnknownTeam,
    /// The owner never gave out this identifier.
    #[display("this identifier was never given out")]
    #[serde(rename = "never_minted")]
    NeverIssued,
    /// Another job was submitted under this identifier.
    #[display("another job was submitted under this identifier")]
    Mismatch,
    /// No target serves what the kind needs, however long the job waits.
    #[display("no target has what this kind needs")]
    NoTarget,
    /// The predicted finish is after the deadline.
    #[display("predicted to take {predicted_ms} ms, over the deadline")]
    Late {
        /// Predicted time to the whole answer, in milliseconds.
        predicted_ms: u64,
    },
    /// The deadline passed before any task started.
    #[display("the deadline passed in the queue")]
    Expired,
    /// The entry holds as much as it may.
    #[display("the entry is full")]
    Full,
    /// The entry is stopping.
    #[display("the entry is stopping")]
    Draining,
    /// The entry has no configuration yet.
    #[display("the entry is not ready")]
    NotReady,
    /// The caller cancelled before any task started.
    #[display("cancelled")]
    Cancelled,
    /// The owner stopped in good order and never saw this submission.
    #[display("the owner stopped before this submission reached it")]
    #[serde(rename = "retired")]
    OwnerStopped,
    /// Targets refused and the budget for another attempt is spent.
    #[display("the targets refused")]
    TargetsRefused,
}

/// Why a job is not whole.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// A task did not succeed.
    #[display("task {task}: {fault}")]
    Task {
        /// Index of the first such task.
        task: usize,
        /// What happened to it.
        #[error(source)]
        fault: Fault,
    },
    /// The deadline passed with tasks started.
    #[display("the deadline passed")]
    Deadline,
    /// The caller cancelled with tasks started.
    #[display("cancelled")]
    Cancelled,
    /// Targets refused a task and the budget for another attempt is spent.
    #[display("the targets refused task {task}")]
    TargetsRefused {
        /// Index of the task.
        task: usize,
    },
}

/// What became of a task that was sent and gave no output.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The target ran it and reports an error.
    #[display("the target reports an error: {detail}")]
    Reported {
        /// The target's words, cut to a bounded length.
        detail: String,
    },
    /// The connection ended before a whole response.
    #[display("the connection to the target was lost")]
    Lost,
    /// No response came in time.
    #[display("the target did not answer in time")]
    Timeout,
    /// The response was another task's.
    #[display("the response belongs to another task")]
    #[serde(rename = "crossed")]
    WrongTask,
    /// The response can't be read.
    #[display("the response is malformed")]
    #[serde(rename = "garbled")]
    Malformed,
    /// The response is larger than the limit.
    #[display("the response is too large")]
    Oversized,
}

impl Fault {
    /// Whether the target itself answered for the task.
    #[must_use]
    pub fn ran(&self) -> bool {
        matches!(self, Self::Reported { .. })
    }
}

/// Why it can't be said whether a submission ran.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Uncertainty {
    /// No entry that is known here answers for the owner's incarnation.
    #[display("no known entry answers for the owner")]
    OwnerGone,
    /// The owner does not answer.
    #[display("the owner can't be reached")]
    OwnerUnreachable,
    /// The record is past its retention.
    #[display("the record of this submission is no longer kept")]
    TooOld,
}

/// The JSON form of an answer.
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

/// Name of an outcome.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All tasks ran.
    #[display("complete")]
    Complete,
    /// Some ran or may have run.
    #[display("failed")]
    Failed,
    /// None ran.
    #[display("not_run")]
    NotRun,
    /// Nobody can say.
    #[display("unknown")]
    Unknown,
}

/// The wire form names an outcome and lacks what belongs to it.
#[derive(Clone, Debug, Display, Error)]
#[display("an answer {outcome} lacks its part")]
pub struct Incomplete {
    outcome: Outcome,
}

impl Answer {
    /// Name of this answer's outcome.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Complete { .. } => Outcome::Complete,
            Self::Failed { .. } => Outcome::Failed,
            Self::NotRun { .. } => Outcome::NotRun,
            Self::Unknown { .. } => Outcome::Unknown,
        }
    }

    /// Bytes of output held, for bounds on memory.
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
