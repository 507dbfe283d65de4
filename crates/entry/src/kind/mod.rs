//! Kinds of task: their configuration and their learned run times.
//!
//! Configured run times are often wrong, so they only count until enough runs were recorded.

mod catalog;
mod histogram;

#[cfg(test)]
mod tests;

pub use catalog::{Catalog, Summary};
pub use histogram::Histogram;
