//! Slot loans: entries with work waiting borrow free slots from peers, so that the fleet acts as
//! one queue while its zones reach each other.
//!
//! Loans carry efficiency only. A wrong book costs a task some time in a target's own queue and
//! never a promise.

mod borrower;
mod lender;
mod message;

#[cfg(test)]
mod tests;

pub use borrower::{Borrower, Candidate, Disabled, Loan, MostIdle, Sharing};
pub use lender::{Lender, TERM};
pub use message::{Grant, Outcome, Recall, Request, Return};
