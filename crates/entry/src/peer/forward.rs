//! Callers' requests that one entry forwards to another.

use std::time::Duration;

use coltsfootshunt_core::job::{self, Draft, Job};
use coltsfootshunt_core::submission::Id;
use serde::{Deserialize, Serialize};

use crate::submission::Request;

/// Request that is forwarded to the owner of a submission.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Forward {
    /// Identifier of the submission.
    pub id: Id,
    /// Operation on the submission.
    #[serde(rename = "ask")]
    pub operation: Operation,
    /// Time to wait for the reply, in milliseconds.
    pub wait_ms: u64,
}

/// Operation on a submission, executed by its owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Submit a job.
    Submit(Draft),
    /// Get the answer, without waiting if there is none yet.
    Answer,
    /// Wait for the answer.
    #[serde(rename = "answer_in_time")]
    AwaitAnswer,
    /// Cancel the submission.
    Cancel,
    /// Get the trace.
    #[serde(rename = "course")]
    Trace,
}

impl Forward {
    /// Converts a request into its forwarded form; `None` if the request is not about a submission.
    #[must_use]
    pub fn from_request(request: &Request, timeout: Duration) -> Option<Self> {
        let (id, operation) = match request {
            Request::IssueIdentifiers { .. } => return None,
            Request::Submit { id, job } => (id, Operation::Submit(Draft::from(job))),
            Request::Answer { id, wait: false } => (id, Operation::Answer),
            Request::Answer { id, wait: true } => (id, Operation::AwaitAnswer),
            Request::Cancel { id } => (id, Operation::Cancel),
            Request::Trace { id } => (id, Operation::Trace),
        };
        let wait_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        Some(Self { id: id.clone(), operation, wait_ms })
    }

    /// Time to wait for the reply.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.wait_ms)
    }
}

impl TryFrom<Forward> for Request {
    type Error = job::Error;

    fn try_from(forward: Forward) -> Result<Self, job::Error> {
        let id = forward.id;
        Ok(match forward.operation {
            Operation::Submit(draft) => Self::Submit { id, job: Job::try_from(draft)? },
            Operation::Answer => Self::Answer { id, wait: false },
            Operation::AwaitAnswer => Self::Answer { id, wait: true },
            Operation::Cancel => Self::Cancel { id },
            Operation::Trace => Self::Trace { id },
        })
    }
}
