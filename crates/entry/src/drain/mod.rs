//! Planned stop: readiness goes first, accepted work is finished, then the records of answers go
//! to a successor.
//!
//! Here lives the promise that a planned stop cuts no request in progress.

mod message;
mod stage;

#[cfg(test)]
mod tests;

pub use message::{Exit, Signal};
pub use stage::{Limits, Stage};
