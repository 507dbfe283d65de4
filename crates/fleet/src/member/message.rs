//! What hosts tell each other about themselves.

use std::net::SocketAddr;

use coltsfootshunt_core::name::{Host, Target, Zone};
use serde::{Deserialize, Serialize};

use crate::lease::Token;
use crate::routing::Load;

/// Who a host is.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Identity {
    /// Its name.
    pub host: Host,
    /// Its availability zone.
    pub zone: Zone,
    /// Random number of this run of its process.
    pub incarnation: u64,
    /// Where it listens for other hosts.
    pub address: SocketAddr,
    /// Its share of a processor core, in thousandths.
    #[serde(rename = "weight")]
    pub cpu_millis: u32,
}

/// A host's claim to be the steward of a zone's targets.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The zone.
    pub zone: Zone,
    /// Made when the host became its steward; of two claims the higher one holds.
    pub token: Token,
}

/// A heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Zones whose targets the host gives orders to.
    pub claims: Vec<Claim>,
    /// Targets with work under way in zones that it no longer claims.
    #[serde(rename = "held")]
    pub busy_targets: Vec<Target>,
    /// Whether it is stopping.
    #[serde(rename = "leaving")]
    pub is_stopping: bool,
    /// Its load as a steward.
    pub load: Load,
    /// Version of the configuration that it has in force; 0 for none.
    #[serde(rename = "version")]
    pub config_version: u64,
    /// Whether it knows any target.
    pub knows_targets: bool,
}
