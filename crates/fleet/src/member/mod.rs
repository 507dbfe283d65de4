//! Membership of the fleet: which hosts are alive, which host is the steward of each availability zone,
//! and whether this host is isolated by a network partition.

mod contacts;
mod interval;
mod membership;
mod message;
pub mod split;
mod word;

#[cfg(test)]
pub(crate) mod tests;

pub use contacts::Contacts;
pub use interval::{CLOSE_INTERVAL, DISTANT_INTERVAL};
pub use membership::{Membership, PEER_TIMEOUT, Peer};
pub use message::{Claim, Heartbeat, Identity};
pub use word::Echo;
