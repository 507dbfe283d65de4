//! Messages between hosts, delivered in order and at most once. Both sides notice if some may be lost.
//!
//! A host sends its messages to a peer in the numbered batches of a session and repeats each batch until
//! it is acknowledged. The first batch only opens the session: the process that is to receive the
//! messages has then acknowledged it, and messages of an earlier session or process are told apart. If a
//! batch isn't acknowledged within a timeout, the session ends. The sender gets an event, the receiver
//! notices it by the first batch of the next session, and each side drops the state that it holds for the
//! other.

mod account;
mod inbox;
mod message;
mod outbox;
mod queue;
mod rpc;
mod wire;

#[cfg(test)]
mod tests;

pub use account::{Account, Count, Direction, Key, Scope};
pub use inbox::{Inbox, Receipt};
pub use message::{Ack, Batch, Message, Transport, Unreachable};
pub use outbox::{MAX_ACK_AGE, Outbox};
pub use queue::{Full, Queue};
pub use rpc::{Rpc, Server, serve};
