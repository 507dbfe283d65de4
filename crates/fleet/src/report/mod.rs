//! Logs and metrics. Each decision of the host becomes one log line, at a bounded rate and without blocking,
//! and is counted in a metric.

mod json;
mod limiter;
mod record;

#[cfg(test)]
mod tests;

pub use json::{Json, Log, Silent};
pub use limiter::Limiter;
pub use record::Record;
