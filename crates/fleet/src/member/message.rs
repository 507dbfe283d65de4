//! What a host reports about itself to its peers.

use std::net::SocketAddr;

use coltsfootshunt_core::name::{Host, Target, Zone};
use serde::{Deserialize, Serialize};

use super::Echo;
use crate::lease::{Suffix, Token};
use crate::routing::Load;

/// Identity of one run of a host's process.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the host.
    pub host: Host,
    /// Availability zone of the host.
    pub zone: Zone,
    /// Random number drawn at the start of the process.
    pub incarnation: u64,
    /// Address on which it listens for its peers.
    pub address: SocketAddr,
    /// Its share of the processor, in thousandths of a core.
    #[serde(rename = "weight")]
    pub cpu_millis: u32,
}

/// A host's claim to be the steward of a zone.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Zone whose targets the host gives orders to.
    pub zone: Zone,
    /// Issued when the host became the steward. Of two claims, the one with the higher token wins.
    pub token: Token,
}

/// State that a host reports in each heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Zones that the host claims as their steward.
    pub claims: Vec<Claim>,
    /// Targets in zones that it no longer claims on which its tasks still run.
    #[serde(rename = "held")]
    pub busy_targets: Vec<Target>,
    /// Whether it is shutting down.
    #[serde(rename = "leaving")]
    pub is_stopping: bool,
    /// Its load as a steward.
    pub load: Load,
    /// Version of its current configuration; 0 if it has none.
    #[serde(rename = "version")]
    pub config_version: u64,
    /// Whether it knows any target.
    pub knows_targets: bool,
    /// Whether it reads messages on lost runs and cancelled jobs; earlier versions don't.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub shares_records: bool,
    /// Whether it reads messages on evacuated and shared zones; earlier versions don't.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub reads_zones: bool,
    /// Whether the store does not respond to it, so that it needs to be told of its targets.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub lacks_store: bool,
    /// Token above which it issues its next one; earlier versions don't send it.
    #[serde(default)]
    pub highest_token: Token,
    /// Suffix of its fencing tokens; none from earlier versions.
    #[serde(default)]
    pub token_suffix: Option<Suffix>,
    /// Time until the next heartbeat to the receiver, in milliseconds; none from earlier versions.
    #[serde(default)]
    pub next_in_ms: Option<u32>,
    /// Stamp of the sender's clock, in milliseconds; none from earlier versions.
    #[serde(default, rename = "at", skip_serializing_if = "Option::is_none")]
    pub stamp_ms: Option<u64>,
    /// The receiver's last stamp that the sender has handled, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub echo: Option<Echo>,
}

impl Heartbeat {
    /// Whether the sender leads a zone.
    #[must_use]
    pub fn leads_zone(&self) -> bool {
        !self.claims.is_empty()
    }

    /// Whether the sender gives orders to targets: it leads a zone, or has a share of its zone's targets.
    #[must_use]
    pub fn serves_targets(&self) -> bool {
        self.leads_zone() || self.load.slots > 0
    }
}
