//! Messages between hosts, and the batches that carry them.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use coltsfootshunt_core::name::{Host, Kind, Target};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::config::Document;
use crate::crash::Loss;
use crate::directory::Entry;
use crate::evacuation::Notice;
use crate::job::{Assignment, Completion, Grant, Id, Reservation};
use crate::member::split::{ShareNotice, SplitNotice};
use crate::member::{Heartbeat, Identity};
use crate::routing::Load;
use crate::speed::Trend;

/// A message from one host to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Periodic report of the sender's state.
    #[serde(rename = "beat")]
    Heartbeat(Heartbeat),
    /// Live hosts that the sender knows.
    Hosts(Vec<Identity>),
    /// Owner to steward: queue and run these tasks.
    Run(Assignment),
    /// Steward to owner: asks for permission to start these shared tasks, for which the sender has slots.
    #[serde(rename = "bid")]
    GrantRequest(Vec<Reservation>),
    /// Owner to steward: these shared tasks belong to the receiver alone now and may start.
    Grant(Vec<Grant>),
    /// Owner to steward: drop these shared tasks from the queue, because another steward has them.
    Withdraw(Vec<Reservation>),
    /// Owner to steward: no caller waits any more for this generation of the job. Drop its queued tasks and
    /// stop its attempts.
    Cancel(Id, u64),
    /// Steward to owner: these tasks have ended, and this is the sender's current load.
    #[serde(rename = "ended")]
    Completed(Vec<Completion>, Load),
    /// Runs that were lost with their targets, or news of them.
    #[serde(rename = "lost")]
    Losses(Vec<Loss>),
    /// Jobs that the sender gave up while these stewards had tasks of them.
    Unsettled(Vec<(Id, Vec<Host>)>),
    /// Jobs of which nothing runs at the sender's targets any more.
    Settled(Vec<Id>),
    /// A caller has cancelled a job through the sender: cancel it, and say whether it was there.
    CancelJob(Id),
    /// Answer to [`Self::CancelJob`]: whether the sender had the job.
    JobCancelled(Id, bool),
    /// Jobs that callers have cancelled before the receiver was found.
    Cancelled(Vec<Id>),
    /// Asks for the configuration and the list of targets.
    #[serde(rename = "ask")]
    ConfigRequest,
    /// The sender's current configuration.
    #[serde(rename = "document")]
    Config(Arc<Document>),
    /// Targets that the sender knows.
    Targets(Vec<Entry>),
    /// Present entries of the receiver's targets, for a steward that lacks the store.
    CurrentTargets(Vec<Entry>),
    /// Evacuated zones that the sender knows; only to peers whose heartbeat has `reads_zones`.
    Evacuations(Notice),
    /// Lead of a zone to its other hosts: how the zone's targets are divided.
    Split(SplitNotice),
    /// Member of a zone's split to the others: by which split it acts.
    Share(ShareNotice),
    /// Run times learned from the sender's targets.
    #[serde(rename = "learned")]
    Speeds {
        /// Natural logarithm of each target's run time relative to the average target.
        targets: Vec<(Target, f64)>,
        /// For each kind, its run times relative to the declared ones.
        kinds: Vec<(Kind, Trend)>,
    },
}

impl Message {
    /// Whether the message creates, changes or ends work for a job, or says which tasks may start. Such messages
    /// are void when they are late; all others only report state.
    #[must_use]
    pub fn is_about_jobs(&self) -> bool {
        match self {
            Self::Run(_)
            | Self::GrantRequest(_)
            | Self::Grant(_)
            | Self::Withdraw(_)
            | Self::Cancel(..)
            | Self::Completed(..)
            | Self::Losses(_)
            | Self::Unsettled(_)
            | Self::Settled(_)
            | Self::CancelJob(_)
            | Self::JobCancelled(..)
            | Self::Cancelled(_) => true,
            Self::Heartbeat(_)
            | Self::Hosts(_)
            | Self::ConfigRequest
            | Self::Config(_)
            | Self::Targets(_)
            | Self::CurrentTargets(_)
            | Self::Evacuations(_)
            | Self::Split(_)
            | Self::Share(_)
            | Self::Speeds { .. } => false,
        }
    }

    /// Name of the kind of message, for logs and metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::Hosts(_) => "hosts",
            Self::Run(_) => "run",
            Self::GrantRequest(_) => "grant_request",
            Self::Grant(_) => "grant",
            Self::Withdraw(_) => "withdraw",
            Self::Cancel(..) => "cancel",
            Self::Completed(..) => "completed",
            Self::Losses(_) => "losses",
            Self::Unsettled(_) => "unsettled",
            Self::Settled(_) => "settled",
            Self::CancelJob(_) => "cancel_job",
            Self::JobCancelled(..) => "job_cancelled",
            Self::Cancelled(_) => "cancelled",
            Self::ConfigRequest => "config_request",
            Self::Config(_) => "config",
            Self::Targets(_) => "targets",
            Self::CurrentTargets(_) => "current_targets",
            Self::Evacuations(_) => "evacuations",
            Self::Split(_) => "split",
            Self::Share(_) => "share",
            Self::Speeds { .. } => "speeds",
        }
    }
}

/// Consecutive messages of one session.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch {
    /// Identity of the sender.
    pub from: Identity,
    /// Number of the session. It increases with each session of the sender's process to this receiver.
    pub session: u64,
    /// Number of the batch in its session, from 1. The first one opens the session and has no
    /// messages.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The messages, in order.
    pub messages: Vec<Message>,
}

/// The receiver's response to a batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ack {
    /// The batch was processed, now or when it came before.
    #[serde(rename = "taken")]
    Accepted,
    /// The receiver lacks an earlier batch of the session, so the session must end.
    #[serde(rename = "broken")]
    SessionLost,
}

/// Why a batch can't be delivered.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum Unreachable {
    /// The connection was refused: no process listens there, or a network partition rejects connections.
    #[display("refused")]
    Refused,
    /// No response came in time, or the connection failed in another way.
    #[display("silent")]
    TimedOut,
}

/// Transport of batches to other hosts.
#[async_trait]
pub trait Transport: Send + Sync {
    /// Delivers one batch and returns the receiver's response.
    async fn deliver(&self, to: SocketAddr, batch: &Batch) -> Result<Ack, Unreachable>;
}
