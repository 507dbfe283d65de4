//! What was said of things that can't be read, so that each change of one is told once.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Unreadable;

/// Last change told of each key, for one list.
#[derive(Debug, Default)]
pub struct Reported {
    revisions: BTreeMap<Arc<str>, u64>,
}

impl Reported {
    /// Takes all of a list that can't be read now; what is to be told of it.
    ///
    /// A stale read may bring an earlier change again.
    pub fn filter_new(&mut self, unreadable: Vec<Unreadable>) -> Vec<Unreadable> {
        let known = std::mem::take(&mut self.revisions);
        let mut news = Vec::new();
        for one in unreadable {
            let before = known.get(&one.key).copied();
            let revision = before.unwrap_or_default().max(one.revision);
            self.revisions.insert(Arc::clone(&one.key), revision);
            if before.is_none_or(|before| one.revision > before) {
                news.push(one);
            }
        }
        news
    }
}
