//! Who waits for a target, and in which order.
//!
//! Answers the crest at which more work waits than fits. Work that can still be on time goes
//! first, the one with least slack ahead; what is late already follows, work of jobs that have begun
//! first and then by priority, so that a
//! backlog of late work can't make everything behind it late as well.

mod line;

#[cfg(test)]
pub(crate) mod tests;

pub use line::{Line, SLACK_LEVELS_MS, Waiting, slack_level};
