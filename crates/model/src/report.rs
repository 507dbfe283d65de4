//! What callers got, as a table.

use std::time::Duration;

use crate::load::{KINDS, Load};
use crate::policy::Answer;

/// Figures of one policy on one load.
#[derive(Clone, Debug)]
pub struct Report {
    /// Share of all jobs on time.
    pub on_time: f64,
    /// The same for each kind, in the order of [`KINDS`].
    pub by_kind: [f64; KINDS.len()],
    /// Share of jobs that were turned away with nothing run.
    pub refused: f64,
    /// Share of jobs that were given up with a part of them run.
    pub given_up: f64,
    /// Time until nine in ten of the refused heard it.
    pub refused_after: Duration,
}

impl Report {
    /// Draws the figures up.
    #[must_use]
    pub fn new(load: &Load, answers: &[Answer]) -> Self {
        let pairs = || load.jobs.iter().zip(answers);
        let share = |count: usize, all: usize| count as f64 / all.max(1) as f64;
        let on_time = |kind: Option<usize>| {
            let of_kind = || pairs().filter(|(job, _)| kind.is_none_or(|kind| job.kind == kind));
            let good = of_kind().filter(|(job, answer)| answer.is_on_time(job)).count();
            share(good, of_kind().count())
        };
        let mut waits: Vec<Duration> = answers
            .iter()
            .filter_map(|answer| match answer {
                Answer::Refused(after) => Some(*after),
                _ => None,
            })
            .collect();
        waits.sort();
        let given_up = answers.iter().filter(|answer| matches!(answer, Answer::GivenUp(_)));
        Self {
            on_time: on_time(None),
            by_kind: std::array::from_fn(|kind| on_time(Some(kind))),
            refused: share(waits.len(), answers.len()),
            given_up: share(given_up.count(), answers.len()),
            refused_after: waits.get(waits.len() * 9 / 10).copied().unwrap_or_default(),
        }
    }

    /// Heads of the columns of [`Self::row`].
    #[must_use]
    pub fn head() -> String {
        let kinds: String = KINDS.iter().map(|kind| format!("{:>8}", kind.name)).collect();
        format!("{:>8}{kinds}{:>9}{:>9}{:>12}", "on time", "refused", "given up", "heard in ms")
    }

    /// The figures as one row.
    #[must_use]
    pub fn row(&self) -> String {
        let kinds: String = self.by_kind.iter().map(|share| format!("{share:>8.3}")).collect();
        format!(
            "{:>8.3}{kinds}{:>9.3}{:>9.3}{:>12}",
            self.on_time,
            self.refused,
            self.given_up,
            self.refused_after.as_millis()
        )
    }
}
