//! Membership: the live entries, their load, and the assignment of targets to stewards.
//!
//! All entries of a zone exchange heartbeats with each other. Between zones only two delegates of
//! each zone do, so that the cost for one entry does not grow with the total number of entries.

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
