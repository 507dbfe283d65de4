//! Reduces the targets with enough free resources to those that [`super::choose`] can choose.
//!
//! The rules of `choose` look at the fastest target, at the fastest one that is not fast, and at the
//! one of those about as fast as either that [`Outlook`] ranks first, which is the tightest if nothing waits. A rule that looks at others needs them here too.

use std::time::Duration;

use super::choice::EQUAL_FACTOR;
use super::{Candidate, Outlook};
use crate::job::Resources;

/// A target with enough free resources for a task.
#[derive(Clone, Copy, Debug)]
pub struct Rated {
    /// Index of the target in the steward's list.
    pub index: usize,
    /// Ratio of the task's run time on this target to its average.
    pub factor: f64,
    /// Free resources of the target.
    pub free: Resources,
    /// Whether the target's runs are long overdue or tend to fail.
    pub suspect: bool,
}

/// Converts factors of targets to expected run times of a task.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    average_run: Duration,
    /// Relative error below which a comparison of factors may differ from one of run times, which are
    /// whole nanoseconds.
    tolerance: f64,
}

/// Upper limit of run times on targets, by their factor.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    scale: Scale,
    run: Duration,
    factor: f64,
}

impl Scale {
    /// Creates the scale for a task with this expected run time on an average target.
    #[must_use]
    pub fn new(average_run: Duration) -> Self {
        let secs = average_run.as_secs_f64().max(f64::MIN_POSITIVE);
        Self { average_run, tolerance: 1e-12 + 1e-8 / secs }
    }

    /// Expected run time on a target.
    #[must_use]
    pub fn run(&self, factor: f64) -> Duration {
        self.average_run.mul_f64(factor)
    }

    /// The limit up to which targets count as fast.
    #[must_use]
    pub fn fast_limit(&self, fastest_run: Duration) -> Limit {
        self.limit(super::choice::fast_limit(fastest_run))
    }

    fn limit(&self, run: Duration) -> Limit {
        let secs = self.average_run.as_secs_f64().max(f64::MIN_POSITIVE);
        Limit { scale: *self, run, factor: run.as_secs_f64() / secs }
    }
}

impl Limit {
    /// Whether the expected run time on a target is within the limit.
    #[must_use]
    pub fn includes(&self, factor: f64) -> bool {
        let distance = factor - self.factor;
        if distance.abs() > self.scale.tolerance * (1.0 + self.factor) {
            return distance < 0.0;
        }
        self.scale.run(factor) <= self.run
    }
}

/// Returns the targets that [`super::choose`] can choose, by index. They must be rated in the order of
/// their index. `size` is the task's CPU.
#[must_use]
pub fn shortlist(
    rated: &[Rated],
    (scale, fastest_run): (Scale, Duration),
    (outlook, size): (&Outlook, u64),
) -> Vec<Candidate> {
    let fast = scale.fast_limit(fastest_run);
    let healthy = || rated.iter().filter(|one| !one.suspect);
    let min = |one: Option<f64>, factor: f64| Some(one.map_or(factor, |one| one.min(factor)));
    let (mut best, mut best_slow) = (None, None);
    for one in healthy() {
        best = min(best, one.factor);
        // The comparison with the limit is the more expensive one.
        if best_slow.is_none_or(|slow| one.factor < slow) && !fast.includes(one.factor) {
            best_slow = Some(one.factor);
        }
    }
    let rank = |one: &&Rated| outlook.rank(one.free.cpu_millis, size);
    let mut chosen: Vec<&Rated> = Vec::with_capacity(4);
    for anchor in [best, best_slow].into_iter().flatten() {
        let limit = scale.limit(scale.run(anchor).mul_f64(EQUAL_FACTOR));
        let equal = |one: &&Rated| one.factor >= anchor && limit.includes(one.factor);
        chosen.extend(healthy().find(|one| one.factor == anchor));
        chosen.extend(healthy().filter(equal).min_by_key(rank));
    }
    chosen.sort_by_key(|one| one.index);
    chosen.dedup_by_key(|one| one.index);
    let candidate = |one: &Rated| {
        let Rated { index, factor, free, suspect } = *one;
        Candidate { index, expected: scale.run(factor), free, suspect }
    };
    chosen.into_iter().map(candidate).collect()
}
