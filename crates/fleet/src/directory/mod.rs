//! Directory of targets: the last entry of each target, and when a missing one counts as vanished.

mod message;
mod targets;

#[cfg(test)]
pub(crate) mod tests;

pub use message::{Entry, State};
pub use targets::Directory;
