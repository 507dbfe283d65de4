//! Settings of one entry process: JSON with comments, each field checked.

mod error;
mod file;

#[cfg(test)]
mod tests;

pub use error::Error;
pub use file::{Addresses, Admission, Drain, Policy, QueueOrder, Settings, Sharing};
