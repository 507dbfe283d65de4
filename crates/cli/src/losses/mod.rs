//! What became of jobs, told from the lines that hosts wrote about them.

mod account;
mod table;

#[cfg(test)]
mod tests;

pub use account::{Account, Fate};
pub use table::Table;
