//! Mean results over several seeds, as rows of a table.

use std::time::Duration;

use crate::load::{KINDS, LONG_KIND};
use crate::report::{CompletedShares, Report};

/// Reports of one policy on several loads of one pattern.
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
    /// Mean of a value over all reports; 0 without reports.
    pub fn mean(&self, value: impl Fn(&Report) -> f64) -> f64 {
        self.reports.iter().map(value).sum::<f64>() / self.reports.len().max(1) as f64
    }

    /// Number of loads on which the largest jobs of some kind were completed less than half as
    /// often as the jobs of the whole kind.
    #[must_use]
    pub fn starved_count(&self) -> usize {
        let is_starved =
            |report: &&Report| report.completed.iter().any(CompletedShares::starves_largest);
        self.reports.iter().filter(is_starved).count()
    }

    /// Column headers of [`Self::row`].
    #[must_use]
    pub fn header() -> String {
        let kinds: String = KINDS.iter().map(|kind| format!("{:>8}", kind.name)).collect();
        let (on_time, largest, reachable) = ("on time", "largest", "in reach");
        let refusals = format!("{:>9}{:>9}{:>12}", "refused", "given up", "refused ms");
        format!(
            "{on_time:>8}{kinds}{:>8}{:>8}{:>8}{largest:>9}{reachable:>9}{:>9}{:>7}{refusals}",
            "credit", "work", "window", "of long", "short"
        )
    }

    /// The means as one row.
    #[must_use]
    pub fn row(&self) -> String {
        let kinds = (0..KINDS.len()).map(|kind| self.mean(|report| report.on_time_by_kind[kind]));
        let kinds: String = kinds.map(|share| format!("{share:>8.3}")).collect();
        let refusal_time: Duration =
            self.reports.iter().map(|report| report.p90_refusal_time).sum();
        let refusal_ms = refusal_time.as_millis() / self.reports.len().max(1) as u128;
        format!(
            "{:>8.3}{kinds}{:>8.3}{:>8.3}{:>8.3}{:>9.3}{:>9.3}{:>9.3}{:>7}{:>9.3}{:>9.3}{refusal_ms:>12}",
            self.mean(|report| report.on_time),
            self.mean(|report| report.credit),
            self.mean(|report| report.work_credit),
            self.mean(|report| report.worst_window),
            self.mean(|report| report.completed[LONG_KIND].largest),
            self.mean(|report| report.completed[LONG_KIND].reachable),
            self.mean(|report| report.completed[LONG_KIND].all),
            self.starved_count(),
            self.mean(|report| report.refused),
            self.mean(|report| report.abandoned),
        )
    }
}
