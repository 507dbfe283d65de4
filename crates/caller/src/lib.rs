//! Client library for callers: submits jobs and returns their typed answers.
//!
//! Keeps a pool of unused identifiers so that a submission costs one round trip. If the answer is
//! lost, repeats the submission under the same identifier, which can't run the job twice.

mod caller;
mod pool;

pub use caller::{Caller, Error, IdentifierError, Settings};
pub use coltsfootshunt_core as core;
pub use pool::{Identifier, Pool};
