//! Encoding of batches, with the size of each message.
//!
//! Load pattern: a link of 250 kB/s, and a steward that sends its load to each host ten times a second. Names of
//! fields and the identity of the sender made up most of what hosts sent. Only the first batch of a session
//! names its sender in full. If both sides know the short form, all others name the incarnation alone, and the
//! frequent messages are arrays of values.

mod frame;
mod reply;
mod senders;
mod session;
mod short;

#[cfg(test)]
mod tests;

pub(super) use frame::{Error as FrameError, Frame};
pub(super) use reply::Reply;
pub(super) use senders::Senders;
pub(super) use session::Session;
