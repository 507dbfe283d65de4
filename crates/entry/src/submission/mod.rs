//! Submissions: who may start their tasks, what became of each task, and the answer.
//!
//! Here live the promises that no task of a submission starts twice, that an answer is complete or
//! failed and never partial, and that `not_run` is true.

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
