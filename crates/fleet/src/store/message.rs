//! The interface of the store, and the updates read from it.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use derive_more::Display;

use crate::config::Document;
use crate::directory::Entry;
use crate::evacuation::Reading;
use crate::member::Identity;

/// Error of a call to the store.
#[derive(Clone, Copy, Debug, Display, derive_more::Error, Eq, PartialEq)]
pub enum Error {
    /// The store did not respond in time or could not be reached.
    #[display("unreachable")]
    Unreachable,
    /// The store rejected the call or throttles this host.
    #[display("turned_away")]
    Rejected,
    /// The response could not be decoded.
    #[display("unreadable")]
    Unreadable,
}

/// A value in the store that can't be decoded. It is ignored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Unreadable {
    /// Key of the value.
    pub key: Arc<str>,
    /// Revision of the store at which the value last changed.
    pub revision: u64,
    /// Description of the error.
    pub reason: Arc<str>,
}

/// A complete listing of one kind of entry.
#[derive(Clone, Debug)]
pub struct Listing<T> {
    /// Decoded entries.
    pub entries: Vec<T>,
    /// Entries that can't be decoded.
    pub unreadable: Vec<Unreadable>,
    /// Whether it may be seconds old.
    pub is_stale: bool,
}

impl<T> From<Vec<T>> for Listing<T> {
    fn from(entries: Vec<T>) -> Self {
        Self { entries, unreadable: Vec::new(), is_stale: false }
    }
}

/// What a key holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Content<T> {
    /// A decoded entry.
    Entry(T),
    /// An entry that can't be decoded, and why.
    Unreadable(Arc<str>),
    /// Nothing: the key was removed.
    Removed,
}

/// A key with what it holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row<T> {
    /// The key.
    pub key: Arc<str>,
    /// Revision of the store at which it last changed.
    pub revision: u64,
    /// What it holds.
    pub content: Content<T>,
}

/// Rows of one kind of entry: all of them, or those that have changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes<T> {
    /// The rows, oldest first.
    pub rows: Vec<Row<T>>,
    /// Revision of the store from which further changes continue; 0 if it is not known.
    pub revision: u64,
}

/// Result of watching the configuration.
#[derive(Clone, Debug, Default)]
pub struct Change {
    /// Newest configuration that could be decoded; none if it did not change.
    pub document: Option<Arc<Document>>,
    /// Newest configuration, if it could not be decoded.
    pub unreadable: Option<Unreadable>,
    /// Revision of the store from which to continue; 0 if there is no configuration yet.
    pub revision: u64,
    /// Evacuated zones, or what has changed of them; none where zones can't be evacuated.
    pub evacuations: Option<Reading>,
}

/// Client of the platform's store.
#[async_trait]
pub trait Store: Send + Sync {
    /// Waits up to `max_wait` for a change of the configuration, or of the evacuated zones, after the store revision
    /// `known`. Reads them without a wait if that is 0.
    async fn watch_config(&self, known: u64, max_wait: Duration) -> Result<Change, Error>;

    /// Reads all targets. With `stale`, the result may be seconds old.
    async fn read_targets(&self, stale: bool) -> Result<Changes<Entry>, Error>;

    /// Waits up to `max_wait` for changes of targets after the store revision `known`. `None` if the store has
    /// discarded that part of its history.
    async fn watch_targets(
        &self,
        known: u64,
        max_wait: Duration,
    ) -> Result<Option<Changes<Entry>>, Error>;

    /// Lists all targets. With `stale`, the result may be seconds old.
    async fn list_targets(&self, stale: bool) -> Result<Listing<Entry>, Error> {
        self.read_targets(stale).await.map(Listing::from)
    }

    /// Lists all registered hosts.
    async fn list_hosts(&self) -> Result<Listing<Identity>, Error>;

    /// Registers this host.
    async fn register(&self, identity: &Identity) -> Result<(), Error>;
}

/// An update that the store agent reports to the control thread.
#[derive(Clone, Debug)]
pub enum Update {
    /// A new configuration.
    Document(Arc<Document>),
    /// Evacuated zones, or what has changed of them.
    Evacuations(Reading),
    /// A complete listing of the targets.
    Targets(Listing<Entry>),
    /// A complete listing of the registered hosts.
    Hosts(Listing<Identity>),
    /// A configuration that can't be decoded; the one in force stays.
    Unreadable(Unreadable),
    /// The store stopped responding.
    Lost(Error),
    /// The store responds again.
    Regained,
}
