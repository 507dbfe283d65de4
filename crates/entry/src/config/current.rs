//! The configuration in force; only a higher revision replaces it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::config::{Document, Revision};

/// Time before a peer is asked again for the same revision.
const ASK_AGAIN: Duration = Duration::from_millis(500);

/// The configuration of this entry.
#[derive(Debug, Default)]
pub struct Current {
    document: Option<Arc<Document>>,
    asked: Option<Asked>,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    revision: Revision,
    at: Instant,
}

impl Current {
    /// Puts a document in force if its revision is higher. Returns whether it did.
    pub fn replace_if_newer(&mut self, document: Document) -> bool {
        if document.version.revision <= self.revision() {
            return false;
        }
        self.document = Some(Arc::new(document));
        self.asked = None;
        true
    }

    /// The revision in force; zero without any.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.document.as_ref().map(|document| document.version.revision).unwrap_or_default()
    }

    /// The document in force.
    #[must_use]
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// Whether to ask a peer that has `revision` in force for it now.
    pub fn should_request(&mut self, revision: Revision, now: Instant) -> bool {
        if revision <= self.revision() {
            return false;
        }
        let waits = self.asked.is_some_and(|asked| {
            asked.revision >= revision && now.duration_since(asked.at) < ASK_AGAIN
        });
        if waits {
            return false;
        }
        self.asked = Some(Asked { revision, at: now });
        true
    }
}
