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
    pub ask: Ask,
    /// Time for which the reply is waited for, in milliseconds.
    pub wait_ms: u64,
}

/// What is asked of a submission's owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ask {
    /// Take this job.
    Submit(Draft),
    /// Give the answer that there is now.
    Answer,
    /// Give the answer once there is one.
    AnswerInTime,
    /// Start no more tasks.
    Cancel,
    /// Tell the course.
    #[serde(rename = "course")]
    Trace,
}

impl Forward {
    /// The form of a request that goes to its owner; none for requests that name no submission.
    #[must_use]
    pub fn of(request: &Request, within: Duration) -> Option<Self> {
        let (id, ask) = match request {
            Request::IssueIdentifiers { .. } => return None,
            Request::Submit { id, job } => (id, Ask::Submit(Draft::from(job))),
            Request::Answer { id, wait: false } => (id, Ask::Answer),
            Request::Answer { id, wait: true } => (id, Ask::AnswerInTime),
            Request::Cancel { id } => (id, Ask::Cancel),
            Request::Trace { id } => (id, Ask::Trace),
        };
        let wait_ms = u64::try_from(within.as_millis()).unwrap_or(u64::MAX);
        Some(Self { id: id.clone(), ask, wait_ms })
    }

    /// Time for which the reply is waited for.
    #[must_use]
    pub fn within(&self) -> Duration {
        Duration::from_millis(self.wait_ms)
    }
}

impl TryFrom<Forward> for Request {
    type Error = job::Error;

    fn try_from(forward: Forward) -> Result<Self, job::Error> {
        let id = forward.id;
        Ok(match forward.ask {
            Ask::Submit(draft) => Self::Submit { id, job: Job::try_from(draft)? },
            Ask::Answer => Self::Answer { id, wait: false },
            Ask::AnswerInTime => Self::Answer { id, wait: true },
            Ask::Cancel => Self::Cancel { id },
            Ask::Trace => Self::Trace { id },
        })
    }
}
