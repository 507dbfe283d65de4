//! The version in force.

use std::sync::Arc;

use super::Document;

/// Holds the highest version seen.
#[derive(Debug, Default)]
pub struct Current {
    document: Option<Arc<Document>>,
}

impl Current {
    /// The version in force.
    #[must_use]
    pub fn document(&self) -> Option<&Arc<Document>> {
        self.document.as_ref()
    }

    /// Number of the version in force; 0 before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.document.as_ref().map_or(0, |document| document.version)
    }

    /// Puts a document in force if it is newer; whether it did.
    pub fn replace_if_newer(&mut self, document: Arc<Document>) -> bool {
        let newer = document.version > self.version();
        if newer {
            self.document = Some(document);
        }
        newer
    }
}
