//! How fast targets are and how far declared run times can be trusted, learned from ends.
//!
//! Answers targets that differ in speed by a factor of two and more, turn slow for seconds, or fail
//! what they start, and kinds whose declared times are off by tens of per cent: for each kind the run
//! times of all stewards' ends are held against the declared ones, so that a declared time counts for as
//! much as it has turned out to be worth.

mod estimator;
mod forecast;
mod trend;

#[cfg(test)]
mod tests;

pub use estimator::Estimator;
pub use forecast::Forecast;
pub use trend::Trend;
