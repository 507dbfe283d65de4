//! Settings of an entry process: a file in JSON with comments, with all fields validated.

mod error;
mod file;

#[cfg(test)]
mod tests;

pub use error::Error;
pub use file::{Addresses, Admission, Clients, Drain, Policy, QueueOrder, Settings, Sharing};
