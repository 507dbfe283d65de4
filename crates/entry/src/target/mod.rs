//! Targets: the slots that this entry may use, which targets are fit for work, and how a task is
//! sent to one.
//!
//! Here lives the promise that a leaving target gets no new work.

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
