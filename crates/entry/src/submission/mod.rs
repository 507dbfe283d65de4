//! Submissions: who may start their tasks, what became of each task, and the answer.
//!
//! Here live the promises that no task of a submission starts twice, that an answer is complete or
//! failed and never partial, and that `not_run` is true.

mod course;
mod ledger;
mod legacy;
mod message;
mod record;

#[cfg(test)]
mod tests;

pub use course::{Course, Stage, Step};
pub use ledger::{Ledger, Limits, Standing};
pub use legacy::{Finished, Legacy, Part, PartKey};
pub use message::{End, Progress, Reply, Request, Ticket};
pub use record::{Open, Verdict};
