//! Messages of this slice.

use coltsfootshunt_core::answer::{Answer, Fault, Refusal};
use coltsfootshunt_core::job::{Job, Payload};
use coltsfootshunt_core::submission::Id;
use serde::{Deserialize, Serialize};

use super::Trace;

/// Stands for one waiting requester; the front end knows whom it belongs to.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u64);

/// What a front end asks on behalf of a caller.
#[derive(Clone, Debug)]
pub enum Request {
    /// Give out identifiers.
    IssueIdentifiers {
        /// How many.
        count: usize,
    },
    /// Accept a job under an identifier, or join the submission that is known under it.
    Submit {
        /// The identifier.
        id: Id,
        /// The job.
        job: Job,
    },
    /// Ask for the answer.
    Answer {
        /// The identifier.
        id: Id,
        /// Reply only when there is an answer.
        wait: bool,
    },
    /// Start no more tasks.
    Cancel {
        /// The identifier.
        id: Id,
    },
    /// Ask what happened so far.
    Trace {
        /// The identifier.
        id: Id,
    },
}

/// What a front end gets back.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// Fresh identifiers.
    Identifiers(Vec<Id>),
    /// The answer of a submission.
    Answer(Answer),
    /// There is no answer yet.
    Pending(Progress),
    /// What happened so far.
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

/// Counts of a submission's tasks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Waiting in the queue.
    pub waiting: usize,
    /// Sent to a target, no response yet.
    pub sent: usize,
    /// Over.
    pub ended: usize,
}

/// How an attempt at a task ended.
#[derive(Clone, Debug)]
pub enum End {
    /// The target ran it.
    Output(Payload),
    /// Provably no target ran it; the target refused or could not be reached.
    NotStarted,
    /// It ran without success, or may have run.
    Fault(Fault),
}
