//! The operators' configuration. The version in force never goes back.

mod current;
mod document;
mod stretch;

#[cfg(test)]
pub(crate) mod tests;

pub use current::Current;
pub use document::{Document, Limits, Route};
pub use stretch::{InvalidStretch, Stretch};
