//! The operators' configuration in force at this entry.
//!
//! Here lives the promise that an accepted configuration is in force everywhere within seconds and
//! never reverts.

mod current;

#[cfg(test)]
mod tests;

pub use current::Current;
