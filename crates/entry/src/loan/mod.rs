//! Slot loans: entries with waiting tasks borrow free slots from peers, so that the entries act as
//! one queue as long as their zones can reach each other.
//!
//! Loans affect efficiency only. If the records of a loan are wrong, a task may have to wait in a
//! target's own queue, but no guarantee to a caller is broken.

mod borrower;
mod lender;
mod message;

#[cfg(test)]
mod tests;

pub use borrower::{Borrower, Candidate, Disabled, Loan, MostIdle, Sharing};
pub use lender::{Lender, TERM};
pub use message::{Grant, Outcome, Recall, Request, Return};
