//! Outcomes of jobs as a table.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use super::{Histories, Outcome};

/// Number of jobs by kind, size and outcome.
#[derive(Debug)]
pub struct Table {
    rows: BTreeMap<(String, String), BTreeMap<Outcome, usize>>,
}

impl Table {
    /// Counts the outcomes of all jobs.
    #[must_use]
    pub fn new(histories: &Histories) -> Self {
        let mut rows: BTreeMap<_, BTreeMap<Outcome, usize>> = BTreeMap::new();
        for (_, history) in histories.iter() {
            let row = rows.entry((history.kind.clone(), history.size.clone())).or_default();
            *row.entry(history.outcome()).or_default() += 1;
        }
        Self { rows }
    }
}

impl Display for Table {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for ((kind, size), outcomes) in &self.rows {
            let all: usize = outcomes.values().sum();
            let served = outcomes.get(&Outcome::Served).copied().unwrap_or_default();
            let feasible = all - outcomes.get(&Outcome::Infeasible).copied().unwrap_or_default();
            let share = |total: usize| served as f64 / total.max(1) as f64;
            let (share, feasible_share) = (share(all), share(feasible));
            write!(f, "{kind} {size}: {all} jobs, {served} served ({share:.3}), ")?;
            writeln!(f, "{feasible_share:.3} of the {feasible} within reach")?;
            for (outcome, count) in
                outcomes.iter().filter(|(outcome, _)| **outcome != Outcome::Served)
            {
                writeln!(f, "{count:>8} {outcome}")?;
            }
        }
        Ok(())
    }
}
