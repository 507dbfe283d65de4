//! Hosts of the fleet: who lives, who leads each availability zone's targets, and whether this host
//! is cut off.

mod membership;
mod message;

#[cfg(test)]
pub(crate) mod tests;

pub use membership::{Membership, PEER_TIMEOUT, Peer};
pub use message::{Claim, Heartbeat, Identity};
