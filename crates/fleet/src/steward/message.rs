//! What a steward wants done.

use coltsfootshunt_core::name::Host;

use crate::job::{Completion, Reservation};
use crate::lease::{Call, Term};
use crate::report::Record;

/// What the platform says of targets.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long leases of targets may last.
    pub term: Term,
    /// Factor on the run time of a task away from its data.
    pub remote_factor: f64,
}

/// What comes of a step of the steward.
#[derive(Debug, Default)]
pub struct Output {
    /// Calls to make.
    pub calls: Vec<Call>,
    /// Tasks that stand here and for which there are places, with their owners.
    pub bids: Vec<(Host, Reservation)>,
    /// Ends to tell the owners of tasks.
    pub completions: Vec<(Host, Completion)>,
    /// What to write down.
    pub notes: Vec<Record>,
}
