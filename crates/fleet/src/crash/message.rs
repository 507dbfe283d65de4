//! What hosts tell each other of runs that were lost with their targets.

use std::net::SocketAddr;

use coltsfootshunt_core::name::Target;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::job::Task;

/// One run of a task on one incarnation of a target.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Run {
    /// Task that ran.
    pub task: Task,
    /// Target that ran it.
    pub target: Target,
    /// Address of the target. A target that crashed is back there, perhaps under another name.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// Unix time of the target's start, in milliseconds.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
    /// Run number.
    #[serde(rename = "run")]
    pub number: u32,
}

/// What became of a target under a run that was lost with it.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Not known: the target has not been heard since.
    #[display("open")]
    Open,
    /// The target was only out of reach: it was heard without the run.
    #[display("survived")]
    Survived,
    /// The target crashed: one that started later was heard at its address.
    #[display("crashed")]
    Crashed,
}

/// A run whose end its target has not reported.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Loss {
    /// The run that was lost.
    pub run: Run,
    /// Whether no other run was on the target with it.
    pub alone: bool,
    /// What became of the target.
    pub verdict: Verdict,
}
