//! Identifiers in hand.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfootshunt_core::submission::Id;

/// Age at which an unused identifier is thrown away; entries honour them for longer.
const LIFE: Duration = Duration::from_secs(120);

/// An identifier and the entry that gave it out.
#[derive(Clone, Debug)]
pub struct Held {
    /// The identifier.
    pub id: Id,
    /// The entry.
    pub entry: SocketAddr,
    /// When it was given out.
    pub since: Instant,
}

/// Identifiers that were given out and not used.
#[derive(Debug, Default)]
pub struct Hand {
    held: VecDeque<Held>,
}

impl Hand {
    /// Takes the oldest identifier that is fresh enough.
    pub fn take(&mut self, now: Instant) -> Option<Held> {
        while let Some(held) = self.held.pop_front() {
            if now.duration_since(held.since) < LIFE {
                return Some(held);
            }
        }
        None
    }

    /// Adds fresh identifiers.
    pub fn add(&mut self, held: impl IntoIterator<Item = Held>) {
        self.held.extend(held);
    }

    /// Throws away those of an entry that takes no more work.
    pub fn drop_of(&mut self, entry: SocketAddr) {
        self.held.retain(|held| held.entry != entry);
    }

    /// Number of identifiers in hand.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none is in hand.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
