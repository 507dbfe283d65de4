//! Snapshot of the control state for traffic threads.

use std::collections::HashMap;
use std::net::SocketAddr;

use coltsfootshunt_core::config::Revision;
use coltsfootshunt_core::submission::Incarnation;

/// Immutable snapshot, replaced as a whole at each change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// Incarnation of this entry.
    pub incarnation: Incarnation,
    /// Whether the load balancer should send callers here.
    pub is_ready: bool,
    /// Whether this entry is a delegate of its zone, which watches the platform for the whole zone.
    pub is_delegate: bool,
    /// Revision of the current configuration; 0 if there is none.
    pub revision: Revision,
    /// Whether any peer is known.
    pub has_peers: bool,
    /// Address of the peer that answers for each incarnation.
    pub routes: HashMap<Incarnation, SocketAddr>,
    /// Incarnations whose records this entry inherited.
    pub inherited: Vec<Incarnation>,
}

/// Where the records of a submission are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// At this entry.
    Local,
    /// At the peer with this address.
    Peer(SocketAddr),
    /// At no known entry.
    Unknown,
}

impl Snapshot {
    /// Creates the snapshot of an entry that knows only its own incarnation.
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            is_ready: false,
            is_delegate: false,
            revision: Revision::default(),
            has_peers: false,
            routes: HashMap::new(),
            inherited: Vec::new(),
        }
    }

    /// Returns where the records of the submissions of `owner` are.
    #[must_use]
    pub fn route(&self, owner: Incarnation) -> Route {
        if owner == self.incarnation || self.inherited.contains(&owner) {
            return Route::Local;
        }
        self.routes.get(&owner).map_or(Route::Unknown, |address| Route::Peer(*address))
    }
}
