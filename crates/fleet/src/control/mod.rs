//! The control state of a host: all slices together, owned by one thread.
//!
//! [`State`] decides and does no I/O: events come in, actions go out. [`Handle`] is what traffic
//! threads see of it.

mod peers;
mod grants;
mod executor;
mod jobs;
mod message;
mod assignment;
mod state;
mod targets;
mod thread;

#[cfg(test)]
mod tests;

pub use executor::Executor;
pub use message::{Action, Event, JobState, Response, Request, Snapshot};
pub use state::{Settings, State};
pub use thread::{Closed, Handle, Dependencies, spawn};
