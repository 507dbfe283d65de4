//! What became of jobs, told from the lines that hosts wrote about them.

mod history;
mod table;

#[cfg(test)]
mod tests;

pub use history::{Account, Fate};
pub use table::Table;
