//! What the store and peers say of evacuated zones.

use std::sync::Arc;

use coltsfootshunt_core::name::Zone;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::Limit;
pub use crate::store::Unreadable;

/// Settings of a deployment.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Whether operators can evacuate zones.
    pub is_enabled: bool,
    /// Zones that the deployment names; there may be others.
    pub zones: Vec<Zone>,
    /// Limit of starts on cold targets; none leaves them unlimited.
    pub cold_limit: Option<Limit>,
}

/// A zone that was evacuated or restored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The zone.
    pub zone: Zone,
    /// Revision of the store at which it changed.
    pub revision: u64,
    /// Whether the zone is evacuated from that revision on.
    pub is_evacuated: bool,
}

/// An answer of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Reading {
    /// Whether the changes are all evacuated zones, as opposed to what has changed since the last reading.
    pub is_complete: bool,
    /// Evacuated and restored zones, oldest first.
    pub changes: Vec<Change>,
    /// Keys or values that can't be read, in full or in part.
    pub unreadable: Vec<Unreadable>,
    /// Revision of the store up to which the reading is complete.
    pub revision: u64,
    /// Revision of the peer's notice that this reading is to check, if it began after that was doubted.
    pub checks: Option<u64>,
}

/// A host's set of evacuated zones, for its peers. It replaces an earlier one of the same host.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(from = "Box<RawValue>")]
pub struct Notice {
    /// Revision of the store at which the set was read or last changed; 0 if the notice can't be read.
    pub revision: u64,
    /// The zones, as the sender has written them.
    pub zones: Vec<Arc<str>>,
}

/// The form of a notice that can be read.
#[derive(Deserialize)]
struct Raw {
    revision: u64,
    zones: Vec<Arc<str>>,
}

impl From<Box<RawValue>> for Notice {
    /// A notice that can't be read must not make the other messages of its batch unreadable.
    fn from(value: Box<RawValue>) -> Self {
        let raw = serde_json::from_str(value.get()).ok();
        raw.map(|Raw { revision, zones }| Self { revision, zones }).unwrap_or_default()
    }
}

/// Why a peer's notice is not taken.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum ImplausibleNotice {
    /// It can't be read, or a name in it is not valid.
    #[display("malformed")]
    Malformed,
    /// It has more zones than any deployment.
    #[display("too_many_zones")]
    TooManyZones,
    /// Its revision is too far ahead of what the store has answered.
    #[display("revision_too_high")]
    RevisionTooHigh,
    /// The store has contradicted this revision.
    #[display("contradicted_by_store")]
    Contradicted,
}

/// Where a change of the evacuated zones was learned.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Source {
    /// The store answered this host.
    #[display("the store")]
    Store,
    /// A peer told this host.
    #[display("a peer")]
    Peer,
}

/// A change of the zones in force at this host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Transition {
    /// The zone.
    pub zone: Zone,
    /// Whether it is evacuated now.
    pub is_evacuated: bool,
    /// Revision of the store at which the set in force was read or last changed.
    pub revision: u64,
    /// Where the set in force was learned.
    pub source: Source,
}
