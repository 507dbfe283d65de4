//! Interface to the targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use coltsfootshunt_core::job::Payload;
use coltsfootshunt_core::name::Kind;
use serde::{Deserialize, Serialize};

use crate::submission::End;

/// Parameters of one attempt at a task.
#[derive(Clone, Debug)]
pub struct Start {
    /// Address of the target.
    pub address: SocketAddr,
    /// Label of the task, the same in every attempt. The target repeats it in its response.
    pub label: Arc<str>,
    /// Kind of the task.
    pub kind: Kind,
    /// Input of the task.
    pub input: Payload,
    /// Time left until the job's deadline.
    pub timeout: Duration,
    /// When the control thread decided to start the task.
    pub decided_at: Instant,
}

/// Why a target did not start a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// All slots of the target are in use.
    Busy,
    /// The target is leaving.
    Leaving,
}

/// Result of one attempt.
#[derive(Clone, Debug)]
pub struct Report {
    /// How the attempt ended.
    pub end: End,
    /// The reason that the target gave, if it rejected the task.
    pub rejection: Option<Rejection>,
    /// Time from sending the task to the end of the attempt.
    pub took: Duration,
}

/// Sends tasks to targets.
#[async_trait]
pub trait Client: Send + Sync {
    /// Makes one attempt. Returns [`End::NotStarted`] only if the target certainly did not run the
    /// task.
    async fn run(&self, start: Start) -> Report;
}
