//! Which target a task gets.
//!
//! Answers targets that differ in speed, turn slow or stand still: a task goes where it is expected
//! to end first among the targets with room, never where it is expected to end late while another
//! target could still have it on time. Among equals the fullest one is taken, so that wide gaps
//! stay whole for large tasks.
//!
//! Answers long work that only fast targets surely end in time: part of their room is left to it, it
//! waits a little for them, and it comes first there. Work that is on time elsewhere goes elsewhere
//! once no more than that part is free.

mod choice;

#[cfg(test)]
mod tests;

pub use choice::{Candidate, Choice, Fast, LEAST, MIN_CHANCE_GAIN, choose, is_fast, wants_fast};
