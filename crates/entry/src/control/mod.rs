//! The control state of an entry: all slices together, owned by one thread.
//!
//! [`State`] decides and does no I/O: events come in with the time, actions go out. [`Handle`] is
//! what traffic threads see of it.

mod dump;
mod executor;
mod fleet;
mod lending;
mod message;
mod record;
mod snapshot;
mod state;
mod stop;
mod submit;
mod thread;
mod work;

#[cfg(test)]
mod tests;

pub use executor::Executor;
pub use message::{Action, Attempt, Event, Load, Output};
pub use record::Record;
pub use snapshot::{Route, Snapshot};
pub use state::{Policy, Setup, State};
pub use thread::{Closed, Dependencies, Handle, spawn};
