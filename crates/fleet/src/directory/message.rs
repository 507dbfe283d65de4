//! Entries that targets store about themselves.

use std::net::SocketAddr;

use coltsfootshunt_core::name::{Label, Service, Target, Zone};
use serde::{Deserialize, Serialize};

use crate::job::{Requirements, Resources};

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The target accepts new work.
    Ready,
    /// The target stops soon and must get no new work.
    Draining,
}

/// A target's entry in the store.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the target; a restarted target keeps it.
    pub name: Target,
    /// Unix time of the target's start, in milliseconds; identifies its incarnation. 0 if the entry
    /// lacks it.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub zone: Zone,
    /// Service that the target provides.
    pub service: Service,
    /// Total resources of the target.
    pub capacity: Resources,
    /// Labels for the hardware kind and the rack.
    pub labels: Vec<Label>,
    /// Whether the target accepts new work.
    pub state: State,
    /// Whether the target is slow after its start or an evacuation; `false` where that has no effect.
    #[serde(default, rename = "cold", skip_serializing_if = "std::ops::Not::not")]
    pub is_cold: bool,
}

impl Entry {
    /// Whether a task with these requirements can run on the target while nothing else does.
    #[must_use]
    pub fn fits(&self, requirements: &Requirements) -> bool {
        let label = requirements.required_label.as_ref();
        self.capacity.covers(&requirements.resources)
            && label.is_none_or(|label| self.labels.contains(label))
    }
}
