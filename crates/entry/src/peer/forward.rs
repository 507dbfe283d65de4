//! Callers' requests that one entry passes on to another.

use std::time::Duration;

use coltsfootshunt_core::job::{self, Draft, Job};
use coltsfootshunt_core::submission::Id;
use serde::{Deserialize, Serialize};

use crate::submission::Request;

/// A request for the owner of a submission.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Forward {
    /// The submission.
    pub id: Id,
    /// What is asked.
    #[serde(rename = "ask")]
    pub operation: Operation,
    /// Time for which the reply is waited for, in milliseconds.
    pub wait_ms: u64,
}

/// What is asked of a submission's owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Take this job.
    Submit(Draft),
    /// Give the answer that there is now.
    Answer,
    /// Give the answer once there is one.
    #[serde(rename = "answer_in_time")]
    AwaitAnswer,
    /// Start no more tasks.
    Cancel,
    /// Tell the course.
    #[serde(rename = "course")]
    Trace,
}

impl Forward {
    /// The form of a request that goes to its owner; none for requests that name no submission.
    #[must_use]
    pub fn from_request(request: &Request, within: Duration) -> Option<Self> {
        let (id, operation) = match request {
            Request::IssueIdentifiers { .. } => return None,
            Request::Submit { id, job } => (id, Operation::Submit(Draft::from(job))),
            Request::Answer { id, wait: false } => (id, Operation::Answer),
            Request::Answer { id, wait: true } => (id, Operation::AwaitAnswer),
            Request::Cancel { id } => (id, Operation::Cancel),
            Request::Trace { id } => (id, Operation::Trace),
        };
        let wait_ms = u64::try_from(within.as_millis()).unwrap_or(u64::MAX);
        Some(Self { id: id.clone(), operation, wait_ms })
    }

    /// Time for which the reply is waited for.
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
