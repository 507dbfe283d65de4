//! Border to the targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use coltsfootshunt_core::job::Payload;
use coltsfootshunt_core::name::Kind;
use serde::{Deserialize, Serialize};

use crate::submission::End;

/// One attempt at a task.
#[derive(Clone, Debug)]
pub struct Start {
    /// The target's address.
    pub address: SocketAddr,
    /// Label of the task, the same in every attempt; the target repeats it in its response.
    pub label: Arc<str>,
    /// Kind of the task.
    pub kind: Kind,
    /// Input of the task.
    pub input: Payload,
    /// Time until the response is due.
    pub timeout: Duration,
    /// When the decision to start was made.
    pub decided_at: Instant,
}

/// Why a target did not start a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// It has no room now.
    Busy,
    /// It is leaving.
    Leaving,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct Report {
    /// The end.
    pub end: End,
    /// The target's word, if it refused the task.
    pub rejection: Option<Rejection>,
    /// Time from sending to the end.
    pub took: Duration,
}

/// Sends tasks to targets.
#[async_trait]
pub trait Client: Send + Sync {
    /// Makes one attempt. [`End::NotStarted`] only where the target provably did not run the task.
    async fn run(&self, start: Start) -> Report;
}
