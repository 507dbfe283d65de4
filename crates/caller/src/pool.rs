//! Identifiers in hand.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfootshunt_core::submission::Id;

/// Age at which an unused identifier is thrown away; entries honour them for longer.
const LIFE: Duration = Duration::from_secs(120);

/// An identifier and the entry that gave it out.
#[derive(Clone, Debug)]
pub struct Identifier {
    /// The identifier.
    pub id: Id,
    /// The entry.
    pub entry: SocketAddr,
    /// When it was given out.
    pub issued_at: Instant,
}

/// Identifiers that were given out and not used, apart for each entry, so that submissions can be
/// spread over entries one by one.
#[derive(Debug, Default)]
pub struct Pool {
    held: BTreeMap<SocketAddr, VecDeque<Identifier>>,
}

impl Pool {
    /// Takes the oldest identifier of an entry that is fresh enough.
    pub fn take(&mut self, entry: SocketAddr, now: Instant) -> Option<Identifier> {
        let of_entry = self.held.get_mut(&entry)?;
        while let Some(held) = of_entry.pop_front() {
            if now.duration_since(held.issued_at) < LIFE {
                return Some(held);
            }
        }
        None
    }

    /// Adds fresh identifiers.
    pub fn add(&mut self, held: impl IntoIterator<Item = Identifier>) {
        for held in held {
            self.held.entry(held.entry).or_default().push_back(held);
        }
    }

    /// Throws away those of an entry that takes no more work.
    pub fn discard(&mut self, entry: SocketAddr) {
        self.held.remove(&entry);
    }

    /// Number of identifiers in hand.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.values().map(VecDeque::len).sum()
    }

    /// Whether none is in hand.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
