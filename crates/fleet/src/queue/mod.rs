//! Queue of the tasks that wait for a target at one steward, and their order.
//!
//! The order matters at peak load, when more tasks wait than the targets can run:
//!
//! - Jobs that have started come first. A job is worth nothing until its last task has ended, so a
//!   peak must not leave many jobs half done.
//! - Of the other jobs, those that can still meet their objective come next, least slack first.
//! - Late tasks come last, by priority, so that a backlog of late tasks can't make everything
//!   behind it late as well.

mod tasks;

#[cfg(test)]
pub(crate) mod tests;

pub use tasks::{Binding, Queue, QueuedTask, SLACK_LEVELS_MS, slack_level};
