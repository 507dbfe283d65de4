//! The operators' configuration in force: it never goes back.

mod document;
mod holder;
mod stretch;

#[cfg(test)]
pub(crate) mod tests;

pub use document::{Document, Limits, Route};
pub use holder::Holder;
pub use stretch::{Stretch, Unfit};
