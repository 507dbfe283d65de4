//! The entry process: accepts jobs from callers, sends their tasks to targets, and cooperates with
//! the other entries as one dispatcher.
//!
//! Each module contains the state, messages and tests of one responsibility. [`control`] combines
//! them on one thread; all I/O runs on other threads.

pub mod app;
pub mod config;
pub mod control;
pub mod dispatch;
pub mod drain;
pub mod front;
pub mod kind;
pub mod loan;
pub mod log;
pub mod member;
pub mod peer;
pub mod platform;
pub mod quota;
pub mod settings;
pub mod submission;
pub mod target;
