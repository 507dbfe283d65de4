//! One peer, as last heard of.

use std::time::Instant;

use super::{HEARTBEAT_INTERVAL, Status};

/// Heartbeats missed after which a peer counts as heard of through delegates only.
const DIRECT_BEATS: u32 = 3;

/// A peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its last word.
    pub status: Status,
    /// When it was last heard, directly or through a delegate.
    pub last_heard: Instant,
    /// Whether it was heard directly.
    pub is_direct: bool,
    /// Whether its host refused a connection.
    pub is_refusing: bool,
    /// Whether the delegate that speaks of it still names it.
    pub is_listed: bool,
}

impl Peer {
    /// Whether it is known through delegates only.
    #[must_use]
    pub fn is_indirect(&self, now: Instant) -> bool {
        !self.is_direct || now.duration_since(self.last_heard) > HEARTBEAT_INTERVAL * DIRECT_BEATS
    }

    /// Whether the delegate `by` speaks of it: of all members inside its own zone, of its own
    /// zone to others.
    #[must_use]
    pub fn covered(&self, by: &Status, inside: bool) -> bool {
        inside || self.status.zone == by.zone
    }
}
