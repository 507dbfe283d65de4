//! Quotas: each team's share of the slots while several teams have waiting tasks.
//!
//! Slots that a team leaves unused are available to the other teams.

mod shares;

#[cfg(test)]
mod tests;

pub use shares::{Account, Shares};
