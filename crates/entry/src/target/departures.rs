//! Targets that are leaving, as listed by the platform, passed on by peers or reported by the
//! targets themselves.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Target;
use serde::{Deserialize, Serialize};

/// Time for which a target's own report that it is leaving counts. After that the target is tried
/// again.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// Leaving targets: the platform's list, which entries pass on to each other, and the reports of
/// targets to this entry, which stay local.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Departures {
    /// The platform's version of the list. A higher version replaces a lower one.
    pub version: u64,
    /// Targets on the platform's list.
    pub targets: BTreeSet<Target>,
    #[serde(skip)]
    reported: BTreeMap<Target, Instant>,
}

impl Departures {
    /// Creates a list as the platform published it.
    #[must_use]
    pub fn new(version: u64, targets: BTreeSet<Target>) -> Self {
        Self { version, targets, reported: BTreeMap::new() }
    }

    /// Replaces the list if `other` has a higher version. Returns whether it did.
    pub fn replace_if_newer(&mut self, other: &Self) -> bool {
        if other.version <= self.version {
            return false;
        }
        self.version = other.version;
        self.targets.clone_from(&other.targets);
        true
    }

    /// Records that a target rejected a task because it is leaving.
    pub fn mark_leaving(&mut self, target: Target, now: Instant) {
        self.reported.insert(target, now);
    }

    /// Drops reports of targets that are too old. Returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.reported.len();
        self.reported.retain(|_, at| now.duration_since(*at) < REPORT_LIFETIME);
        before != self.reported.len()
    }

    /// Whether this target is leaving.
    #[must_use]
    pub fn contains(&self, target: &Target) -> bool {
        self.targets.contains(target) || self.reported.contains_key(target)
    }
}
