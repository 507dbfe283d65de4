//! The account as a table.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use super::{Account, Fate};

/// Jobs by kind and size, and by what became of them.
#[derive(Debug)]
pub struct Table {
    rows: BTreeMap<(String, String), BTreeMap<Fate, usize>>,
}

impl Table {
    /// Counts an account.
    #[must_use]
    pub fn new(account: &Account) -> Self {
        let mut rows: BTreeMap<_, BTreeMap<Fate, usize>> = BTreeMap::new();
        for (_, story) in account.stories() {
            let row = rows.entry((story.kind.clone(), story.size.clone())).or_default();
            *row.entry(story.fate()).or_default() += 1;
        }
        Self { rows }
    }
}

impl Display for Table {
    fn fmt(&self, to: &mut Formatter<'_>) -> fmt::Result {
        for ((kind, size), fates) in &self.rows {
            let all: usize = fates.values().sum();
            let served = fates.get(&Fate::Served).copied().unwrap_or_default();
            let reach = all - fates.get(&Fate::Hopeless).copied().unwrap_or_default();
            let share = |of: usize| served as f64 / of.max(1) as f64;
            let (share, within) = (share(all), share(reach));
            write!(to, "{kind} {size}: {all} jobs, {served} served ({share:.3}), ")?;
            writeln!(to, "{within:.3} of the {reach} within reach")?;
            for (fate, count) in fates.iter().filter(|(fate, _)| **fate != Fate::Served) {
                writeln!(to, "{count:>8} {fate}")?;
            }
        }
        Ok(())
    }
}
