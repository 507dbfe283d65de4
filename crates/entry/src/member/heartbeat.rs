//! Heartbeat message.

use std::net::SocketAddr;

use coltsfootshunt_core::config::Revision;
use coltsfootshunt_core::name::{Host, Zone};
use coltsfootshunt_core::submission::Incarnation;
use serde::{Deserialize, Serialize};

use crate::target::{Departures, LentSlots};

/// Heartbeat of an entry. In an exchange each side sends one to the other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Status of the sender.
    #[serde(rename = "brief")]
    pub status: Status,
    /// Number of the sender's current heartbeat round.
    pub round: u64,
    /// In a response, the round of the heartbeat that it responds to.
    pub echo: Option<u64>,
    /// Leaving targets known to the sender.
    pub departures: Departures,
    /// Slots that the sender borrows from the receiver.
    #[serde(rename = "holding")]
    pub borrowed: Vec<LentSlots>,
    /// Other members that the sender reports as alive; see [`Membership::members_for`]. `None` if
    /// the sender has nothing to report or its last list is still valid.
    ///
    /// [`Membership::members_for`]: super::Membership::members_for
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub others: Option<Vec<Status>>,
}

/// Identity and load of an entry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Host of the entry.
    pub host: Host,
    /// Availability zone of the entry.
    pub zone: Zone,
    /// Identifier of this run of the process.
    pub incarnation: Incarnation,
    /// Address at which peers reach the entry.
    pub address: SocketAddr,
    /// Capacity of the entry relative to other entries.
    pub weight: u32,
    /// Usable slots of targets that the entry is steward of, free or in use.
    pub slots: u32,
    /// Free slots among them.
    pub idle: u32,
    /// Tasks in the entry's queue.
    pub waiting: u32,
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Whether the entry is shutting down.
    pub draining: bool,
    /// Incarnations whose records were handed over to the entry.
    #[serde(rename = "heirlooms")]
    pub inherited: Vec<Incarnation>,
}

impl Status {
    /// Whether both are equal except for the load and the revision. The revision does not count
    /// because each entry sends it in its own heartbeats.
    #[must_use]
    pub fn equals_except_load(&self, other: &Self) -> bool {
        let without_load = |status: &Self| Self {
            slots: 0,
            idle: 0,
            waiting: 0,
            revision: Revision::default(),
            ..status.clone()
        };
        without_load(self) == without_load(other)
    }
}
