//! Reconstructs the outcomes of jobs from the log records of hosts.

mod history;
mod table;

#[cfg(test)]
mod tests;

pub use history::{Histories, Outcome};
pub use table::Table;
