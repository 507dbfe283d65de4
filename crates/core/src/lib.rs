//! Types shared by all processes: names, identifiers, jobs, answers, the clock and the operators'
//! configuration. This crate does no I/O.

pub mod answer;
pub mod clock;
pub mod config;
pub mod endpoint;
pub mod job;
pub mod name;
pub mod panic;
pub mod submission;
