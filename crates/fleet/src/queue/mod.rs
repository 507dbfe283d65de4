//! Who waits for a target, and in which order.
//!
//! Answers the crest at which more work waits than fits. Jobs of which something has started come
//! first: a job is worth nothing until its last task has ended, so a crest must not leave many jobs
//! half done. Of the others those that can still be on time go first, the one with least slack
//! ahead, and what is late already follows by priority, so that a backlog of late work can't make
//! everything behind it late as well.

mod line;

#[cfg(test)]
pub(crate) mod tests;

pub use line::{Binding, Queue, QueuedTask, SLACK_LEVELS_MS, slack_level};
