//! Messages about loans between entries.

use coltsfootshunt_core::config::Resources;
use coltsfootshunt_core::name::Kind;
use coltsfootshunt_core::submission::Incarnation;
use serde::{Deserialize, Serialize};

use crate::target::LentSlots;

/// Request of an entry that has more work than slots.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Request {
    /// The entry that wants to borrow.
    pub borrower: Incarnation,
    /// Resources that a target must have.
    pub needs: Resources,
    /// Number of slots wanted.
    pub slots: u32,
}

/// Slots that a steward lends, perhaps none.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Grant {
    /// The steward that lends the slots.
    pub lender: Incarnation,
    /// The slots lent, by target.
    #[serde(rename = "offers")]
    pub slots: Vec<LentSlots>,
    /// Time within which tasks may start on these slots, in milliseconds.
    pub term_ms: u64,
    /// Free slots that the lender could still lend.
    pub idle: u32,
}

/// Borrowed slots that go back to the lender, with the results of the runs on them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Return {
    /// The entry that returns the slots.
    pub borrower: Incarnation,
    /// The slots returned, by target.
    #[serde(rename = "offers")]
    pub slots: Vec<LentSlots>,
    /// Outcomes of runs on slots of this lender since the last return.
    #[serde(rename = "usage")]
    pub results: Vec<Outcome>,
    /// Free slots that the borrower could lend itself.
    pub idle: u32,
}

/// Request of a lender that needs its slots: the borrower returns idle ones at once.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Recall {
    /// The steward that lent the slots.
    pub lender: Incarnation,
}

/// Outcome of one run on a borrowed slot. The steward of the target updates its health from it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outcome {
    /// Name of the target.
    pub target: coltsfootshunt_core::name::Target,
    /// Kind of the task.
    pub kind: Kind,
    /// Whether the run failed.
    pub failed: bool,
    /// Whether the target rejected the task because it is leaving.
    pub leaving: bool,
}
