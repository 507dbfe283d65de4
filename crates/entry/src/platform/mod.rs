//! The platform's service: a small key-value store, and the list of hosts.
//!
//! Nothing on the path of a task touches it.

mod accept;
mod agent;
mod http;
mod service;

#[cfg(test)]
mod tests;

pub use accept::{AcceptError, CONFIGURATION_KEY, Conflict, accept, fetch};
pub use agent::{Agent, Registration};
pub use http::Http;
pub use service::{Entry, Error, Hosts, Lease, Platform, Swap};
