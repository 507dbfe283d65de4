//! Log of notable decisions: JSON lines, and metrics that count them.

mod json;

pub use json::{Json, Level, Log, Silent, observe_panics};
