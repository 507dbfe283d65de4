//! Requests for submissions, their replies, and the ends of attempts.

use coltsfootshunt_core::answer::{Answer, Fault, Refusal};
use coltsfootshunt_core::job::{Job, Payload};
use coltsfootshunt_core::submission::Id;
use serde::{Deserialize, Serialize};

use super::Trace;

/// Identifies a pending request within this process, so that its reply can be routed back.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u64);

/// Request that a front end makes on behalf of a caller.
#[derive(Clone, Debug)]
pub enum Request {
    /// Issue fresh identifiers.
    IssueIdentifiers {
        /// Number of identifiers.
        count: usize,
    },
    /// Accept a job under an identifier, or wait for the answer if the same job was submitted under
    /// it before.
    Submit {
        /// Identifier of the submission.
        id: Id,
        /// Job to run.
        job: Job,
    },
    /// Get the answer.
    Answer {
        /// Identifier of the submission.
        id: Id,
        /// Whether to delay the reply until there is an answer.
        wait: bool,
    },
    /// Cancel the submission: none of its tasks starts any more.
    Cancel {
        /// Identifier of the submission.
        id: Id,
    },
    /// Get the trace of events so far.
    Trace {
        /// Identifier of the submission.
        id: Id,
    },
}

/// Reply to a [`Request`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// Fresh identifiers.
    Identifiers(Vec<Id>),
    /// Answer of a submission.
    Answer(Answer),
    /// The submission has no answer yet.
    Pending(Progress),
    /// Events of a submission so far.
    #[serde(rename = "course")]
    Trace(Trace),
}

impl From<Answer> for Reply {
    fn from(answer: Answer) -> Self {
        Self::Answer(answer)
    }
}

impl From<Refusal> for Reply {
    fn from(refusal: Refusal) -> Self {
        Self::Answer(refusal.into())
    }
}

/// Number of a submission's tasks in each state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Tasks in the queue.
    pub waiting: usize,
    /// Tasks sent to a target that has not responded yet.
    pub sent: usize,
    /// Tasks that ran or may have run.
    pub ended: usize,
}

/// How an attempt at a task ended.
#[derive(Clone, Debug)]
pub enum End {
    /// The target ran the task and returned its output.
    Output(Payload),
    /// The task provably did not run: the target refused it or could not be reached.
    NotStarted,
    /// The task failed or may have run.
    Fault(Fault),
}
