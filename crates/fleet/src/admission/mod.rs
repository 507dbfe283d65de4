//! What is turned away at once, and when its caller should come back.
//!
//! Answers the crest and bursts above capacity: a job that is expected to end after its caller has
//! gone is turned away before anything of it runs, and told to come back once the backlog is
//! expected to be gone.

mod gate;

#[cfg(test)]
mod tests;

pub use gate::{Estimate, decide, is_feasible, is_unlikely, misses_objective};
