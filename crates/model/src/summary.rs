//! Figures over several seeds, as a table.

use std::time::Duration;

use crate::load::{KINDS, LONG};
use crate::report::{Report, Served};

/// Reports of one policy on loads of one pattern.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    reports: Vec<Report>,
}

impl FromIterator<Report> for Summary {
    fn from_iter<T: IntoIterator<Item = Report>>(reports: T) -> Self {
        Self { reports: reports.into_iter().collect() }
    }
}

impl Summary {
    /// Mean of a figure.
    pub fn mean(&self, figure: impl Fn(&Report) -> f64) -> f64 {
        self.reports.iter().map(figure).sum::<f64>() / self.reports.len().max(1) as f64
    }

    /// Loads on which the largest jobs of a kind were served less than half as often as the kind.
    #[must_use]
    pub fn short(&self) -> usize {
        let is_short = |report: &&Report| report.served.iter().any(Served::is_short);
        self.reports.iter().filter(is_short).count()
    }

    /// Heads of the columns of [`Self::row`].
    #[must_use]
    pub fn head() -> String {
        let kinds: String = KINDS.iter().map(|kind| format!("{:>8}", kind.name)).collect();
        let (on_time, largest, within) = ("on time", "largest", "in reach");
        let refusals = format!("{:>9}{:>9}{:>12}", "refused", "given up", "heard in ms");
        format!(
            "{on_time:>8}{kinds}{largest:>9}{within:>9}{:>9}{:>7}{refusals}",
            "of long", "short"
        )
    }

    /// The figures as one row.
    #[must_use]
    pub fn row(&self) -> String {
        let kinds = (0..KINDS.len()).map(|kind| self.mean(|report| report.by_kind[kind]));
        let kinds: String = kinds.map(|share| format!("{share:>8.3}")).collect();
        let heard: Duration = self.reports.iter().map(|report| report.refused_after).sum();
        let heard = heard.as_millis() / self.reports.len().max(1) as u128;
        format!(
            "{:>8.3}{kinds}{:>9.3}{:>9.3}{:>9.3}{:>7}{:>9.3}{:>9.3}{heard:>12}",
            self.mean(|report| report.on_time),
            self.mean(|report| report.served[LONG].largest),
            self.mean(|report| report.served[LONG].reachable),
            self.mean(|report| report.served[LONG].all),
            self.short(),
            self.mean(|report| report.refused),
            self.mean(|report| report.given_up),
        )
    }
}
