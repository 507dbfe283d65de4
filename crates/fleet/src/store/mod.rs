//! The platform's store: the operators' configuration, the evacuated zones, the targets and the addresses of hosts. Jobs
//! never depend on it.

mod agent;
mod message;
mod replica;
mod reported;

#[cfg(test)]
mod tests;

pub use agent::{Agent, targets_interval};
pub use message::{Change, Changes, Content, Error, Listing, Row, Store, Unreadable, Update};
pub use replica::Replica;
pub use reported::Reported;
