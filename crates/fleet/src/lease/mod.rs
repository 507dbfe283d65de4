//! Leases on targets: which attempts run at a target, under which fencing token, and what calls
//! without a response may have done.
//!
//! The module handles the cases in which a target could be given more work than it has resources for:
//! a takeover while orders are pending, an order that is carried out seconds late, a target that
//! restarted under the same name, and two hosts that both believe to be its steward. A target rejects
//! any token lower than the highest it has seen. A successful renewal with a new token therefore voids
//! all earlier orders, and its report lists every attempt at the target.

mod evidence;
mod message;
mod timeout;
mod token;
mod tracker;

#[cfg(test)]
mod tests;

pub use evidence::Evidence;
pub use message::{
    Call, Client, End, Ended, Order, Rejection, Report, Response, Running, Unreadable,
};
pub use timeout::Timeout;
pub use token::{Issuer, Suffix, Token};
pub use tracker::{Attempt, Change, Phase, Term, Tracker};
