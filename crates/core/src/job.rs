//! Jobs: drafts as callers submit them, and validated jobs.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use xxhash_rust::xxh3::Xxh3;

use crate::name::{self, Kind, Team};

/// Maximum number of tasks in one job.
pub const MAX_TASKS: usize = 1_000;
/// Maximum [`Job::timeout`].
pub const MAX_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Maximum size of the request body of one submission, in bytes.
pub const MAX_BODY_BYTES: usize = 4 << 20;

/// Input or output of one task: any JSON value, passed through without being decoded.
pub type Payload = Arc<RawValue>;

/// A job as submitted by a caller, before validation.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Draft {
    /// Team that submits the job.
    pub team: String,
    /// Kind of all its tasks.
    pub kind: String,
    /// Time allowed from acceptance to the complete answer, in milliseconds; required.
    pub deadline_ms: Option<u64>,
    /// One input per task.
    pub tasks: Vec<Payload>,
}

/// A job whose names, timeout and number of tasks are within their limits.
#[derive(Clone, Debug)]
pub struct Job {
    /// Team that submits the job.
    pub team: Team,
    /// Kind of all its tasks.
    pub kind: Kind,
    /// Time allowed from acceptance to the complete answer; positive and at most [`MAX_TIMEOUT`].
    pub timeout: Duration,
    /// One input per task.
    pub tasks: Vec<Payload>,
}

/// Why a draft is not a valid job.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum Error {
    /// The team is not a valid name.
    #[display("team: {_0}")]
    Team(#[error(source)] name::Error),
    /// The kind is not a valid name.
    #[display("kind: {_0}")]
    Kind(#[error(source)] name::Error),
    /// The deadline is missing or zero.
    #[display("deadline_ms is missing or zero")]
    NoDeadline,
    /// The deadline exceeds [`MAX_TIMEOUT`].
    #[display("deadline_ms is over {} ms", MAX_TIMEOUT.as_millis())]
    DeadlineTooFar,
    /// The job has no tasks.
    #[display("the job has no tasks")]
    NoTasks,
    /// The job has more than [`MAX_TASKS`] tasks.
    #[display("the job has {count} tasks, at most {MAX_TASKS} are allowed")]
    TooManyTasks {
        /// Number of tasks in the draft.
        count: usize,
    },
}

impl TryFrom<Draft> for Job {
    type Error = Error;

    fn try_from(draft: Draft) -> Result<Self, Error> {
        let team = Team::try_from(draft.team).map_err(Error::Team)?;
        let kind = Kind::try_from(draft.kind).map_err(Error::Kind)?;
        let timeout = check_timeout(draft.deadline_ms)?;
        check_count(draft.tasks.len())?;
        Ok(Self { team, kind, timeout, tasks: draft.tasks })
    }
}

impl From<&Job> for Draft {
    fn from(job: &Job) -> Self {
        Self {
            team: job.team.to_string(),
            kind: job.kind.to_string(),
            deadline_ms: Some(u64::try_from(job.timeout.as_millis()).unwrap_or(u64::MAX)),
            tasks: job.tasks.clone(),
        }
    }
}

impl Job {
    /// Hash of all fields. It distinguishes a resubmission from another job under the same identifier.
    #[must_use]
    pub fn digest(&self) -> u128 {
        let mut hash = Xxh3::new();
        let mut field = |bytes: &[u8]| {
            hash.update(&bytes.len().to_le_bytes());
            hash.update(bytes);
        };
        field(self.team.as_bytes());
        field(self.kind.as_bytes());
        field(&self.timeout.as_nanos().to_le_bytes());
        for task in &self.tasks {
            field(task.get().as_bytes());
        }
        hash.digest128()
    }
}

fn check_timeout(deadline_ms: Option<u64>) -> Result<Duration, Error> {
    let timeout = Duration::from_millis(deadline_ms.unwrap_or_default());
    if timeout.is_zero() {
        return Err(Error::NoDeadline);
    }
    if timeout > MAX_TIMEOUT {
        return Err(Error::DeadlineTooFar);
    }
    Ok(timeout)
}

fn check_count(count: usize) -> Result<(), Error> {
    match count {
        0 => Err(Error::NoTasks),
        1..=MAX_TASKS => Ok(()),
        _ => Err(Error::TooManyTasks { count }),
    }
}
