//! The lease on one target: what runs there, under which fencing token, and what a silent call may
//! have done.
//!
//! Answers the cases in which a target could be given more than it holds: a takeover with orders
//! under way, an order that is carried out seconds late, a target that restarted under its name,
//! two hosts that both believe that they give its orders. The target obeys no token lower than the
//! highest it has seen, so one answered renewal with a new token makes every earlier order void,
//! and the list in that answer is the whole truth.

mod evidence;
mod message;
mod timeout;
mod token;
mod tracker;

#[cfg(test)]
mod tests;

pub use evidence::Evidence;
pub use message::{Call, Client, End, Ended, Order, Rejection, Report, Response, Running};
pub use timeout::Timeout;
pub use token::{Issuer, Token};
pub use tracker::{Attempt, Change, Phase, Term, Tracker};
