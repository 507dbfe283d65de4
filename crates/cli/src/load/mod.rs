//! Load generator with open-loop arrivals. Measures response times from the intended send time and
//! compares them with a single queue shared by all slots.

mod report;
mod run;
mod shared_queue;
mod workload;

#[cfg(test)]
mod tests;

pub use report::{Measurements, Report};
pub use run::{CallerPool, Faults, measure_direct, measure_end_to_end, send_all};
pub use workload::{Arrival, Class, Peak, Workload};
