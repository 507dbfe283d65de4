//! State of a peer.

use std::time::Instant;

use super::{HEARTBEAT_INTERVAL, Status};

/// Number of heartbeat intervals without a direct heartbeat after which a delegate's reports of the
/// peer are accepted.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// Another entry that counts as alive.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Status that was received last.
    pub status: Status,
    /// Time of the last heartbeat from the peer, or of a delegate's last report of it.
    pub last_heard: Instant,
    /// Whether the last contact was a heartbeat from the peer itself.
    pub is_direct: bool,
    /// Whether the peer's host refused a connection since the last contact.
    pub is_refusing: bool,
    /// Whether the last list of a responsible delegate named the peer.
    pub is_listed: bool,
}

impl Peer {
    /// Whether the peer is known through delegates only.
    #[must_use]
    pub fn is_indirect(&self, now: Instant) -> bool {
        !self.is_direct
            || now.duration_since(self.last_heard) > HEARTBEAT_INTERVAL * MAX_MISSED_HEARTBEATS
    }

    /// Whether `delegate` is responsible for reporting this peer: a delegate reports all members to
    /// its own zone, and the members of its own zone to other zones. `in_own_zone` says whether it
    /// is a delegate of this entry's zone.
    #[must_use]
    pub fn is_reported_by(&self, delegate: &Status, in_own_zone: bool) -> bool {
        in_own_zone || self.status.zone == delegate.zone
    }
}
