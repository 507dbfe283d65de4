//! The platform's store: the operators' configuration, the targets, and the addresses of hosts.
//! Nothing of a job touches it.

mod agent;
mod message;
mod reported;

#[cfg(test)]
mod tests;

pub use agent::Agent;
pub use message::{Error, Listing, News, Reading, Store, Unreadable};
pub use reported::Told;
