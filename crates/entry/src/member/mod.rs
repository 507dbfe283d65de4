//! Membership: which entries live, what they have free, and which of them is steward of which
//! target.
//!
//! Heartbeats go directly between the entries of a zone. Two delegates a zone exchange heartbeats
//! with the delegates of other zones, so that a node's cost does not grow with the fleet.

mod heartbeat;
mod membership;
mod peer;
mod steward;

#[cfg(test)]
mod tests;

pub use heartbeat::{Heartbeat, Status};
pub use membership::{HEARTBEAT_INTERVAL, Identity, Membership, PEER_TIMEOUT};
pub use peer::Peer;
pub use steward::assign;
