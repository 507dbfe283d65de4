//! Batches and what they carry.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use coltsfootshunt_core::name::{Kind, Target};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::config::Document;
use crate::directory::Entry;
use crate::job::{Bundle, Ending, Grant, Id, Stand};
use crate::member::{Heartbeat, Identity};
use crate::routing::Load;
use crate::speed::Trend;

/// What one host tells another.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// A sign of life.
    #[serde(rename = "beat")]
    Heartbeat(Heartbeat),
    /// Hosts that the sender knows.
    Hosts(Vec<Identity>),
    /// Run these tasks.
    Run(Bundle),
    /// The sender has places for these tasks, which stand with it: may they start there?
    #[serde(rename = "bid")]
    GrantRequest(Vec<Stand>),
    /// These tasks are the receiver's alone now and may start.
    Grant(Vec<Grant>),
    /// These tasks stand with the receiver no longer: another steward has them.
    Withdraw(Vec<Stand>),
    /// Nobody wants the tasks of this opening of the job any more.
    Cancel(Id, u64),
    /// Tasks came to their end at the sender, whose load is now this.
    #[serde(rename = "ended")]
    Completed(Vec<Ending>, Load),
    /// Send me the configuration and the list of targets.
    #[serde(rename = "ask")]
    ConfigRequest,
    /// The configuration in force at the sender.
    #[serde(rename = "document")]
    Config(Arc<Document>),
    /// The targets that the sender knows.
    Targets(Vec<Entry>),
    /// What the sender's targets have taught it.
    #[serde(rename = "learned")]
    Speeds {
        /// Logarithms of the targets' run times against the average.
        targets: Vec<(Target, f64)>,
        /// Run times of kinds against the declared ones.
        kinds: Vec<(Kind, Trend)>,
    },
}

/// Messages of one session, in order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch {
    /// Who sends it.
    pub from: Identity,
    /// Rises with each session of the sender's process to this receiver.
    pub session: u64,
    /// Number in the session, from 1.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The messages.
    pub messages: Vec<Message>,
}

/// The receiver's word on a batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ack {
    /// Taken, now or before.
    #[serde(rename = "taken")]
    Accepted,
    /// The receiver lacks what came before: the session is over.
    #[serde(rename = "broken")]
    SessionLost,
}

/// Why a host can't be reached.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum Unreachable {
    /// The connection was refused: nothing listens there, or a cut refuses for it.
    #[display("refused")]
    Refused,
    /// No answer.
    #[display("silent")]
    TimedOut,
}

/// Carries batches to other hosts.
#[async_trait]
pub trait Transport: Send + Sync {
    /// Delivers one batch.
    async fn deliver(&self, to: SocketAddr, batch: &Batch) -> Result<Ack, Unreachable>;
}
