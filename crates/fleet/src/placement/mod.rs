//! Selection of the target for a task.
//!
//! Targets differ in speed, slow down and hang. A task goes to the target with enough free
//! resources where it is expected to end first, but never to one where it would end late while
//! another target could still end it on time. Of equally fast targets the fullest one is chosen,
//! which keeps large gaps free for large tasks. If other tasks wait, [`Outlook`] first prefers those whose
//! remaining room the waiting tasks can fill.
//!
//! Long tasks end in time with certainty on fast targets only. Part of the fast targets' capacity
//! is therefore reserved for them, they come first there, and they may wait a little for a free
//! slot. Once only the reserved part is free, tasks that are on time on a slower target are placed
//! there.

mod choice;
mod outlook;
mod shortlist;

#[cfg(test)]
mod tests;

pub(crate) use choice::FAST_FACTOR;
pub use choice::{
    Candidate, Choice, FastTargets, MIN_CHANCE_GAIN, MIN_PROBABILITY, choose, is_fast, wants_fast,
};
pub use outlook::Outlook;
pub use shortlist::{Limit, Rated, Scale, shortlist};
