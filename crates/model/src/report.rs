//! Results of one load under one policy.

use std::time::Duration;

use crate::load::{Job, KINDS, Load};
use crate::policy::Answer;

/// Credit of a job that was completed after its objective and before its caller left.
const LATE_CREDIT: f64 = 0.5;
/// Length of the windows over which on-time shares are compared.
const WINDOW: Duration = Duration::from_secs(2);

/// Shares of the jobs of one kind that were completed, on time or late.
#[derive(Clone, Copy, Debug)]
pub struct CompletedShares {
    /// Share among the tenth of the jobs with the most work.
    pub largest: f64,
    /// Share among those of the largest tenth that can end before their caller leaves.
    pub reachable: f64,
    /// Share among all jobs of the kind.
    pub all: f64,
}

/// Results of one load under one policy.
#[derive(Clone, Debug)]
pub struct Report {
    /// Share of all jobs that were completed on time.
    pub on_time: f64,
    /// Share of the jobs of each kind that were completed on time, in the order of [`KINDS`].
    pub on_time_by_kind: [f64; KINDS.len()],
    /// Credit of all jobs: one for each that was completed on time and half for each that was late, as a
    /// share of the number of jobs.
    pub credit: f64,
    /// Credit of each job times its work, as a share of the work of all jobs.
    pub work_credit: f64,
    /// Lowest share of the jobs that were completed on time, over the windows of two seconds.
    pub worst_window: f64,
    /// Share of all jobs that were refused.
    pub refused: f64,
    /// Share of all jobs that failed or whose caller left.
    pub abandoned: f64,
    /// Shares of the jobs of each kind that were completed, in the order of [`KINDS`].
    pub completed: [CompletedShares; KINDS.len()],
    /// 90th percentile of the time from the arrival of a job to its refusal.
    pub p90_refusal_time: Duration,
}

impl CompletedShares {
    /// Whether the largest jobs are completed less than half as often as the jobs of the whole
    /// kind.
    #[must_use]
    pub fn starves_largest(&self) -> bool {
        self.largest < self.all / 2.0
    }
}

impl Report {
    /// Computes the results. `answers` are in the order of the jobs of `load`.
    #[must_use]
    pub fn new(load: &Load, answers: &[Answer]) -> Self {
        let pairs = || load.jobs.iter().zip(answers);
        let share = |count: usize, all: usize| count as f64 / all.max(1) as f64;
        let on_time = |kind: Option<usize>| {
            let of_kind = || pairs().filter(|(job, _)| kind.is_none_or(|kind| job.kind == kind));
            let count = of_kind().filter(|(job, answer)| answer.is_on_time(job)).count();
            share(count, of_kind().count())
        };
        let completed_shares = |kind: usize| {
            let mut of_kind: Vec<_> = pairs().filter(|(job, _)| job.kind == kind).collect();
            of_kind.sort_by(|(one, _), (other, _)| other.work().total_cmp(&one.work()));
            let completed = |jobs: &[(&Job, &Answer)]| {
                let done = jobs.iter().filter(|(_, answer)| matches!(answer, Answer::Completed(_)));
                share(done.count(), jobs.len())
            };
            let largest = &of_kind[..of_kind.len().div_ceil(10)];
            let reachable =
                largest.iter().filter(|(job, _)| job.is_reachable(&load.pattern.workload));
            let reachable: Vec<_> = reachable.copied().collect();
            CompletedShares {
                largest: completed(largest),
                reachable: completed(&reachable),
                all: completed(&of_kind),
            }
        };
        let mut refusal_times: Vec<Duration> = answers
            .iter()
            .filter_map(|answer| match answer {
                Answer::Refused(elapsed) => Some(*elapsed),
                _ => None,
            })
            .collect();
        refusal_times.sort();
        let abandoned = answers.iter().filter(|answer| matches!(answer, Answer::Abandoned(_)));
        Self {
            on_time: on_time(None),
            on_time_by_kind: std::array::from_fn(|kind| on_time(Some(kind))),
            credit: credit(load, answers, |_| 1.0),
            work_credit: credit(load, answers, Job::work),
            worst_window: worst_window(load, answers),
            completed: std::array::from_fn(completed_shares),
            refused: share(refusal_times.len(), answers.len()),
            abandoned: share(abandoned.count(), answers.len()),
            p90_refusal_time: refusal_times
                .get(refusal_times.len() * 9 / 10)
                .copied()
                .unwrap_or_default(),
        }
    }
}

/// Credit of all jobs with some weight, as a share of the sum of their weights.
fn credit(load: &Load, answers: &[Answer], weight: impl Fn(&Job) -> f64) -> f64 {
    let earned = |(job, answer): (&Job, &Answer)| match answer {
        _ if answer.is_on_time(job) => weight(job),
        Answer::Completed(_) => weight(job) * LATE_CREDIT,
        Answer::Refused(_) | Answer::Abandoned(_) => 0.0,
    };
    let all: f64 = load.jobs.iter().map(&weight).sum();
    load.jobs.iter().zip(answers).map(earned).sum::<f64>() / all.max(f64::MIN_POSITIVE)
}

/// Lowest share of the jobs that were completed on time, over consecutive windows.
fn worst_window(load: &Load, answers: &[Answer]) -> f64 {
    let windows = load.duration.div_duration_f64(WINDOW) as usize;
    let mut counts = vec![(0.0, 0.0); windows.max(1)];
    for (job, answer) in load.jobs.iter().zip(answers) {
        let window = job.arrives_at.div_duration_f64(WINDOW) as usize;
        if let Some((on_time, all)) = counts.get_mut(window) {
            *on_time += f64::from(u8::from(answer.is_on_time(job)));
            *all += 1.0;
        }
    }
    counts.iter().map(|(on_time, all): &(f64, f64)| on_time / all.max(1.0)).fold(1.0, f64::min)
}
