//! Calls to a target and its responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use coltsfootshunt_core::name::Target;
use derive_more::Display;

use super::Token;
use crate::job::Task;

/// A call to a target.
#[derive(Clone, Debug)]
pub struct Call {
    /// Name of the target.
    pub target: Target,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Fencing token of this host.
    pub token: Token,
    /// Operation to carry out.
    pub order: Order,
    /// Time limit for the complete response.
    pub timeout: Duration,
}

/// An operation at a target.
#[derive(Clone, Debug)]
pub enum Order {
    /// Reports running and ended attempts, and extends the lease.
    Renew {
        /// New expiry of the lease on the target's clock, in milliseconds; none leaves it unchanged.
        lease_until_ms: Option<u64>,
        /// Sequence number of the last processed end; the target drops the ends up to it.
        acknowledged: u64,
        /// Longest time for which the target may wait for an attempt to end before it responds.
        max_wait: Duration,
    },
    /// Starts an attempt of a task.
    Start {
        /// Task to start.
        task: Task,
        /// Run number of the attempt.
        run: u32,
        /// Specification of the work, passed on unchanged.
        spec: Arc<str>,
        /// Expiry of the lease on the target's clock, in milliseconds.
        lease_until_ms: u64,
    },
    /// Stops an attempt.
    Stop {
        /// Task to stop.
        task: Task,
        /// Run number of the attempt.
        run: u32,
    },
}

/// Reason for which a target did not carry out an order.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Rejection {
    /// Another host has used a higher token.
    #[display("fenced")]
    Fenced,
    /// The target has seen this run number of the task or a higher one.
    #[display("old_run")]
    StaleRun,
    /// The lease in the order had expired.
    #[display("lease_over")]
    LeaseExpired,
    /// The target has too few free resources.
    #[display("no_room")]
    NoRoom,
    /// The target is unhealthy.
    #[display("unhealthy")]
    Unhealthy,
    /// Another target or incarnation listens on the address.
    #[display("other_life")]
    OtherIncarnation,
    /// The target could not parse the order.
    #[display("malformed")]
    Malformed,
}

/// How an attempt ended at the target.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum End {
    /// It completed.
    #[display("done")]
    Done,
    /// It failed, through its own fault or the target's.
    #[display("failed")]
    Failed,
    /// It was ended by a stop, by the expiry of the lease or by another task of its group.
    #[display("ended")]
    Stopped,
}

/// An attempt that a target reports as running.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Running {
    /// Task of the attempt.
    pub task: Task,
    /// Run number of the attempt.
    pub run: u32,
}

/// An attempt that a target reports as ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ended {
    /// Sequence number of the end in this incarnation of the target, from 1.
    pub sequence: u64,
    /// Task of the attempt.
    pub task: Task,
    /// Run number of the attempt.
    pub run: u32,
    /// How it ended.
    pub end: End,
}

/// Rows of a report that can't be decoded.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Unreadable {
    /// Number of rows of running attempts. Each may be any attempt, of this host or another.
    pub running: usize,
    /// Number of rows of ended attempts.
    pub ended: usize,
    /// One of the rows as the target wrote it, cut to a limited length; none if all were decoded.
    pub sample: Option<Arc<str>>,
}

/// A target's response to a renewal.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The target's clock, in milliseconds.
    pub clock_ms: u64,
    /// Unix time of the target's start, in milliseconds, if reported. It identifies the incarnation.
    pub started_at_ms: Option<u64>,
    /// Running attempts.
    pub running: Vec<Running>,
    /// Ended attempts that were not acknowledged, by sequence number.
    pub ended: Vec<Ended>,
    /// Rows that can't be decoded.
    pub unreadable: Unreadable,
}

/// Outcome of a call.
#[derive(Clone, Debug)]
pub enum Response {
    /// The report of a renewal.
    Report(Report),
    /// A start or stop was accepted.
    Accepted {
        /// The target's clock, in milliseconds.
        clock_ms: u64,
    },
    /// The target rejected the order, which had no effect.
    Rejected(Rejection),
    /// No connection could be made, so nothing was sent. The target may still be running, cut off by the
    /// network.
    NotSent,
    /// The order was sent without a response. It may be carried out, even seconds later.
    NoResponse,
}

/// Client of the targets.
#[async_trait]
pub trait Client: Send + Sync {
    /// Makes a call and waits for its outcome.
    async fn call(&self, call: Call) -> Response;
}
