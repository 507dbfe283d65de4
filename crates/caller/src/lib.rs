//! The callers' library: submits jobs and returns their typed answers.
//!
//! It keeps a few identifiers in hand, so that a submission costs one round trip, and repeats a
//! submission under the same identifier when an answer is lost, which can't run it twice.

mod caller;
mod pool;

pub use caller::{Caller, Error, IdentifierError, Settings};
pub use coltsfootshunt_core as core;
pub use pool::{Identifier, Pool};
