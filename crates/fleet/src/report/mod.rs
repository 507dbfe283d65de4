//! What the host writes down and counts: a line for each decision, bounded, never blocking.

mod budget;
mod lines;
mod note;

#[cfg(test)]
mod tests;

pub use budget::Budget;
pub use lines::{Lines, Log, Silent};
pub use note::Note;
