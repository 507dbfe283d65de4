//! Which target a task gets.
//!
//! Answers targets that differ in speed, turn slow or stand still: a task goes where it is expected
//! to end first among the targets with room, never where it is expected to end late while another
//! target could still have it on time. Among equals the fullest one is taken, so that wide gaps
//! stay whole for large tasks.

mod choice;

#[cfg(test)]
mod tests;

pub use choice::{Candidate, Choice, choose};
