//! What traffic threads see of the control state.

use std::collections::HashMap;
use std::net::SocketAddr;

use coltsfootshunt_core::config::Revision;
use coltsfootshunt_core::submission::Incarnation;

/// An immutable view; a new one replaces it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// This entry.
    pub incarnation: Incarnation,
    /// Whether the balancer should send callers here.
    pub is_ready: bool,
    /// Whether this entry holds one of its zone's watches on the platform.
    pub is_delegate: bool,
    /// The configuration in force; zero without any.
    pub revision: Revision,
    /// Whether any peer is known.
    pub has_peers: bool,
    /// Who answers for which incarnation.
    pub routes: HashMap<Incarnation, SocketAddr>,
    /// Incarnations whose records are held here.
    pub inherited: Vec<Incarnation>,
}

/// Where a submission's owner can be asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Route {
    /// At this entry.
    Local,
    /// At a peer.
    Peer(SocketAddr),
    /// Nowhere that is known.
    Unknown,
}

impl Snapshot {
    /// A view before anything is known.
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

    /// Where to ask for a submission of `owner`.
    #[must_use]
    pub fn route(&self, owner: Incarnation) -> Route {
        if owner == self.incarnation || self.inherited.contains(&owner) {
            return Route::Local;
        }
        self.routes.get(&owner).map_or(Route::Unknown, |address| Route::Peer(*address))
    }
}
