//! Messages between hosts: in order, at most once, and with a sign when some may be lost.
//!
//! Each host sends another its messages in numbered batches of a session. A batch is repeated until
//! it is acknowledged; when that fails for too long the session ends, both sides are told, and each
//! drops what it holds for the other.

mod inbox;
mod message;
mod outbox;
mod rpc;

#[cfg(test)]
mod tests;

pub use inbox::{Inbox, Receipt};
pub use message::{Ack, Batch, Message, Transport, Unreachable};
pub use outbox::Outbox;
pub use rpc::{Rpc, Server, serve};
