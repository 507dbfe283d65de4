//! Client of the platform's service: a small key-value store and the list of leaving hosts.
//!
//! The dispatch of tasks does not depend on it.

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
