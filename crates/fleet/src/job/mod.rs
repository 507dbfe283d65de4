//! Jobs of this host's callers: which tasks may start, how completions change a job, and which
//! outcome its callers get.

mod classifier;
mod message;
mod open;
mod patience;
mod plan;
mod registry;

#[cfg(test)]
mod tests;

pub use classifier::{Classifier, Size};
pub use message::{
    Assignment, Completion, End, Grant, Item, Outcome, Refusal, Reservation, Submission, Task,
};
pub use open::{Granted, Open, Policy, Ready, RequestId};
pub use patience::{Bound, Patience};
pub use plan::{Id, InvalidJob, Plan, Requirements, Resources, Step};
pub use registry::Registry;
