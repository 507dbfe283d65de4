//! Words that every process shares: names, identifiers, jobs, answers, the clock and the
//! operators' configuration. Nothing here does I/O.

pub mod answer;
pub mod clock;
pub mod config;
pub mod endpoint;
pub mod job;
pub mod name;
pub mod submission;
