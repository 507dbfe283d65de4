//! The configuration in force, and requests for newer ones.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::config::{Document, Revision};

/// Time after which the same revision is requested again, in case the response was lost.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// The configuration in force: the one with the highest revision received so far.
#[derive(Debug, Default)]
pub struct Current {
    document: Option<Arc<Document>>,
    last_request: Option<LastRequest>,
}

#[derive(Clone, Copy, Debug)]
struct LastRequest {
    revision: Revision,
    sent_at: Instant,
}

impl Current {
    /// Puts `document` in force if its revision is higher, and returns whether it did.
    pub fn replace_if_newer(&mut self, document: Document) -> bool {
        if document.version.revision <= self.revision() {
            return false;
        }
        self.document = Some(Arc::new(document));
        self.last_request = None;
        true
    }

    /// Returns the revision in force; 0 before the first.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.document.as_ref().map(|document| document.version.revision).unwrap_or_default()
    }

    /// Returns the configuration in force; `None` before the first.
    #[must_use]
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// Returns whether to request `revision` from a peer that has it in force, and records the
    /// request if so.
    pub fn should_request(&mut self, revision: Revision, now: Instant) -> bool {
        if revision <= self.revision() {
            return false;
        }
        let is_pending = self.last_request.is_some_and(|request| {
            request.revision >= revision && now.duration_since(request.sent_at) < REQUEST_INTERVAL
        });
        if is_pending {
            return false;
        }
        self.last_request = Some(LastRequest { revision, sent_at: now });
        true
    }
}
