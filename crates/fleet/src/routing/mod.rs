//! Choice of the stewards that get a job's tasks.
//!
//! Each host sees the free slots of its own targets only. So stewards report their free slots and expected
//! waits in every heartbeat, and an owner sends the tasks of a job to the stewards where it expects them to
//! start first. It takes into account the round trip and the tasks that it has sent since the heartbeat.
//!
//! Long work could wait at one steward while a fast target of another becomes free. Therefore long tasks
//! that can't start at once are queued at several stewards, and the first that has a slot asks the owner for
//! permission to start. Short tasks are not shared, because a target would be idle while the steward asks.

mod ends;
mod load;

#[cfg(test)]
mod tests;

pub(crate) use ends::wait_for_end;
pub use ends::{EndTimes, MAX_END_TIMES};
pub use load::{
    Candidate, Load, MAX_RESERVATIONS, Profile, assign, assign_fast, assign_in_split_zone,
    choose_stewards, expected_waits,
};
