//! The operators' configuration in force at this entry.
//!
//! An accepted configuration must be in force at all entries within seconds, and must never be
//! replaced by an older one.

mod current;

#[cfg(test)]
mod tests;

pub use current::Current;
