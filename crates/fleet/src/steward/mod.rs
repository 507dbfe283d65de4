//! The targets that this host gives orders to, and the tasks that wait for them.

mod message;
mod state;

#[cfg(test)]
mod tests;

pub use message::{Output, Settings};
pub use state::Steward;
