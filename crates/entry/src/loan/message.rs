//! Messages of this slice.

use coltsfootshunt_core::config::Resources;
use coltsfootshunt_core::name::Kind;
use coltsfootshunt_core::submission::Incarnation;
use serde::{Deserialize, Serialize};

use crate::target::LentSlots;

/// An entry has more work than slots.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Request {
    /// Who asks.
    pub borrower: Incarnation,
    /// What a target must have.
    pub needs: Resources,
    /// Number of slots.
    pub slots: u32,
}

/// Slots for a while.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Grant {
    /// Who lends.
    pub lender: Incarnation,
    /// The slots.
    #[serde(rename = "offers")]
    pub slots: Vec<LentSlots>,
    /// Time within which tasks may start on them, in milliseconds.
    pub term_ms: u64,
    /// Slots that the lender still has free.
    pub idle: u32,
}

/// Slots that go back, with what was seen of their targets.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Return {
    /// Who gives back.
    pub borrower: Incarnation,
    /// The slots.
    #[serde(rename = "offers")]
    pub slots: Vec<LentSlots>,
    /// What was seen.
    #[serde(rename = "usage")]
    pub results: Vec<Outcome>,
    /// Slots of its own that the borrower has free.
    pub idle: u32,
}

/// The lender has use for its slots; idle ones go back at once.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Recall {
    /// Who lends.
    pub lender: Incarnation,
}

/// One run on a borrowed slot, as far as the steward has to know of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outcome {
    /// The target.
    pub target: coltsfootshunt_core::name::Target,
    /// The kind of task.
    pub kind: Kind,
    /// Whether it failed.
    pub failed: bool,
    /// Whether the target said that it is leaving.
    pub leaving: bool,
}
