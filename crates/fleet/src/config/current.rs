//! The configuration in force.

use std::sync::Arc;

use super::Document;

/// The configuration in force: the one with the highest version seen.
#[derive(Debug, Default)]
pub struct Current {
    document: Option<Arc<Document>>,
}

impl Current {
    /// Returns the configuration in force; none before the first.
    #[must_use]
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// Returns the version in force; 0 before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.version)
    }

    /// Puts `document` in force if its version is higher, and returns whether it did.
    pub fn replace_if_newer(&mut self, document: Arc<Document>) -> bool {
        let is_newer = document.version > self.version();
        if is_newer {
            self.document = Some(document);
        }
        is_newer
    }
}
