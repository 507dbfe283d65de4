//! Logs and metrics. Each decision of the host is counted in a metric and written as one log line, at a
//! limited rate and without blocking.

mod calls;
mod json;
mod limiter;
mod record;
mod stall;

#[cfg(test)]
mod tests;

pub use calls::{Calls, Sum};
pub use json::{Json, Log, Silent};
pub use limiter::Limiter;
pub use record::Record;
pub use stall::report_stalls;
