//! The receiving side of sessions.

use std::collections::BTreeMap;

use coltsfootshunt_core::name::Host;

use super::{Ack, Batch};

#[derive(Debug)]
struct Row {
    incarnation: u64,
    session: u64,
    sequence: u64,
}

/// What to do with a batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Receipt {
    /// Act on its messages. `fresh` says that it begins a session that follows another.
    Process {
        /// Whether what came in earlier sessions is void.
        is_new_session: bool,
    },
    /// Do nothing but answer.
    Acknowledge(Ack),
}

/// Last batch of each sender.
#[derive(Debug, Default)]
pub struct Inbox {
    rows: BTreeMap<Host, Row>,
}

impl Inbox {
    /// Judges a batch.
    pub fn receive(&mut self, batch: &Batch) -> Receipt {
        let known = self.rows.get_mut(&batch.from.host);
        let same = known.filter(|row| row.incarnation == batch.from.incarnation);
        if let Some(row) = same {
            if row.session == batch.session && row.sequence >= batch.sequence {
                return Receipt::Acknowledge(Ack::Accepted);
            }
            if row.session == batch.session && row.sequence + 1 == batch.sequence {
                row.sequence = batch.sequence;
                return Receipt::Process { is_new_session: false };
            }
            // Late batches of an earlier session, or a gap.
            if row.session >= batch.session {
                return Receipt::Acknowledge(Ack::SessionLost);
            }
        }
        if batch.sequence != 1 {
            return Receipt::Acknowledge(Ack::SessionLost);
        }
        let row = Row {
            incarnation: batch.from.incarnation,
            session: batch.session,
            sequence: batch.sequence,
        };
        let before = self.rows.insert(batch.from.host.clone(), row);
        Receipt::Process { is_new_session: before.is_some() }
    }
}
