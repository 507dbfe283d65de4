//! What the host writes down and counts: a line for each decision, bounded, never blocking.

mod json;
mod limiter;
mod record;

#[cfg(test)]
mod tests;

pub use json::{Json, Log, Silent};
pub use limiter::Limiter;
pub use record::Record;
