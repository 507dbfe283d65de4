//! Targets that are leaving, by the platform's list, by peers and by their own word.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Target;
use serde::{Deserialize, Serialize};

/// Time for which a target's own word counts; afterwards it is asked again.
const WORD_LIFE: Duration = Duration::from_secs(10);

/// The platform's list of leaving hosts, as entries pass it on.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Departures {
    /// The platform's version of the list; a higher one replaces a lower one.
    pub version: u64,
    /// Leaving targets.
    pub targets: BTreeSet<Target>,
    #[serde(skip)]
    words: BTreeMap<Target, Instant>,
}

impl Departures {
    /// A list as the platform gives it.
    #[must_use]
    pub fn new(version: u64, targets: BTreeSet<Target>) -> Self {
        Self { version, targets, words: BTreeMap::new() }
    }

    /// Takes in a list; an older one changes nothing. Returns whether anything changed.
    pub fn replace_if_newer(&mut self, other: &Self) -> bool {
        if other.version <= self.version {
            return false;
        }
        self.version = other.version;
        self.targets.clone_from(&other.targets);
        true
    }

    /// A target refused a task because it is leaving.
    pub fn mark_leaving(&mut self, target: Target, now: Instant) {
        self.words.insert(target, now);
    }

    /// Drops words that are too old. Returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.words.len();
        self.words.retain(|_, at| now.duration_since(*at) < WORD_LIFE);
        before != self.words.len()
    }

    /// Whether this target is leaving.
    #[must_use]
    pub fn contains(&self, target: &Target) -> bool {
        self.targets.contains(target) || self.words.contains_key(target)
    }
}
