//! The load tool: open-loop arrivals, latency from the intended send time, and the answer that one
//! shared queue would have given to the same arrivals.

mod report;
mod run;
mod shared_queue;
mod workload;

#[cfg(test)]
mod tests;

pub use report::{Report, Source};
pub use run::{Crowd, Faults, direct, run, through};
pub use workload::{Arrival, Class, Crest, Shape};
