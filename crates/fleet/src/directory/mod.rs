//! Targets that exist: what they said of themselves last, and when they count as gone.

mod list;
mod message;

#[cfg(test)]
pub(crate) mod tests;

pub use list::List;
pub use message::{Entry, State};
