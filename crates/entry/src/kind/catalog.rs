//! Configuration and learned run times of each kind, and the classification of kinds as long.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootshunt_core::config::KindConfig;
use coltsfootshunt_core::name::Kind;

use super::Histogram;

/// A kind is long if its mean run time exceeds the median over tasks by this factor.
const LONG_FACTOR: u32 = 5;
/// Runs above which the run counts of all kinds are halved, so that the median follows a change in
/// the mix of kinds.
const MAX_COUNTED_RUNS: f64 = 5_000.0;

/// All configured kinds with their learned run times.
#[derive(Debug, Default)]
pub struct Catalog {
    kinds: BTreeMap<Kind, Entry>,
    median: Duration,
    runs: f64,
}

/// Learned run times of one kind, summarised for the state dump.
#[derive(Clone, Copy, Debug)]
pub struct Summary<'a> {
    /// Name of the kind.
    pub kind: &'a Kind,
    /// Mean run time.
    pub mean: Duration,
    /// 90th percentile of the run times.
    pub p90: Duration,
    /// Whether the kind counts as long.
    pub is_long: bool,
}

#[derive(Debug)]
struct Entry {
    config: KindConfig,
    run_times: Histogram,
    runs: f64,
    is_long: bool,
}

impl Catalog {
    /// Applies the kinds of a new configuration. Kinds that stay keep their learned run times.
    pub fn configure(&mut self, configs: &[KindConfig]) {
        let mut kinds = BTreeMap::new();
        for config in configs {
            let known = self.kinds.remove(&config.name);
            let entry = match known {
                Some(entry) => Entry { config: config.clone(), ..entry },
                None => Entry {
                    config: config.clone(),
                    run_times: Histogram::new(config.expected),
                    runs: 0.0,
                    is_long: false,
                },
            };
            kinds.insert(config.name.clone(), entry);
        }
        self.kinds = kinds;
    }

    /// The configuration of a kind; none if the kind is unknown.
    #[must_use]
    pub fn config(&self, kind: &Kind) -> Option<&KindConfig> {
        self.kinds.get(kind).map(|entry| &entry.config)
    }

    /// The learned run times of a kind; none if the kind is unknown.
    #[must_use]
    pub fn run_times(&self, kind: &Kind) -> Option<&Histogram> {
        self.kinds.get(kind).map(|entry| &entry.run_times)
    }

    /// Records the time of one run and classifies all kinds again.
    pub fn record(&mut self, kind: &Kind, time: Duration) {
        let Some(entry) = self.kinds.get_mut(kind) else {
            return;
        };
        entry.run_times.record(time);
        entry.runs += 1.0;
        self.runs += 1.0;
        if self.runs > MAX_COUNTED_RUNS {
            self.halve();
        }
        self.classify();
    }

    /// Whether tasks of this kind run much longer than the median task.
    #[must_use]
    pub fn is_long(&self, kind: &Kind) -> bool {
        self.kinds.get(kind).is_some_and(|entry| entry.is_long)
    }

    /// Summaries of all kinds.
    pub fn iter(&self) -> impl Iterator<Item = Summary<'_>> {
        const P90: f64 = 0.9;
        self.kinds.iter().map(|(kind, entry)| Summary {
            kind,
            mean: entry.run_times.mean(),
            p90: entry.run_times.quantile(P90),
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
        self.median = self.median_mean();
        for entry in self.kinds.values_mut() {
            entry.is_long = entry.run_times.mean() > self.median * LONG_FACTOR;
        }
    }

    /// Median over recent tasks, each with the mean run time of its kind.
    fn median_mean(&self) -> Duration {
        let mut means: Vec<_> = self.kinds.values().map(|e| (e.run_times.mean(), e.runs)).collect();
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
