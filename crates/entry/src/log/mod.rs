//! The log: JSON lines, one for each decision that matters, and its counters.

mod json;

pub use json::{Json, Level, Log, Silent};
