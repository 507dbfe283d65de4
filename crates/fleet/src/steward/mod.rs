//! The steward: the targets to which this host gives orders, and the queue of tasks for them.

mod message;
mod state;

#[cfg(test)]
#[allow(dead_code, reason = "the comparison does not use all entry points")]
mod reference;
#[cfg(test)]
mod tests;

pub use message::{Output, Settings};
pub use state::Steward;
