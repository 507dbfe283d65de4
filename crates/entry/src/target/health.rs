//! Health of one target, judged against its peers, so that a bad kind condemns no target.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Kind;

/// Excess failures at which a target is ejected.
const EJECT_AT: f64 = 2.5;
/// Share of the excess that remains after each run.
const KEEP: f64 = 0.98;
/// Failure rate that counts as ordinary for any kind.
const ORDINARY: f64 = 0.05;
/// Time of the first ejection; each further one in a row doubles it.
const EJECT_FOR: Duration = Duration::from_secs(5);
/// Longest ejection.
const EJECT_AT_MOST: Duration = Duration::from_secs(60);
/// Runs of one kind after which its counts are halved.
const HALVE_AT: f64 = 200.0;

/// Whether a target gets work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// It gets work on at most this many slots; the number grows with success.
    Active {
        /// Slots.
        limit: u32,
    },
    /// It gets none until then.
    Ejected {
        /// When it is probed.
        until: Instant,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    runs: f64,
    failures: f64,
}

/// Runs and failures of each kind on all targets together.
#[derive(Debug, Default)]
pub struct Rates {
    kinds: BTreeMap<Kind, Count>,
}

/// Health of one target.
#[derive(Debug)]
pub struct Health {
    /// Whether it gets work.
    pub status: Status,
    excess: f64,
    ejections: u32,
    kinds: BTreeMap<Kind, Count>,
}

impl Rates {
    fn elsewhere(&self, kind: &Kind, here: Count) -> f64 {
        let all = self.kinds.get(kind).copied().unwrap_or_default();
        let runs = (all.runs - here.runs).max(0.0);
        let failures = (all.failures - here.failures).max(0.0);
        failures / (runs + 1.0)
    }

    fn note(&mut self, kind: &Kind, failed: bool) {
        self.kinds.entry(kind.clone()).or_default().note(failed);
    }
}

impl Count {
    fn note(&mut self, failed: bool) {
        self.runs += 1.0;
        if failed {
            self.failures += 1.0;
        }
        if self.runs > HALVE_AT {
            self.runs /= 2.0;
            self.failures /= 2.0;
        }
    }
}

impl Health {
    /// A target that has not been tried gets work on all its slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        let status = Status::Active { limit: slots };
        Self { status, excess: 0.0, ejections: 0, kinds: BTreeMap::new() }
    }

    /// Takes in one run. Returns whether the target should be ejected.
    pub fn note(&mut self, kind: &Kind, failed: bool, slots: u32, rates: &mut Rates) -> bool {
        let here = self.kinds.entry(kind.clone()).or_default();
        let elsewhere = rates.elsewhere(kind, *here);
        here.note(failed);
        rates.note(kind, failed);
        let failure = if failed { 1.0 } else { 0.0 };
        self.excess = (self.excess * KEEP + failure - elsewhere - ORDINARY).max(0.0);
        if failed {
            return self.excess >= EJECT_AT || self.on_probation(slots);
        }
        self.widen(slots);
        false
    }

    /// Closes the gate for a while.
    pub fn eject(&mut self, now: Instant) -> Instant {
        let doubled = EJECT_FOR * 2_u32.saturating_pow(self.ejections.min(8));
        let until = now + doubled.min(EJECT_AT_MOST);
        self.ejections += 1;
        self.status = Status::Ejected { until };
        until
    }

    /// Opens the gate for a probe once the time has come. Returns whether it did.
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

    /// The target has no room for more than `busy` tasks now; success widens the gate again.
    pub fn throttle(&mut self, busy: u32) {
        if let Status::Active { limit } = &mut self.status {
            *limit = busy.clamp(1, *limit);
        }
    }

    fn on_probation(&self, slots: u32) -> bool {
        self.ejections > 0 && matches!(self.status, Status::Active { limit } if limit < slots)
    }

    fn widen(&mut self, slots: u32) {
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
