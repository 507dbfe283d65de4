//! Which stewards the tasks of a job go to.
//!
//! Answers free room that one host can't see: stewards say in every heartbeat how much they have
//! free and how long work waits, and a job's tasks go where they are expected to start first,
//! counting the way there and what this host has sent since.
//!
//! Answers long work that waits at one steward while a fast target of another becomes free: what can't
//! start at once stands with several stewards, and the first that has a place for it gets it. Short work is not
//! worth asking its owner for: a target would be idle meanwhile.

mod ends;
mod load;

#[cfg(test)]
mod tests;

pub use ends::EndTimes;
pub use load::{
    Candidate, Load, MAX_RESERVATIONS, Profile, assign, assign_fast, choose_stewards,
    expected_waits,
};
