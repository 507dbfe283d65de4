//! The load tool: open-loop arrivals, latency from the intended send time, and the answer that one
//! shared queue would have given to the same arrivals.

mod arrivals;
mod report;
mod run;
mod shared_queue;

#[cfg(test)]
mod tests;

pub use arrivals::{Arrival, Class, Crest, Shape};
pub use report::{Report, Source};
pub use run::{Crowd, Faults, direct, run, through};
