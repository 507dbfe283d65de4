//! The heartbeat.

use std::net::SocketAddr;

use coltsfootshunt_core::config::Revision;
use coltsfootshunt_core::name::{Host, Zone};
use coltsfootshunt_core::submission::Incarnation;
use serde::{Deserialize, Serialize};

use crate::target::{Departures, LentSlots};

/// What an entry says of itself; one goes each way in an exchange.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    #[serde(rename = "brief")]
    pub status: Status,
    /// The sender's round of heartbeats.
    pub round: u64,
    /// The receiver's round that this answers; none in the first half of an exchange.
    pub echo: Option<u64>,
    /// Leaving targets, as the sender knows them.
    pub departures: Departures,
    /// Slots that the sender holds of the receiver.
    #[serde(rename = "holding")]
    pub borrowed: Vec<LentSlots>,
    /// Other members: all that it knows from a delegate to its own zone, those of its zone to other
    /// zones; left out while nothing but loads changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub others: Option<Vec<Status>>,
}

/// An entry in short.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its host.
    pub host: Host,
    /// Its zone.
    pub zone: Zone,
    /// This run of it.
    pub incarnation: Incarnation,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Its size against other entries.
    pub weight: u32,
    /// Own slots that may be given work, used or not.
    pub slots: u32,
    /// Own slots that are free.
    pub idle: u32,
    /// Tasks that wait.
    pub waiting: u32,
    /// Configuration in force.
    pub revision: Revision,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Incarnations whose records it holds.
    #[serde(rename = "heirlooms")]
    pub inherited: Vec<Incarnation>,
}

impl Status {
    /// Whether `other` says the same but for loads and the revision, which travels with each
    /// entry's own heartbeats.
    #[must_use]
    pub fn is_like(&self, other: &Self) -> bool {
        let still = |brief: &Self| Self {
            slots: 0,
            idle: 0,
            waiting: 0,
            revision: Revision::default(),
            ..brief.clone()
        };
        still(self) == still(other)
    }
}
