//! Health of one target, compared with the other targets per kind, so that a kind that fails
//! everywhere does not get targets ejected.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Kind;

/// Number of failures in excess of the expected number at which a target is ejected.
const EJECTION_THRESHOLD: f64 = 2.5;
/// Factor by which the excess of failures decays at each run.
const EXCESS_DECAY: f64 = 0.98;
/// Failure rate that is tolerated for any kind.
const TOLERATED_FAILURE_RATE: f64 = 0.05;
/// Duration of the first ejection. Each further ejection in a row doubles it.
const FIRST_EJECTION: Duration = Duration::from_secs(5);
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);
/// Runs of one kind above which its counts are halved, so that old runs lose weight.
const MAX_COUNTED_RUNS: f64 = 200.0;

/// Whether a target gets tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// The target gets tasks on a limited number of slots.
    Active {
        /// Most slots in use at once. It doubles with each success, up to all slots.
        limit: u32,
    },
    /// The target gets no tasks for a while.
    Ejected {
        /// When the target is probed.
        until: Instant,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    runs: f64,
    failures: f64,
}

/// Runs and failures of each kind, summed over all targets.
#[derive(Debug, Default)]
pub struct Rates {
    kinds: BTreeMap<Kind, Count>,
}

/// Health of one target.
#[derive(Debug)]
pub struct Health {
    /// Whether the target gets tasks.
    pub status: Status,
    excess: f64,
    ejections: u32,
    kinds: BTreeMap<Kind, Count>,
}

impl Rates {
    /// Failure rate of a kind on all other targets. `here` are the counts of this target.
    fn elsewhere(&self, kind: &Kind, here: Count) -> f64 {
        let all = self.kinds.get(kind).copied().unwrap_or_default();
        let runs = (all.runs - here.runs).max(0.0);
        let failures = (all.failures - here.failures).max(0.0);
        failures / (runs + 1.0)
    }

    fn record(&mut self, kind: &Kind, failed: bool) {
        self.kinds.entry(kind.clone()).or_default().record(failed);
    }
}

impl Count {
    fn record(&mut self, failed: bool) {
        self.runs += 1.0;
        if failed {
            self.failures += 1.0;
        }
        if self.runs > MAX_COUNTED_RUNS {
            self.runs /= 2.0;
            self.failures /= 2.0;
        }
    }
}

impl Health {
    /// Health of an untried target, which gets tasks on all its slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        let status = Status::Active { limit: slots };
        Self { status, excess: 0.0, ejections: 0, kinds: BTreeMap::new() }
    }

    /// Records the result of one run. Returns whether the target should be ejected.
    pub fn record(&mut self, kind: &Kind, failed: bool, slots: u32, rates: &mut Rates) -> bool {
        let here = self.kinds.entry(kind.clone()).or_default();
        let elsewhere = rates.elsewhere(kind, *here);
        here.record(failed);
        rates.record(kind, failed);
        let failure = if failed { 1.0 } else { 0.0 };
        self.excess =
            (self.excess * EXCESS_DECAY + failure - elsewhere - TOLERATED_FAILURE_RATE).max(0.0);
        if failed {
            return self.excess >= EJECTION_THRESHOLD || self.is_on_probation(slots);
        }
        self.raise_limit(slots);
        false
    }

    /// Ejects the target. Returns when the ejection ends.
    pub fn eject(&mut self, now: Instant) -> Instant {
        let doubled = FIRST_EJECTION * 2_u32.saturating_pow(self.ejections.min(8));
        let until = now + doubled.min(MAX_EJECTION);
        self.ejections += 1;
        self.status = Status::Ejected { until };
        until
    }

    /// Allows one task as a probe once the ejection is over. Returns whether it did.
    pub fn probe(&mut self, now: Instant) -> bool {
        match self.status {
            Status::Ejected { until } if until <= now => {
                self.excess = 0.0;
                self.status = Status::Active { limit: 1 };
                true
            }
            _ => false,
        }
    }

    /// Lowers the limit after a target with `busy` tasks rejected another one as busy. Successes
    /// raise it again.
    pub fn throttle(&mut self, busy: u32) {
        if let Status::Active { limit } = &mut self.status {
            *limit = busy.clamp(1, *limit);
        }
    }

    /// Whether the target was ejected and does not have all its slots back yet.
    fn is_on_probation(&self, slots: u32) -> bool {
        self.ejections > 0 && matches!(self.status, Status::Active { limit } if limit < slots)
    }

    fn raise_limit(&mut self, slots: u32) {
        let Status::Active { limit } = self.status else {
            return;
        };
        if limit >= slots {
            self.ejections = 0;
            return;
        }
        self.status = Status::Active { limit: (limit * 2).min(slots) };
    }
}
