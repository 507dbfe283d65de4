//! Calls that the control state of one entry makes to another's.

use coltsfootshunt_core::config::Document;
use serde::{Deserialize, Serialize};

use crate::loan::{Grant, Recall, Request, Return};
use crate::member::Heartbeat;
use crate::submission::Chunk;

/// A call.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// Heartbeat.
    #[serde(rename = "beat")]
    Heartbeat(Box<Heartbeat>),
    /// Wish for slots.
    #[serde(rename = "want")]
    SlotRequest(Request),
    /// Slots for a wish that could not be met before.
    Grant(Grant),
    /// Slots that go back.
    Return(Return),
    /// Wish for lent slots that are idle.
    Recall(Recall),
    /// Wish for the configuration in force.
    Configuration,
    /// Records of an incarnation that stops.
    Inherit(Chunk),
}

/// What comes back.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    /// The other's heartbeat.
    #[serde(rename = "beat")]
    Heartbeat(Box<Heartbeat>),
    /// Slots, perhaps none.
    Grant(Grant),
    /// The configuration in force, if there is any.
    Configuration(Option<Box<Document>>),
    /// Taken.
    #[serde(rename = "taken")]
    Accepted,
}

impl Call {
    /// Name of this kind of call, for counts.
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
