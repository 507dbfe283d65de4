//! What the store is asked and what it brings.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use derive_more::{Display, Error};

use crate::config::Document;
use crate::directory::Entry;
use crate::member::Card;

/// Why the store gave no answer.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum Failure {
    /// It can't be reached, or not in time.
    #[display("unreachable")]
    Unreachable,
    /// It turns this host away or asks it to slow down.
    #[display("turned_away")]
    TurnedAway,
    /// What it holds can't be read.
    #[display("unreadable")]
    Unreadable,
}

/// A complete list of targets.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The targets.
    pub entries: Vec<Entry>,
    /// Entries that could not be read; they name no target.
    pub unreadable: usize,
}

/// The store, as far as this system uses it.
#[async_trait]
pub trait Store: Send + Sync {
    /// The configuration, once it differs from `known` (a revision of the store) or `wait` is over;
    /// none if it did not change. Also the revision from which to go on.
    async fn document(
        &self,
        known: u64,
        wait: Duration,
    ) -> Result<(Option<Arc<Document>>, u64), Failure>;

    /// All targets. A stale answer may be seconds old.
    async fn targets(&self, stale: bool) -> Result<Listing, Failure>;

    /// All hosts that registered.
    async fn hosts(&self) -> Result<Vec<Card>, Failure>;

    /// Registers this host.
    async fn register(&self, card: &Card) -> Result<(), Failure>;
}

/// What the store brought.
#[derive(Clone, Debug)]
pub enum News {
    /// A configuration.
    Document(Arc<Document>),
    /// A complete list of targets.
    Targets(Listing),
    /// Hosts that registered.
    Hosts(Vec<Card>),
    /// The store stopped answering.
    Lost(Failure),
    /// The store answers again.
    Regained,
}
