//! Run-time estimates: the speed of targets and the accuracy of declared run times, learned from the
//! ends of runs.
//!
//! Targets differ in speed by a factor of two and more, turn slow for seconds, or fail what they start.
//! Declared times are off by tens of per cent. For each kind, the run times at all stewards are
//! compared with the declared ones, so that a declared time counts only as far as it has proved
//! accurate.

mod estimator;
mod forecast;
pub mod reference;
mod trend;

#[cfg(test)]
mod tests;

pub use estimator::Estimator;
pub use forecast::Forecast;
pub use trend::Trend;
