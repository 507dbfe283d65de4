//! The control state of an entry, owned by one thread.
//!
//! [`State`] makes all decisions and does no I/O: it receives events with the current time and
//! returns actions. Traffic threads access it through a [`Handle`].

mod dump;
mod executor;
mod lending;
mod members;
mod message;
mod record;
mod requests;
mod snapshot;
mod state;
mod stop;
mod tasks;
mod thread;

#[cfg(test)]
mod tests;

pub use executor::Executor;
pub use message::{Action, Attempt, Event, Load, Output};
pub use record::Record;
pub use snapshot::{Route, Snapshot};
pub use state::{Policy, Setup, State};
pub use thread::{Closed, Dependencies, Handle, spawn};
