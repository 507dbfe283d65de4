//! Settings of one entry process: JSON with comments, each field checked.

mod file;
mod error;

#[cfg(test)]
mod tests;

pub use file::{Admitting, Drain, Listen, Ordering, Policy, Settings, Sharing};
pub use error::Problem;
