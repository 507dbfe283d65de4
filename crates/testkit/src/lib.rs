//! Helpers for the tests of several packages: the macro [`cases!`], [`wait_until`], and a
//! [`Cluster`] of entry processes.

mod cases;
mod cluster;
mod wait;

pub use cluster::{Cluster, Entry, Signal, job};
#[doc(hidden)]
pub use rstest;
pub use wait::{WAIT_TIMEOUT, wait_until};
