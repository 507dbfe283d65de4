//! Graceful shutdown: first the entry reports that it is not ready, then it finishes accepted work,
//! and last it hands its records of answers over to a successor.
//!
//! A planned stop interrupts no request in progress unless it takes longer than its timeout or is
//! forced by a second signal.

mod message;
mod stage;

#[cfg(test)]
mod tests;

pub use message::{Exit, Signal};
pub use stage::{Limits, Stage};
