//! One peer, as last heard of.

use std::time::Instant;

use super::{Brief, INTERVAL};

/// Heartbeats missed after which a peer counts as heard of through delegates only.
const DIRECT_BEATS: u32 = 3;

/// A peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its last word.
    pub brief: Brief,
    /// When it was last heard, directly or through a delegate.
    pub heard: Instant,
    /// Whether it was heard directly.
    pub direct: bool,
    /// Whether its host refused a connection.
    pub refused: bool,
    /// Whether the delegate that speaks of it still names it.
    pub vouched: bool,
}

impl Peer {
    /// Whether it is known through delegates only.
    #[must_use]
    pub fn is_indirect(&self, now: Instant) -> bool {
        !self.direct || now.duration_since(self.heard) > INTERVAL * DIRECT_BEATS
    }

    /// Whether the delegate `by` speaks of it: of all members inside its own zone, of its own
    /// zone to others.
    #[must_use]
    pub fn covered(&self, by: &Brief, inside: bool) -> bool {
        inside || self.brief.zone == by.zone
    }
}
