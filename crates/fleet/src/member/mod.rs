//! Hosts of the fleet: who lives, who leads each availability zone's targets, and whether this host
//! is cut off.

mod message;
mod roster;

#[cfg(test)]
pub(crate) mod tests;

pub use message::{Beat, Card, Claim};
pub use roster::{LOST_AFTER, Peer, Roster};
