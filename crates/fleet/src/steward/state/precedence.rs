//! Order of the queue, and what counts as ahead of a job that arrives.

use std::time::{Duration, Instant};

use super::Steward;
use super::dispatch::return_task;
use crate::admission::misses_objective;
use crate::job::End;
use crate::member::Membership;
use crate::precedence::{Class, Importance, LeastSlack, Policy};
use crate::queue::{QueuedTask, SLACK_LEVELS_MS, slack_level};
use crate::speed::Estimator;
use crate::steward::Output;

impl Steward {
    /// Selection of the order of the queue.
    pub fn precedence_mut(&mut self) -> &mut Policy {
        &mut self.precedence
    }

    /// Marks the tasks of a job that exceeds the usual share of its kind. Started jobs are no new arrivals.
    pub(super) fn record_arrival(&mut self, tasks: &mut [QueuedTask], now: Instant) {
        let Some(first) = tasks.first().filter(|first| !first.job_started) else {
            return;
        };
        let work = tasks.iter().map(QueuedTask::work).sum();
        let left = first.objective.saturating_duration_since(now);
        let run = if first.is_long(now) { first.fastest_run } else { first.average_run };
        let kind = (&first.kind, first.priority);
        let is_excess = self.precedence.record_arrival(kind, work, slack_level(left, run), now);
        tasks.iter_mut().for_each(|queued| queued.is_excess = is_excess);
    }

    /// Sorts the queue by the order that applies. If more waits than can start in time, returns the tasks that
    /// can't, so that their owners can still send them elsewhere.
    pub(super) fn sort_queue(
        &mut self,
        (membership, speeds): (&Membership, &Estimator),
        now: Instant,
        output: &mut Output,
    ) {
        self.queue.sort(&LeastSlack, now);
        if !self.precedence.is_dense() {
            return;
        }
        let kept = self.targets.kept(membership, speeds, now);
        let rate = kept.capacity(false, self.mean_cpu_millis).rate.max(1.0);
        // Where the control thread is behind, it is the scarce resource, and each job that is returned adds
        // to its work.
        let is_behind = !self.precedence.backlog().is_zero();
        let is_crowded = !is_behind && !self.queue.unreachable_jobs(rate, now).is_empty();
        self.precedence.set_crowded(is_crowded);
        if !is_crowded {
            return;
        }
        self.queue.sort(&Importance, now);
        let displaced = self.queue.unreachable_jobs(rate, now);
        for queued in self.queue.extract_jobs(&displaced) {
            return_task(queued, End::Overloaded, now, output);
        }
    }

    /// Returns the wait and the slack of a job that arrives if the control thread is too far behind for it.
    pub(super) fn shed(&self, tasks: &[QueuedTask], now: Instant) -> Option<(Duration, Duration)> {
        let first = tasks.first()?;
        let class = first.class(now);
        let slack = class.latest_start.saturating_duration_since(now);
        let sheds = self.precedence.sheds(&class, first.is_long(now));
        sheds.then_some((self.precedence.backlog(), slack))
    }

    /// Expected time until the work ahead of a job that arrives is done, in seconds.
    pub(super) fn wait_before(&self, tasks: &[QueuedTask], rate: f64, now: Instant) -> Option<f64> {
        let class =
            tasks.iter().map(|queued| queued.class(now)).min_by_key(|class| class.latest_start)?;
        let order = self.precedence.order();
        let [work] = self.queue.work_before(&[class], order, now);
        let wait = work / rate.max(1.0);
        let slack = class.latest_start.saturating_duration_since(now);
        let misses = misses_objective(Duration::from_secs_f64(wait), slack);
        if !misses || !self.precedence.is_dense() || self.precedence.is_crowded() {
            return Some(wait);
        }
        // The job does not fit among all that wait, but it may go before some of them.
        let [work] = self.queue.work_before(&[class], &Importance, now);
        Some(work / rate.max(1.0))
    }

    /// Wait that a job that arrives can take. `latest` is its latest start by the objective.
    pub(super) fn slack(&self, tasks: &[QueuedTask], latest: Instant, now: Instant) -> Duration {
        let slack = latest.saturating_duration_since(now);
        let shortest = tasks.iter().map(|queued| queued.tolerable_wait(now)).min();
        shortest.filter(|_| self.precedence.is_dense()).unwrap_or(slack)
    }

    /// Work ahead of a job that arrives, for each slack level of the load report.
    pub(super) fn work_by_level(&self, now: Instant) -> [f64; SLACK_LEVELS_MS.len()] {
        let classes: [Class; SLACK_LEVELS_MS.len()] =
            std::array::from_fn(|level| self.precedence.typical_class(level, now));
        self.queue.work_before(&classes, self.precedence.order(), now)
    }
}
