//! Admission control.
//!
//! Protects against peaks and bursts above capacity: a job that is expected to end after its
//! caller's deadline is refused before any of its tasks runs. The refusal tells the caller to retry
//! once the backlog is expected to be gone.

mod decision;

#[cfg(test)]
mod tests;

pub use decision::{Estimate, decide, is_feasible, is_unlikely, min_slack, misses_objective};
