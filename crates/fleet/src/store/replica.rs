//! Copy of the targets' entries, kept by changes.
//!
//! Load pattern: 90 targets or more, each of which rewrites its entry every second, and a steward on a link of 250
//! kB/s. A read of all entries takes its link for 160 ms, and messages on jobs wait behind it.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Changes, Content, Listing, Row, Unreadable};
use crate::directory::Entry;

/// The latest row of each key.
#[derive(Debug, Default)]
pub struct Replica {
    rows: BTreeMap<Arc<str>, (u64, Content<Entry>)>,
    revision: u64,
}

impl Replica {
    /// Applies changes. A row that is older than the one of its key is ignored: the pages of a read may be newer
    /// than the revision from which the changes continue.
    pub fn apply(&mut self, changes: Changes<Entry>) {
        for Row { key, revision, content } in changes.rows {
            if self.rows.get(&key).is_some_and(|(known, _)| revision < *known) {
                continue;
            }
            if content == Content::Removed {
                self.rows.remove(&key);
            } else {
                self.rows.insert(key, (revision, content));
            }
        }
        self.revision = self.revision.max(changes.revision);
    }

    /// Revision of the store from which changes continue; 0 if it is not known.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All entries.
    #[must_use]
    pub fn listing(&self) -> Listing<Entry> {
        self.rows.iter().map(|(key, (revision, content))| (key, *revision, content)).collect()
    }
}

impl<'a> FromIterator<(&'a Arc<str>, u64, &'a Content<Entry>)> for Listing<Entry> {
    fn from_iter<I: IntoIterator<Item = (&'a Arc<str>, u64, &'a Content<Entry>)>>(rows: I) -> Self {
        let mut listing = Self::from(Vec::new());
        for (key, revision, content) in rows {
            match content {
                Content::Entry(entry) => listing.entries.push(entry.clone()),
                Content::Unreadable(reason) => listing.unreadable.push(Unreadable {
                    key: Arc::clone(key),
                    revision,
                    reason: Arc::clone(reason),
                }),
                Content::Removed => {}
            }
        }
        listing
    }
}

impl From<Changes<Entry>> for Listing<Entry> {
    fn from(changes: Changes<Entry>) -> Self {
        changes.rows.iter().map(|row| (&row.key, row.revision, &row.content)).collect()
    }
}
