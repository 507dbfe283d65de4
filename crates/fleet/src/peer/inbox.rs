//! The receiving side of sessions.

use std::collections::BTreeMap;

use coltsfootshunt_core::name::Host;

use super::{Ack, Batch};

#[derive(Debug)]
struct Row {
    incarnation: u64,
    session: u64,
    number: u64,
}

/// What to do with a batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Taken {
    /// Act on its messages. `fresh` says that it begins a session that follows another.
    Act {
        /// Whether what came in earlier sessions is void.
        fresh: bool,
    },
    /// Do nothing but answer.
    Answer(Ack),
}

/// Last batch of each sender.
#[derive(Debug, Default)]
pub struct Inbox {
    rows: BTreeMap<Host, Row>,
}

impl Inbox {
    /// Judges a batch.
    pub fn take(&mut self, batch: &Batch) -> Taken {
        let known = self.rows.get_mut(&batch.from.host);
        let same = known.filter(|row| row.incarnation == batch.from.incarnation);
        if let Some(row) = same {
            if row.session == batch.session && row.number >= batch.number {
                return Taken::Answer(Ack::Taken);
            }
            if row.session == batch.session && row.number + 1 == batch.number {
                row.number = batch.number;
                return Taken::Act { fresh: false };
            }
            // Late batches of an earlier session, or a gap.
            if row.session >= batch.session {
                return Taken::Answer(Ack::Broken);
            }
        }
        if batch.number != 1 {
            return Taken::Answer(Ack::Broken);
        }
        let row = Row {
            incarnation: batch.from.incarnation,
            session: batch.session,
            number: batch.number,
        };
        let before = self.rows.insert(batch.from.host.clone(), row);
        Taken::Act { fresh: before.is_some() }
    }
}
