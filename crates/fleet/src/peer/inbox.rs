//! The receiving side of sessions.

use std::collections::{BTreeMap, VecDeque};

use coltsfootshunt_core::name::Host;

use super::{Ack, Batch};
use crate::member::Identity;

/// Number of replaced incarnations that are remembered for each sender. More restarts than that
/// don't happen while a batch is in flight.
const MAX_REPLACED: usize = 32;

/// Position of a sender: its last processed batch.
#[derive(Debug)]
struct Position {
    incarnation: u64,
    session: u64,
    sequence: u64,
    /// Whether this host has ended the session, so that batches which continue it are void.
    is_over: bool,
    /// Incarnations of the sender that have ended, oldest first. Incarnations have no order, so a
    /// late batch of one of them would otherwise count as a new process.
    replaced: VecDeque<u64>,
}

/// How to handle a received batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Receipt {
    /// Process its messages.
    Process {
        /// Whether it begins a session that replaces an earlier one, whose requests are void.
        is_new_session: bool,
    },
    /// Ignore its messages and respond with this.
    Acknowledge(Ack),
}

/// Position of each sender, to detect repeated and missing batches.
#[derive(Debug, Default)]
pub struct Inbox {
    senders: BTreeMap<Host, Position>,
}

impl Inbox {
    /// Records a batch and returns how to handle it.
    pub fn receive(&mut self, batch: &Batch) -> Receipt {
        let known = self.senders.get_mut(&batch.from.host);
        if let Some(position) = known {
            if position.replaced.contains(&batch.from.incarnation) {
                return Receipt::Acknowledge(Ack::SessionLost);
            }
            let is_same_process = position.incarnation == batch.from.incarnation;
            if is_same_process && position.session == batch.session && !position.is_over {
                if position.sequence >= batch.sequence {
                    return Receipt::Acknowledge(Ack::Accepted);
                }
                if position.sequence + 1 == batch.sequence {
                    position.sequence = batch.sequence;
                    return Receipt::Process { is_new_session: false };
                }
            }
            // A late batch of an earlier session, a gap in this one, or it is over.
            if is_same_process && position.session >= batch.session {
                return Receipt::Acknowledge(Ack::SessionLost);
            }
        }
        if batch.sequence != 1 {
            return Receipt::Acknowledge(Ack::SessionLost);
        }
        let previous = self.senders.remove(&batch.from.host);
        let is_new_session = previous.is_some();
        let replaced =
            previous.map(|position| position.into_replaced_by(&batch.from)).unwrap_or_default();
        let position = Position {
            incarnation: batch.from.incarnation,
            session: batch.session,
            sequence: batch.sequence,
            is_over: false,
            replaced,
        };
        self.senders.insert(batch.from.host.clone(), position);
        Receipt::Process { is_new_session }
    }

    /// Ends the sessions of all senders. What they have sent in them and was not received is void.
    pub fn end_sessions(&mut self) {
        self.senders.values_mut().for_each(|position| position.is_over = true);
    }
}

impl Position {
    /// Returns the ended incarnations of the sender, now that a batch of `sender` has arrived.
    fn into_replaced_by(mut self, sender: &Identity) -> VecDeque<u64> {
        if self.incarnation != sender.incarnation {
            self.replaced.push_back(self.incarnation);
        }
        if self.replaced.len() > MAX_REPLACED {
            self.replaced.pop_front();
        }
        self.replaced
    }
}
