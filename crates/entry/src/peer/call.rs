//! Calls that the control state of one entry makes to another's.

use coltsfootshunt_core::config::Document;
use serde::{Deserialize, Serialize};

use crate::loan::{Grant, Recall, Request, Return};
use crate::member::Beat;
use crate::submission::Part;

/// A call.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// Heartbeat.
    Beat(Box<Beat>),
    /// Wish for slots.
    Want(Request),
    /// Slots for a wish that could not be met before.
    Grant(Grant),
    /// Slots that go back.
    Return(Return),
    /// Wish for lent slots that are idle.
    Recall(Recall),
    /// Wish for the configuration in force.
    Configuration,
    /// Records of an incarnation that stops.
    Inherit(Part),
}

/// What comes back.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    /// The other's heartbeat.
    Beat(Box<Beat>),
    /// Slots, perhaps none.
    Grant(Grant),
    /// The configuration in force, if there is any.
    Configuration(Option<Box<Document>>),
    /// Taken.
    Taken,
}

impl Call {
    /// Name of this kind of call, for counts.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Beat(_) => "beat",
            Self::Want(_) => "want",
            Self::Grant(_) => "grant",
            Self::Return(_) => "return",
            Self::Recall(_) => "recall",
            Self::Configuration => "configuration",
            Self::Inherit(_) => "inherit",
        }
    }
}
