//! Deduplicates reports of unreadable entries, so that each change of one is reported once.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Unreadable;

/// Last reported revision of each unreadable key in one listing.
#[derive(Debug, Default)]
pub struct Reported {
    revisions: BTreeMap<Arc<str>, u64>,
}

impl Reported {
    /// Takes all entries of a listing that are unreadable now and returns those to report. A stale read
    /// may return an earlier revision again, which is not reported.
    pub fn filter_new(&mut self, unreadable: Vec<Unreadable>) -> Vec<Unreadable> {
        let previous = std::mem::take(&mut self.revisions);
        let mut new = Vec::new();
        for one in unreadable {
            let reported_revision = previous.get(&one.key).copied();
            let revision = reported_revision.unwrap_or_default().max(one.revision);
            self.revisions.insert(Arc::clone(&one.key), revision);
            if reported_revision.is_none_or(|reported_revision| one.revision > reported_revision) {
                new.push(one);
            }
        }
        new
    }
}
