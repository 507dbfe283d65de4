//! The steward: the targets to which this host gives orders, and the queue of tasks for them.

mod message;
mod state;

#[cfg(test)]
mod tests;

pub use message::{Output, Settings};
pub use state::Steward;
