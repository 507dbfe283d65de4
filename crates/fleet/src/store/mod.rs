//! The platform's store: the operators' configuration, the targets and the addresses of hosts. Jobs
//! never depend on it.

mod agent;
mod message;
mod reported;

#[cfg(test)]
mod tests;

pub use agent::{Agent, targets_interval};
pub use message::{Change, Error, Listing, Store, Unreadable, Update};
pub use reported::Reported;
