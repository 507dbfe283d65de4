//! Pool of unused identifiers.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfootshunt_core::submission::Id;

/// Age at which an unused identifier is discarded. Entries accept it for longer.
const MAX_AGE: Duration = Duration::from_secs(120);

/// An identifier and the entry that issued it.
#[derive(Clone, Debug)]
pub struct Identifier {
    /// Identifier of a submission.
    pub id: Id,
    /// Address of the entry that issued it.
    pub entry: SocketAddr,
    /// Time at which the response with the identifier arrived.
    pub issued_at: Instant,
}

/// Issued and unused identifiers, kept per entry so that submissions can take the entries in turn.
#[derive(Debug, Default)]
pub struct Pool {
    identifiers: BTreeMap<SocketAddr, VecDeque<Identifier>>,
}

impl Pool {
    /// Takes the oldest identifier of an entry, discarding those that are too old.
    pub fn take(&mut self, entry: SocketAddr, now: Instant) -> Option<Identifier> {
        let queue = self.identifiers.get_mut(&entry)?;
        while let Some(identifier) = queue.pop_front() {
            if now.duration_since(identifier.issued_at) < MAX_AGE {
                return Some(identifier);
            }
        }
        None
    }

    /// Adds newly issued identifiers.
    pub fn add(&mut self, issued: impl IntoIterator<Item = Identifier>) {
        for identifier in issued {
            self.identifiers.entry(identifier.entry).or_default().push_back(identifier);
        }
    }

    /// Discards all identifiers of an entry that accepts no more submissions.
    pub fn discard(&mut self, entry: SocketAddr) {
        self.identifiers.remove(&entry);
    }

    /// Number of identifiers in the pool, including those that are too old.
    #[must_use]
    pub fn len(&self) -> usize {
        self.identifiers.values().map(VecDeque::len).sum()
    }

    /// Whether the pool has no identifiers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
