//! What tests of several packages share: the macro that names cases, and entries as processes.

mod cases;
mod cluster;
mod wait;

pub use cluster::{Cluster, Entry, Signal, job};
#[doc(hidden)]
pub use rstest;
pub use wait::{WAIT_TIMEOUT, wait_until};
