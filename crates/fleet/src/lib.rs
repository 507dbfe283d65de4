//! A host of the fleet: takes jobs from callers and runs their tasks on leased targets.
//!
//! Each module holds the state, messages and tests of one responsibility. [`control`] combines them
//! on one thread; all I/O runs on other threads, behind the traits [`lease::Client`],
//! [`store::Store`] and [`peer::Transport`].

pub mod admission;
pub mod cancel;
pub mod config;
pub mod control;
pub mod crash;
pub mod density;
pub mod directory;
pub mod evacuation;
pub mod job;
pub mod lease;
pub mod member;
pub mod peer;
pub mod placement;
pub mod precedence;
pub mod queue;
pub mod repeat;
pub mod report;
pub mod routing;
pub mod speed;
pub mod steward;
pub mod store;
