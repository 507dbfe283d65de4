//! What callers got, as a table.

use std::time::Duration;

use crate::load::{Job, KINDS, Load};
use crate::policy::Answer;

/// Shares of a kind's jobs that were completed, late or not.
#[derive(Clone, Copy, Debug)]
pub struct Served {
    /// Of the largest tenth by work.
    pub largest: f64,
    /// Of those of them that can end before their caller goes.
    pub reachable: f64,
    /// Of all.
    pub all: f64,
}

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
    /// The same for the largest tenth of each kind by work, late ones among them, and for the whole kind.
    pub served: [Served; KINDS.len()],
    /// Time until nine in ten of the refused heard it.
    pub refused_after: Duration,
}

impl Served {
    /// Whether the largest jobs are served less than half as often as their kind.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.largest < self.all / 2.0
    }
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
        let served = |kind: usize| {
            let mut of_kind: Vec<_> = pairs().filter(|(job, _)| job.kind == kind).collect();
            of_kind.sort_by(|(one, _), (other, _)| other.work().total_cmp(&one.work()));
            let completed = |some: &[(&Job, &Answer)]| {
                let done = some.iter().filter(|(_, one)| matches!(one, Answer::Completed(_)));
                share(done.count(), some.len())
            };
            let largest = &of_kind[..of_kind.len().div_ceil(10)];
            let reachable = largest.iter().filter(|(job, _)| job.is_reachable());
            let reachable: Vec<_> = reachable.copied().collect();
            Served {
                largest: completed(largest),
                reachable: completed(&reachable),
                all: completed(&of_kind),
            }
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
            served: std::array::from_fn(served),
            refused: share(waits.len(), answers.len()),
            given_up: share(given_up.count(), answers.len()),
            refused_after: waits.get(waits.len() * 9 / 10).copied().unwrap_or_default(),
        }
    }
}
