//! Targets: the slots that this entry may use, the health of each target, and the client that
//! sends tasks to targets.
//!
//! This module guarantees that a leaving target gets no new tasks.

mod allocation;
mod client;
mod departures;
mod health;
mod http;
mod lending;
mod pool;

#[cfg(test)]
mod tests;

pub use allocation::Allocation;
pub use client::{Client, Rejection, Report, Start};
pub use departures::Departures;
pub use health::{Health, Rates, Status};
pub use http::Http;
pub use pool::{AllocationId, LentSlots, Ownership, Pool, Slot};
