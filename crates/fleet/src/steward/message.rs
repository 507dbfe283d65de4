//! Settings of a steward, and the actions that it requests.

use coltsfootshunt_core::name::Host;

use crate::crash::Loss;
use crate::job::{Completion, Id, Reservation};
use crate::lease::{Call, Term};
use crate::report::Record;

/// Platform settings that apply to targets.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Limits on the duration of leases.
    pub term: Term,
    /// Factor on the run time of a task that runs outside its preferred rack; at least 1.
    pub remote_factor: f64,
}

/// Actions that the caller of a steward method must carry out.
#[derive(Debug, Default)]
pub struct Output {
    /// Calls to make to targets.
    pub calls: Vec<Call>,
    /// Shared tasks for which there are free slots, with the owners from which to request a grant.
    pub grant_requests: Vec<(Host, Reservation)>,
    /// Completions to report, with the owners of the tasks.
    pub completions: Vec<(Host, Completion)>,
    /// Jobs of which a cancelled attempt has ended, and whether it is certainly over.
    pub cancelled: Vec<(Id, bool)>,
    /// Runs that were lost with their targets.
    pub losses: Vec<Loss>,
    /// Records to log and count.
    pub records: Vec<Record>,
}
