//! The control state of a host: all slices together, owned by one thread.
//!
//! [`State`] decides and does no I/O: events come in, actions go out. [`Handle`] is what traffic
//! threads see of it.

mod assignment;
mod executor;
mod grants;
mod jobs;
mod message;
mod peers;
mod state;
mod targets;
mod thread;

#[cfg(test)]
mod tests;

pub use executor::Executor;
pub use message::{Action, Event, JobState, Request, Response, Snapshot};
pub use state::{Settings, State};
pub use thread::{Closed, Dependencies, Handle, spawn};
