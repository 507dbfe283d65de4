//! Which steward each task of a job goes to.
//!
//! Answers free room that one host can't see: stewards say in every heartbeat how much they have
//! free and how long work waits, and a job's tasks go where they are expected to start first,
//! counting the way there and what this host has sent since.

mod load;

#[cfg(test)]
mod tests;

pub use load::{Load, Offer, Shape, assign};
