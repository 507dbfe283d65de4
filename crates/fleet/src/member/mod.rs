//! Hosts of the fleet: who lives, who leads each availability zone's targets, and whether this host
//! is cut off.

mod membership;
mod message;

#[cfg(test)]
pub(crate) mod tests;

pub use membership::{LOST_AFTER, Peer, Roster};
pub use message::{Beat, Card, Claim};
