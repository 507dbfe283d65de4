//! Control state of a host: combines the state of all modules on one thread.
//!
//! [`State`] performs no I/O: it consumes events and returns actions. Traffic threads access it
//! through a [`Handle`].

mod assignment;
mod cancels;
mod claims;
mod crashes;
mod dump;
mod evacuations;
mod executor;
mod grants;
mod jobs;
mod lag;
mod message;
mod peers;
mod relay;
mod repeats;
mod shares;
mod state;
mod targets;
mod thread;

#[cfg(test)]
mod tests;

pub use executor::Executor;
pub use lag::Backlog;
pub use message::{Action, Event, JobState, Request, Response, Snapshot};
pub use state::{Settings, State};
pub use thread::{Closed, Dependencies, Handle, spawn};
