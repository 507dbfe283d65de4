//! The operators' configuration. A lower version never replaces a higher one.

mod current;
mod document;
mod stretch;

#[cfg(test)]
pub(crate) mod tests;

pub use current::Current;
pub use document::{Document, Limits, Route};
pub use stretch::{InvalidStretch, Stretch};
