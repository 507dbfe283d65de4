//! Helpers for the tests of several packages: the macro [`cases!`], [`wait_until`],
//! [`new_folder`], and a [`Cluster`] of entry processes.

mod cases;
mod cluster;
mod folder;
pub mod process;
mod wait;

pub use cluster::{Cluster, Entry, Signal, job};
pub use folder::new_folder;
#[doc(hidden)]
pub use rstest;
pub use wait::{WAIT_TIMEOUT, wait_until};
