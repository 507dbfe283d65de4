//! Targets that exist: what they said of themselves last, and when they count as gone.

mod message;
mod targets;

#[cfg(test)]
pub(crate) mod tests;

pub use message::{Entry, State};
pub use targets::Directory;
