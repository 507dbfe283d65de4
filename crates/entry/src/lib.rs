//! The entry process: takes jobs from callers, sends their tasks to targets, and acts together with
//! the other entries as one dispatcher.
//!
//! Each folder is one duty with its state, messages and tests. [`control`] puts the duties together
//! on one thread; all I/O runs on others.

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
