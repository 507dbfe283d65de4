//! What the store is asked and what it brings.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use derive_more::Display;

use crate::config::Document;
use crate::directory::Entry;
use crate::member::Identity;

/// Why the store gave no answer.
#[derive(Clone, Copy, Debug, Display, derive_more::Error, Eq, PartialEq)]
pub enum Error {
    /// It can't be reached, or not in time.
    #[display("unreachable")]
    Unreachable,
    /// It turns this host away or asks it to slow down.
    #[display("turned_away")]
    Rejected,
    /// What it holds can't be read.
    #[display("unreadable")]
    Unreadable,
}

/// Something in the store that can't be read; it names nothing to use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unreadable {
    /// Where it is.
    pub key: Arc<str>,
    /// Its last change.
    pub revision: u64,
    /// What is wrong with it.
    pub reason: Arc<str>,
}

/// A complete list.
#[derive(Clone, Debug)]
pub struct Listing<T> {
    /// What could be read.
    pub entries: Vec<T>,
    /// The others.
    pub unreadable: Vec<Unreadable>,
}

impl<T> From<Vec<T>> for Listing<T> {
    fn from(entries: Vec<T>) -> Self {
        Self { entries, unreadable: Vec::new() }
    }
}

/// What the store says of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Change {
    /// The newest one that could be read; none if it did not change.
    pub document: Option<Arc<Document>>,
    /// The newest one, if that could not be read.
    pub unreadable: Option<Unreadable>,
    /// Revision of the store from which to go on; 0 if there is no configuration yet.
    pub revision: u64,
}

/// The store, as far as this system uses it.
#[async_trait]
pub trait Store: Send + Sync {
    /// The configuration, once it differs from `known` (a revision of the store) or `wait` is over.
    async fn watch_config(&self, known: u64, wait: Duration) -> Result<Change, Error>;

    /// All targets. A stale answer may be seconds old.
    async fn list_targets(&self, stale: bool) -> Result<Listing<Entry>, Error>;

    /// All hosts that registered.
    async fn list_hosts(&self) -> Result<Listing<Identity>, Error>;

    /// Registers this host.
    async fn register(&self, identity: &Identity) -> Result<(), Error>;
}

/// What the store brought.
#[derive(Clone, Debug)]
pub enum Update {
    /// A configuration.
    Document(Arc<Document>),
    /// A complete list of targets.
    Targets(Listing<Entry>),
    /// Hosts that registered.
    Hosts(Listing<Identity>),
    /// A configuration that can't be read; the one in force stays.
    Unreadable(Unreadable),
    /// The store stopped answering.
    Lost(Error),
    /// The store answers again.
    Regained,
}
