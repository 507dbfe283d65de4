//! Submissions: identifiers, the state of each accepted job and its answer.
//!
//! The types of this module guarantee that no task of a submission starts twice, that an answer is
//! either complete or failed and never partial, and that a task reported as `not_run` never ran.

mod inheritance;
mod message;
mod open;
mod registry;
mod trace;

#[cfg(test)]
mod tests;

pub use inheritance::{Chunk, ChunkId, Finished, Inheritance};
pub use message::{End, Progress, Reply, Request, RequestId};
pub use open::{Open, Transition};
pub use registry::{Limits, Lookup, Registry};
pub use trace::{Stage, Step, Trace};
