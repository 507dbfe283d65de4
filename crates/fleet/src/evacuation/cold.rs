//! Limit of starts on cold targets, which are slow after their start or after an evacuation.
//!
//! A cold target has all its room free, so that an order by free room alone sends it most of the work just while
//! it is slow.

use std::collections::BTreeMap;

use coltsfootshunt_core::name::{Service, Target};

use crate::directory::Entry;

/// Limit of the starts on a target since it became cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Multiple of the mean number of starts of the warm targets in the same time.
    pub overage: f64,
    /// Starts beyond that.
    pub slack: f64,
}

/// Starts on a cold target.
#[derive(Clone, Copy, Debug)]
struct Cold {
    /// Mean number of starts of warm targets at the time at which the target became cold.
    mean_before: f64,
    /// Starts of the target since then.
    starts: u32,
}

/// Targets of a service.
#[derive(Clone, Copy, Debug, Default)]
struct Warm {
    /// Number of warm targets.
    targets: usize,
    /// Starts of a warm target on average, since the service is known. A start counts as the reciprocal of the
    /// number of targets that are warm at its time.
    mean_starts: f64,
}

/// Starts on the targets of a steward.
#[derive(Debug)]
pub struct Starts {
    limit: Limit,
    services: BTreeMap<Service, Warm>,
    cold: BTreeMap<Target, Cold>,
}

impl Starts {
    /// Creates the counts of a steward without targets.
    #[must_use]
    pub fn new(limit: Limit) -> Self {
        Self { limit, services: BTreeMap::new(), cold: BTreeMap::new() }
    }

    /// Updates which targets are cold and which are warm, from the entries of those that may get tasks.
    pub fn update<'a>(&mut self, entries: impl Iterator<Item = &'a Entry> + Clone) {
        self.services.values_mut().for_each(|service| service.targets = 0);
        for entry in entries.clone() {
            let service = self.services.entry(entry.service.clone()).or_default();
            service.targets += usize::from(!entry.is_cold);
            let mean_before = service.mean_starts;
            if entry.is_cold {
                let cold = Cold { mean_before, starts: 0 };
                self.cold.entry(entry.name.clone()).or_insert(cold);
            }
        }
        let is_cold: Vec<&Target> =
            entries.filter(|entry| entry.is_cold).map(|entry| &entry.name).collect();
        self.cold.retain(|name, _| is_cold.contains(&name));
    }

    /// Counts a start on a target.
    pub fn record(&mut self, entry: &Entry) {
        if let Some(cold) = self.cold.get_mut(&entry.name) {
            cold.starts = cold.starts.saturating_add(1);
        } else if let Some(service) = self.services.get_mut(&entry.service) {
            service.mean_starts += 1.0 / service.targets.max(1) as f64;
        }
    }

    /// Whether one more task may start on a target.
    #[must_use]
    pub fn allows(&self, entry: &Entry) -> bool {
        let Some(cold) = self.cold.get(&entry.name) else {
            return true;
        };
        let service = self.services.get(&entry.service).copied().unwrap_or_default();
        let mean = service.mean_starts - cold.mean_before;
        let limit = self.limit.overage * mean + self.limit.slack;
        service.targets == 0 || f64::from(cold.starts) + 1.0 <= limit
    }
}
