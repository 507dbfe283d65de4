//! Jobs of this host's callers: which tasks may start, what their ends mean, and the answer.

mod book;
mod message;
mod open;
mod plan;
mod scale;

#[cfg(test)]
mod tests;

pub use book::Registry;
pub use message::{
    Assignment, Completion, End, Grant, Item, Outcome, Refusal, Reservation, Submission, Task,
};
pub use open::{Granted, Open, Policy, Ready, RequestId};
pub use plan::{Id, InvalidJob, Plan, Requirements, Resources, Step};
pub use scale::{Classifier, Size};
