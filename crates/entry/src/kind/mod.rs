//! Kinds of task: what is learned about their run times.
//!
//! Declared times are often far off, so they count only until runs are seen.

mod catalog;
mod histogram;

#[cfg(test)]
mod tests;

pub use catalog::{Catalog, Summary};
pub use histogram::Histogram;
