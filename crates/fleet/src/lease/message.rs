//! Calls to a target and its answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use coltsfootshunt_core::name::Target;
use derive_more::Display;

use super::Token;
use crate::job::Task;

/// One call to a target.
#[derive(Clone, Debug)]
pub struct Call {
    /// The target.
    pub target: Target,
    /// Where it listens.
    pub address: SocketAddr,
    /// Rank of the call.
    pub token: Token,
    /// What it asks.
    pub order: Order,
    /// Time to the whole answer.
    pub timeout: Duration,
}

/// What a call asks.
#[derive(Clone, Debug)]
pub enum Order {
    /// Report what runs and what has ended; renew the lease.
    Renew {
        /// When the lease ends on the target's clock, in milliseconds; none renews nothing.
        lease_until_ms: Option<u64>,
        /// Number of the last end taken in; the target forgets ends up to it.
        acknowledged: u64,
        /// How long the target may wait for an end before it answers.
        max_wait: Duration,
    },
    /// Start a task.
    Start {
        /// The task.
        task: Task,
        /// Number of the attempt.
        run: u32,
        /// What to run.
        spec: Arc<str>,
        /// When the lease ends on the target's clock, in milliseconds.
        lease_until_ms: u64,
    },
    /// Stop an attempt.
    Stop {
        /// The task.
        task: Task,
        /// Number of the attempt.
        run: u32,
    },
}

/// Why a target did not carry out an order.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Rejection {
    /// Another host used a higher token.
    #[display("fenced")]
    Fenced,
    /// An attempt with this number or a higher one was there already.
    #[display("old_run")]
    StaleRun,
    /// The lease that it carried was over.
    #[display("lease_over")]
    LeaseExpired,
    /// It does not fit.
    #[display("no_room")]
    NoRoom,
    /// The target is not well.
    #[display("unhealthy")]
    Unhealthy,
    /// Another life of the target answers at the address.
    #[display("other_life")]
    OtherIncarnation,
    /// It does not take the order's form.
    #[display("malformed")]
    Malformed,
}

/// How an attempt ended at the target.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum End {
    /// Well.
    #[display("done")]
    Done,
    /// Through its own fault or the target's.
    #[display("failed")]
    Failed,
    /// By a stop, the end of the lease, or another task of its group.
    #[display("ended")]
    Stopped,
}

/// An attempt that runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Running {
    /// The task.
    pub task: Task,
    /// Number of the attempt.
    pub run: u32,
}

/// An attempt that ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ended {
    /// Number of the end in this life of the target, from 1.
    pub sequence: u64,
    /// The task.
    pub task: Task,
    /// Number of the attempt.
    pub run: u32,
    /// How it ended.
    pub end: End,
}

/// What a target says of itself in the answer to a renewal.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Its clock, in milliseconds.
    pub clock_ms: u64,
    /// Unix time of its start, in milliseconds, if it says so.
    pub started_at_ms: Option<u64>,
    /// What runs.
    pub running: Vec<Running>,
    /// What ended and has not been forgotten, by number.
    pub ended: Vec<Ended>,
}

/// What became of a call.
#[derive(Clone, Debug)]
pub enum Response {
    /// A renewal's report.
    Report(Report),
    /// A start or stop was taken.
    Accepted {
        /// The target's clock, in milliseconds.
        clock_ms: u64,
    },
    /// Nothing was done.
    Rejected(Rejection),
    /// No connection, refused or not: nothing was sent. The target may live behind a cut.
    NotSent,
    /// It was sent and not answered; it may be carried out, even seconds later.
    NoResponse,
}

/// Carries calls to targets.
#[async_trait]
pub trait Client: Send + Sync {
    /// Makes one call and waits for its answer.
    async fn call(&self, call: Call) -> Response;
}
