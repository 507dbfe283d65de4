//! What goes between a job's owner, its caller and the stewards of targets.

use std::sync::Arc;
use std::time::Duration;

use coltsfootshunt_core::name::{Kind, Service};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{Id, Plan, Requirements};

/// A caller's job.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The caller's identifier.
    pub id: Id,
    /// Which kind's route it came in by.
    pub kind: Kind,
    /// What to run.
    pub plan: Arc<Plan>,
    /// How long the caller waits.
    pub timeout: Duration,
}

/// Names one task.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[display("{job}.{step}.{index}")]
pub struct Task {
    /// Its job.
    pub job: Id,
    /// Its step, from 0.
    pub step: u32,
    /// Its number within the step, from 0.
    pub index: u32,
}

/// Tasks of one job on their way from its owner to a steward.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Assignment {
    /// The job.
    pub job: Id,
    /// Which of the owner's openings of a job this is: a repeat of one that ended is another.
    #[serde(rename = "opening")]
    pub generation: u64,
    /// Its kind.
    pub kind: Kind,
    /// Service whose targets run it.
    pub service: Service,
    /// The kind's priority; 0 comes first.
    pub priority: u32,
    /// Passed on to targets.
    pub spec: Arc<str>,
    /// Time left to the moment from which the answer counts as late, in milliseconds.
    pub objective_in_ms: i64,
    /// Time left until the caller goes, in milliseconds.
    #[serde(rename = "due_in_ms")]
    pub deadline_in_ms: i64,
    /// Number of tasks of the whole job: it ends with the longest of them.
    pub width: u32,
    /// Whether anything of the job has started or starts at once elsewhere: it is then worth going
    /// on with when it is late.
    #[serde(rename = "begun")]
    pub started: bool,
    /// Whether the tasks stand with other stewards as well: each may start only once its owner has
    /// granted it.
    #[serde(rename = "standing")]
    pub shared: bool,
    /// The tasks.
    #[serde(rename = "parts")]
    pub tasks: Vec<Item>,
}

/// One task of a bundle.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Item {
    /// Its step.
    pub step: u32,
    /// Its number within the step.
    pub index: u32,
    /// Lowest number that its next attempt may have.
    pub run: u32,
    /// Rises with each message that gives the task to stewards.
    #[serde(rename = "round")]
    pub sequence: u32,
    /// What it needs.
    #[serde(rename = "need")]
    pub requirements: Requirements,
}

/// A task that stands with several stewards.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Reservation {
    /// The task.
    pub task: Task,
    /// The owner's opening of the job that it belongs to.
    #[serde(rename = "opening")]
    pub generation: u64,
    /// Number of the message that it came with; a later one voids it.
    #[serde(rename = "round")]
    pub sequence: u32,
}

/// The owner's word that one steward and no other may start a task.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Grant {
    /// The task.
    pub task: Task,
    /// The owner's opening of the job that it belongs to.
    #[serde(rename = "opening")]
    pub generation: u64,
    /// Number of the message that it came with.
    #[serde(rename = "round")]
    pub sequence: u32,
    /// Lowest number that its next attempt may have.
    pub run: u32,
}

/// How a steward's work on a task ended; nothing of it runs on or can start later, but for
/// [`End::Adrift`].
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// It ran to its end.
    #[display("done")]
    Done,
    /// It ran and failed.
    #[display("failed")]
    Failed,
    /// It ran and was ended from outside.
    #[display("lost")]
    Lost,
    /// It provably did not run.
    #[display("not_run")]
    NotRun,
    /// It provably did not run, since only fast targets will do and none is free there.
    #[display("no_fast_target")]
    NoFastTarget,
    /// It provably did not run, since it would have waited until its job was late.
    #[display("crowded")]
    #[serde(rename = "crowded")]
    Overloaded,
    /// It provably did not run, since its job is late.
    #[display("too_late")]
    TooLate,
    /// It provably did not run, since it could not have ended before its caller goes.
    #[display("out_of_time")]
    OutOfTime,
    /// It may run on until its lease ends.
    #[display("adrift")]
    #[serde(rename = "adrift")]
    Unresolved,
}

/// The end of one task at a steward.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Completion {
    /// The task.
    pub task: Task,
    /// The owner's opening of the job that it belongs to.
    #[serde(rename = "opening")]
    pub generation: u64,
    /// Number of its last attempt.
    pub run: u32,
    /// Number of the message that it came with; ends of earlier ones are void.
    #[serde(rename = "round")]
    pub sequence: u32,
    /// How it ended.
    pub end: End,
}

/// Why a job did not run and never will.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Refusal {
    /// No configuration yet.
    #[display("not_ready")]
    NotReady,
    /// No such kind.
    #[display("unknown_kind")]
    UnknownKind,
    /// No steward of targets can be reached.
    #[display("no_steward")]
    NoSteward,
    /// It can't end before its caller goes, even if it starts at once on the fastest targets.
    #[display("hopeless")]
    Infeasible,
    /// It would be late behind the work that waits.
    #[display("too_late")]
    TooLate,
    /// This host holds as many jobs as it can.
    #[display("full")]
    Full,
}

/// What a caller hears.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// All tasks ended well.
    Completed,
    /// A task failed as often as it may, or no target can hold it.
    Failed,
    /// Nothing has run and nothing will.
    Refused {
        /// Why.
        refusal: Refusal,
        /// When coming back makes sense.
        retry_after: Duration,
    },
    /// It may have run, or a part of it has: its end is not known, or it was given up.
    Unknown,
}
