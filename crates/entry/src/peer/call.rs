//! Calls from the control state of one entry to that of another.

use coltsfootshunt_core::config::Document;
use serde::{Deserialize, Serialize};

use crate::loan::{Grant, Recall, Request, Return};
use crate::member::Heartbeat;
use crate::submission::Chunk;

/// Call to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// Heartbeat of the calling entry.
    #[serde(rename = "beat")]
    Heartbeat(Box<Heartbeat>),
    /// Request to borrow slots.
    #[serde(rename = "want")]
    SlotRequest(Request),
    /// Slots for an earlier request that could not be granted at once.
    Grant(Grant),
    /// Borrowed slots that are given back.
    Return(Return),
    /// Request to give idle borrowed slots back.
    Recall(Recall),
    /// Request for the configuration in force.
    Configuration,
    /// Chunk of the records of an incarnation that shuts down, for its successor.
    Inherit(Chunk),
}

/// Response to a [`Call`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    /// Heartbeat of the called entry.
    #[serde(rename = "beat")]
    Heartbeat(Box<Heartbeat>),
    /// Granted slots, possibly none.
    Grant(Grant),
    /// Configuration in force; `None` if the entry has none yet.
    Configuration(Option<Box<Document>>),
    /// The call was processed and has no result.
    #[serde(rename = "taken")]
    Accepted,
}

impl Call {
    /// Name of this kind of call, used as a metric label.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "beat",
            Self::SlotRequest(_) => "want",
            Self::Grant(_) => "grant",
            Self::Return(_) => "return",
            Self::Recall(_) => "recall",
            Self::Configuration => "configuration",
            Self::Inherit(_) => "inherit",
        }
    }
}
