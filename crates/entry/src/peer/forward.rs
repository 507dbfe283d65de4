//! Callers' requests that one entry passes on to another.

use coltsfootshunt_core::job::{self, Draft, Job};
use coltsfootshunt_core::submission::Id;
use serde::{Deserialize, Serialize};

use crate::submission::Request;

/// A request for the owner of a submission.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Forward {
    /// A job under its identifier.
    Submit {
        /// The identifier.
        id: Id,
        /// The job.
        job: Draft,
    },
    /// A question for the answer.
    Answer {
        /// The identifier.
        id: Id,
        /// Reply only when there is an answer.
        wait: bool,
    },
    /// A cancellation.
    Cancel {
        /// The identifier.
        id: Id,
    },
    /// A question for the course.
    Course {
        /// The identifier.
        id: Id,
    },
}

impl Forward {
    /// The form of a request that goes to its owner; none for requests that name no submission.
    #[must_use]
    pub fn of(request: &Request) -> Option<Self> {
        match request {
            Request::Mint { .. } => None,
            Request::Submit { id, job } => {
                Some(Self::Submit { id: id.clone(), job: Draft::from(job) })
            }
            Request::Answer { id, wait } => Some(Self::Answer { id: id.clone(), wait: *wait }),
            Request::Cancel { id } => Some(Self::Cancel { id: id.clone() }),
            Request::Course { id } => Some(Self::Course { id: id.clone() }),
        }
    }
}

impl TryFrom<Forward> for Request {
    type Error = job::Error;

    fn try_from(forward: Forward) -> Result<Self, job::Error> {
        Ok(match forward {
            Forward::Submit { id, job } => Self::Submit { id, job: Job::try_from(job)? },
            Forward::Answer { id, wait } => Self::Answer { id, wait },
            Forward::Cancel { id } => Self::Cancel { id },
            Forward::Course { id } => Self::Course { id },
        })
    }
}
