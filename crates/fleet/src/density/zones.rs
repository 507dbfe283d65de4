//! The zones that are dense.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Zone;

/// Targets per core of a steward's host above which a zone is dense. A steward takes a whole core at about 250
/// targets under load.
pub const MAX_TARGETS_PER_CORE: usize = 200;
/// Time for which a zone must have seemed dense. A host that has just started knows neither all targets nor the
/// hosts with the largest share of the processor.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// The zones that are dense, by what this host knows. Other hosts may see it differently for a while.
#[derive(Debug, Default)]
pub struct Zones {
    /// Zones with too many targets, and since when.
    crowded_since: BTreeMap<Zone, Instant>,
    dense: BTreeSet<Zone>,
}

impl Zones {
    /// Updates the zones from the targets of each and the largest share of the processor of a known host, in
    /// thousandths of a core.
    pub fn update(&mut self, targets: &BTreeMap<Zone, usize>, max_cpu_millis: u32, now: Instant) {
        let limit = MAX_TARGETS_PER_CORE * max_cpu_millis as usize;
        self.crowded_since
            .retain(|zone, _| targets.get(zone).is_some_and(|count| count * 1_000 > limit));
        let crowded = targets.iter().filter(|(_, count)| **count * 1_000 > limit);
        for (zone, _) in crowded {
            let since = *self.crowded_since.entry(zone.clone()).or_insert(now);
            if now.duration_since(since) >= SETTLING_TIME {
                self.dense.insert(zone.clone());
            }
        }
        self.dense.retain(|zone| self.crowded_since.contains_key(zone));
    }

    /// Whether a zone is dense.
    #[must_use]
    pub fn contains(&self, zone: &Zone) -> bool {
        self.dense.contains(zone)
    }

    /// Whether no zone is dense.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.dense.is_empty()
    }
}
