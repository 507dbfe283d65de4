//! What a target says of itself.

use std::net::SocketAddr;

use coltsfootshunt_core::name::{Label, Service, Target, Zone};
use serde::{Deserialize, Serialize};

use crate::job::Resources;

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It does.
    Ready,
    /// It leaves soon and must get nothing new.
    Draining,
}

/// One target.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its name.
    pub name: Target,
    /// Which of the lives under this name it is: the Unix time of its start, in milliseconds.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// What it serves.
    pub service: Service,
    /// All the room it has.
    pub capacity: Resources,
    /// Its hardware kind and its rack.
    pub labels: Vec<Label>,
    /// Whether it takes work.
    pub state: State,
}
