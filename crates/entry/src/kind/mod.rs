//! Kinds of task: what is learned about their run times.
//!
//! Declared times are often far off, so they count only until runs are seen.

mod book;
mod profile;

#[cfg(test)]
mod tests;

pub use book::{Book, Summary};
pub use profile::Profile;
