//! Messages between a job's owner, its caller and the stewards.

use std::sync::Arc;
use std::time::Duration;

use coltsfootshunt_core::name::{Kind, Service};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{Id, Patience, Plan, Requirements};
use crate::member::Echo;

/// A job as submitted by a caller.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Identifier chosen by the caller.
    pub id: Id,
    /// Kind through whose route the job was submitted.
    pub kind: Kind,
    /// Steps and tasks to run.
    pub plan: Arc<Plan>,
    /// Time for which the caller waits for the answer.
    pub patience: Patience,
}

/// Identifier of one task.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[display("{job}.{step}.{index}")]
pub struct Task {
    /// Identifier of the job.
    pub job: Id,
    /// Index of the step in the plan, from 0.
    pub step: u32,
    /// Index of the task within the step, from 0.
    pub index: u32,
}

/// Tasks of one job that its owner sends to a steward.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Assignment {
    /// Identifier of the job.
    pub job: Id,
    /// Number that the owner gives the job each time it is opened. A repeat of a job that has ended
    /// gets a new one.
    #[serde(rename = "opening")]
    pub generation: u64,
    /// Kind of the job.
    pub kind: Kind,
    /// Service whose targets run the tasks.
    pub service: Service,
    /// Priority of the kind; 0 is the highest.
    pub priority: u32,
    /// Opaque specification, passed on to targets.
    pub spec: Arc<str>,
    /// Time left until the answer counts as late, in milliseconds; negative if it is late.
    pub objective_in_ms: i64,
    /// Time left until the caller stops waiting, in milliseconds; negative if that has passed.
    #[serde(rename = "due_in_ms")]
    pub deadline_in_ms: i64,
    /// Number of tasks of the whole job, which ends with the longest of them.
    pub width: u32,
    /// Whether any task of the job has started or is about to start elsewhere. Such a job is worth
    /// finishing even when it is late.
    #[serde(rename = "begun")]
    pub started: bool,
    /// Whether the tasks are queued at other stewards as well. Each task may then start only once
    /// the owner has granted it.
    #[serde(rename = "standing")]
    pub shared: bool,
    /// The tasks to queue.
    #[serde(rename = "parts")]
    pub tasks: Vec<Item>,
    /// The steward's last stamp that the owner has handled; none from earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub echo: Option<Echo>,
}

/// One task of an assignment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Item {
    /// Index of the step in the plan, from 0.
    pub step: u32,
    /// Index of the task within the step, from 0.
    pub index: u32,
    /// Lowest run number that the next attempt may use.
    pub run: u32,
    /// Sequence number of the message. It rises with each message that hands the task to stewards.
    #[serde(rename = "round")]
    pub sequence: u32,
    /// Resources and constraints of the task.
    #[serde(rename = "need")]
    pub requirements: Requirements,
}

/// Queue entry of a task that is queued at several stewards.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Reservation {
    /// Identifier of the task.
    pub task: Task,
    /// The owner's generation number for the job.
    #[serde(rename = "opening")]
    pub generation: u64,
    /// Sequence number of the message that carried the task; a later message replaces it.
    #[serde(rename = "round")]
    pub sequence: u32,
}

/// Permission from a task's owner for one steward, and no other, to start the task.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Grant {
    /// Identifier of the task.
    pub task: Task,
    /// The owner's generation number for the job.
    #[serde(rename = "opening")]
    pub generation: u64,
    /// Sequence number of the message that carried the task.
    #[serde(rename = "round")]
    pub sequence: u32,
    /// Lowest run number that the next attempt may use.
    pub run: u32,
    /// The steward's last stamp that the owner has handled, with the first grant of a message; none from earlier
    /// versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub echo: Option<Echo>,
}

/// How a steward's work on a task ended. Except for [`End::Unresolved`], no attempt of it is
/// running or can still start.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The task ran to completion.
    #[display("done")]
    Done,
    /// The task ran and failed.
    #[display("failed")]
    Failed,
    /// The task ran and was stopped from outside.
    #[display("lost")]
    Lost,
    /// The task provably did not run.
    #[display("not_run")]
    NotRun,
    /// The task provably did not run: it needs a fast target, and the steward has none free.
    #[display("no_fast_target")]
    NoFastTarget,
    /// The task provably did not run: it would have waited until its job was late.
    #[display("crowded")]
    #[serde(rename = "crowded")]
    Overloaded,
    /// The task provably did not run: its job is late.
    #[display("too_late")]
    TooLate,
    /// The task provably did not run: it could not have ended before the caller's deadline.
    #[display("out_of_time")]
    OutOfTime,
    /// Not known; an attempt may run until its lease ends.
    #[display("adrift")]
    #[serde(rename = "adrift")]
    Unresolved,
}

/// A steward's report to the owner that its work on a task has ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Completion {
    /// Identifier of the task.
    pub task: Task,
    /// The owner's generation number for the job.
    #[serde(rename = "opening")]
    pub generation: u64,
    /// Run number of the last attempt, or the highest one known to be used if there was none.
    pub run: u32,
    /// Sequence number of the message that carried the task. The owner ignores completions for
    /// earlier messages.
    #[serde(rename = "round")]
    pub sequence: u32,
    /// How the work on the task ended.
    pub end: End,
}

/// Why a job was refused: it has not run and will not.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Refusal {
    /// The host has no configuration yet.
    #[display("not_ready")]
    NotReady,
    /// The configuration has no such kind.
    #[display("unknown_kind")]
    UnknownKind,
    /// No steward can be reached.
    #[display("no_steward")]
    NoSteward,
    /// The job can't end before the caller's deadline, even if it starts at once on the fastest
    /// targets.
    #[display("hopeless")]
    Infeasible,
    /// The job would be late because of the backlog.
    #[display("too_late")]
    TooLate,
    /// The host has reached its limit of open jobs.
    #[display("full")]
    Full,
}

/// Outcome of a job as reported to its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// All tasks completed.
    Completed,
    /// A task used up its attempts, or no target is large enough for it.
    Failed,
    /// No task has run and none will.
    Refused {
        /// Reason for the refusal.
        refusal: Refusal,
        /// Time after which a retry makes sense.
        retry_after: Duration,
    },
    /// Some tasks have run or may have run; the job's end is not known, or the job was given up.
    Unknown,
    /// A caller has cancelled the job, and nothing of it starts any more.
    Cancelled,
}
