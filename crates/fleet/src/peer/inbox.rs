//! The receiving side of sessions.

use std::collections::BTreeMap;

use coltsfootshunt_core::name::Host;

use super::{Ack, Batch};

/// Position of a sender: its last processed batch.
#[derive(Debug)]
struct Position {
    incarnation: u64,
    session: u64,
    sequence: u64,
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
        let same = known.filter(|position| position.incarnation == batch.from.incarnation);
        if let Some(position) = same {
            if position.session == batch.session && position.sequence >= batch.sequence {
                return Receipt::Acknowledge(Ack::Accepted);
            }
            if position.session == batch.session && position.sequence + 1 == batch.sequence {
                position.sequence = batch.sequence;
                return Receipt::Process { is_new_session: false };
            }
            // A late batch of an earlier session, or a gap in this one.
            if position.session >= batch.session {
                return Receipt::Acknowledge(Ack::SessionLost);
            }
        }
        if batch.sequence != 1 {
            return Receipt::Acknowledge(Ack::SessionLost);
        }
        let position = Position {
            incarnation: batch.from.incarnation,
            session: batch.session,
            sequence: batch.sequence,
        };
        let previous = self.senders.insert(batch.from.host.clone(), position);
        Receipt::Process { is_new_session: previous.is_some() }
    }
}
