//! Profiles of all kinds, and which of them are long.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootshunt_core::config::KindConfig;
use coltsfootshunt_core::name::Kind;

use super::Histogram;

/// A kind is long if its mean run time is this many times the median over tasks.
const LONG_FACTOR: u32 = 5;
/// Runs after which all counts of the mix are halved.
const MIX_HALVE_AT: f64 = 5_000.0;

/// What is known about each kind.
#[derive(Debug, Default)]
pub struct Catalog {
    kinds: BTreeMap<Kind, Entry>,
    typical: Duration,
    runs: f64,
}

/// A kind in short.
#[derive(Clone, Copy, Debug)]
pub struct Summary<'a> {
    /// The kind.
    pub kind: &'a Kind,
    /// Mean run time.
    pub mean: Duration,
    /// Run time that nine in ten runs stay under.
    pub p90: Duration,
    /// Whether it counts as long.
    pub is_long: bool,
}

#[derive(Debug)]
struct Entry {
    config: KindConfig,
    profile: Histogram,
    runs: f64,
    is_long: bool,
}

impl Catalog {
    /// Takes the kinds of a new configuration; what was learned stays.
    pub fn configure(&mut self, configs: &[KindConfig]) {
        let mut kinds = BTreeMap::new();
        for config in configs {
            let known = self.kinds.remove(&config.name);
            let entry = match known {
                Some(entry) => Entry { config: config.clone(), ..entry },
                None => Entry {
                    config: config.clone(),
                    profile: Histogram::new(config.expected),
                    runs: 0.0,
                    is_long: false,
                },
            };
            kinds.insert(config.name.clone(), entry);
        }
        self.kinds = kinds;
    }

    /// The configuration of a kind.
    #[must_use]
    pub fn config(&self, kind: &Kind) -> Option<&KindConfig> {
        self.kinds.get(kind).map(|entry| &entry.config)
    }

    /// What was learned about a kind.
    #[must_use]
    pub fn run_times(&self, kind: &Kind) -> Option<&Histogram> {
        self.kinds.get(kind).map(|entry| &entry.profile)
    }

    /// Takes in the time of one run.
    pub fn record(&mut self, kind: &Kind, time: Duration) {
        let Some(entry) = self.kinds.get_mut(kind) else {
            return;
        };
        entry.profile.record(time);
        entry.runs += 1.0;
        self.runs += 1.0;
        if self.runs > MIX_HALVE_AT {
            self.halve();
        }
        self.classify();
    }

    /// Whether tasks of this kind hold a slot much longer than the usual task.
    #[must_use]
    pub fn is_long(&self, kind: &Kind) -> bool {
        self.kinds.get(kind).is_some_and(|entry| entry.is_long)
    }

    /// What is known about each kind, in short.
    pub fn iter(&self) -> impl Iterator<Item = Summary<'_>> {
        const HIGH: f64 = 0.9;
        self.kinds.iter().map(|(kind, entry)| Summary {
            kind,
            mean: entry.profile.mean(),
            p90: entry.profile.quantile(HIGH),
            is_long: entry.is_long,
        })
    }

    fn halve(&mut self) {
        self.runs /= 2.0;
        for entry in self.kinds.values_mut() {
            entry.runs /= 2.0;
        }
    }

    fn classify(&mut self) {
        self.typical = self.median_mean();
        for entry in self.kinds.values_mut() {
            entry.is_long = entry.profile.mean() > self.typical * LONG_FACTOR;
        }
    }

    /// Median over tasks of their kind's mean run time.
    fn median_mean(&self) -> Duration {
        let mut means: Vec<_> = self.kinds.values().map(|e| (e.profile.mean(), e.runs)).collect();
        means.sort_by_key(|(mean, _)| *mean);
        let mut seen = 0.0;
        for (mean, runs) in &means {
            seen += runs;
            if seen * 2.0 >= self.runs {
                return *mean;
            }
        }
        Duration::ZERO
    }
}
