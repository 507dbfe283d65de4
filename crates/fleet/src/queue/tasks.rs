//! The queued tasks of a steward.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Kind, Service};

use crate::admission::{min_slack, misses_objective};
use crate::job::{Grant, Id, Requirements, Reservation, Task};
use crate::placement::wants_fast;
use crate::precedence::{Class, Order};
use crate::speed::Forecast;

/// Which stewards may start a queued task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Binding {
    /// Queued at several stewards; the first with a free slot may request the owner's grant.
    Shared,
    /// Queued at several stewards; this one requested the grant at the given time.
    Requested(Instant),
    /// Queued at this steward alone, or granted to it.
    Exclusive,
}

/// A task that waits for a target.
#[derive(Clone, Debug)]
pub struct QueuedTask {
    /// Identifier of the task.
    pub task: Task,
    /// Host that owns the job and receives the task's completion.
    pub owner: Host,
    /// The owner's generation number for the job.
    pub generation: u64,
    /// Kind of the job.
    pub kind: Kind,
    /// Service whose targets may run the task.
    pub service: Service,
    /// Priority of the kind; 0 is the highest.
    pub priority: u32,
    /// Lowest run number that the next attempt may use.
    pub run: u32,
    /// Sequence number of the message that carried the task.
    pub sequence: u32,
    /// Resources and constraints of the task.
    pub requirements: Requirements,
    /// Opaque specification, passed on to the target.
    pub spec: Arc<str>,
    /// Time after which the job's answer counts as late.
    pub objective: Instant,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Time at which the task entered this queue.
    pub queued_at: Instant,
    /// Expected run time on an average target.
    pub average_run: Duration,
    /// Expected run time on the median target.
    pub median_run: Duration,
    /// Expected run time on the fastest target.
    pub fastest_run: Duration,
    /// Standard deviation of the natural logarithm of the run time.
    pub deviation: f64,
    /// Number of tasks of the whole job.
    pub width: u32,
    /// Whether any task of the job has started.
    pub job_started: bool,
    /// Whether the job exceeds the usual share of its kind.
    pub is_excess: bool,
    /// Which stewards may start the task.
    pub binding: Binding,
}

/// Factor on the expected run time when slack is computed. One run in five takes longer than that.
const RUN_TIME_MARGIN: f64 = 1.35;
/// Upper bounds of the slack levels by which a steward reports its backlog to owners, in
/// milliseconds.
pub const SLACK_LEVELS_MS: [u32; 6] = [40, 80, 160, 320, 640, u32::MAX];

impl QueuedTask {
    /// Latest start with which the task should still meet the objective. Assumes an average target,
    /// or the fastest one if an average target was too slow already when the task was queued.
    ///
    /// `None` if that time can't be represented.
    #[must_use]
    pub fn latest_start(&self) -> Option<Instant> {
        let average_run = self.average_run.mul_f64(RUN_TIME_MARGIN);
        let average_suffices = self.queued_at + average_run <= self.objective;
        let run =
            if average_suffices { average_run } else { self.fastest_run.mul_f64(RUN_TIME_MARGIN) };
        self.objective.checked_sub(run)
    }

    /// Whether the task is expected to miss the objective even on the fastest target.
    #[must_use]
    pub fn is_late(&self, now: Instant) -> bool {
        now + self.fastest_run > self.objective
    }

    /// Whether the task should run on a fast target only. Such a task delays no one by its position
    /// ahead of tasks that can use the other targets.
    #[must_use]
    pub fn is_long(&self, now: Instant) -> bool {
        wants_fast(self, self.median_run, (self.fastest_run, Duration::ZERO), now)
    }

    /// Wait that the task can take in a dense zone, see [`min_slack`].
    #[must_use]
    pub fn tolerable_wait(&self, now: Instant) -> Duration {
        let slack = self.latest_start().unwrap_or(now).saturating_duration_since(now);
        slack.max(min_slack(self.fastest_run, self.deadline.saturating_duration_since(now)))
    }

    /// What decides the task's precedence.
    #[must_use]
    pub fn class(&self, now: Instant) -> Class {
        Class {
            priority: self.priority,
            is_started: self.job_started,
            is_late: self.is_late(now),
            is_excess: self.is_excess,
            latest_start: self.latest_start().unwrap_or(now),
            objective: self.objective,
        }
    }

    /// Probability that the job's longest task ends before the caller's deadline if it starts after
    /// `wait` on a target where a run is expected to take `run`.
    #[must_use]
    pub fn probability_in_time(&self, run: Duration, wait: Duration, now: Instant) -> f64 {
        let left = self.deadline.saturating_duration_since(now + wait);
        let forecast = Forecast { median: run, deviation: self.deviation };
        forecast.longest_of(self.width).probability_within(left)
    }

    /// Whether only this steward may start the task.
    #[must_use]
    pub fn is_exclusive(&self) -> bool {
        matches!(self.binding, Binding::Exclusive)
    }

    /// Expected CPU time on an average target, in millicore-seconds.
    #[must_use]
    pub fn work(&self) -> f64 {
        self.average_run.as_secs_f64() * self.requirements.resources.cpu_millis as f64
    }
}

/// Index into [`SLACK_LEVELS_MS`] for a job that is late after `left` and runs for `run`.
#[must_use]
pub fn slack_level(left: Duration, run: Duration) -> usize {
    let slack = left.saturating_sub(run.mul_f64(RUN_TIME_MARGIN)).as_millis();
    let is_within = |level: &u32| slack <= u128::from(*level);
    SLACK_LEVELS_MS.iter().position(is_within).unwrap_or(SLACK_LEVELS_MS.len() - 1)
}

/// All tasks that wait at one steward.
#[derive(Debug, Default)]
pub struct Queue {
    tasks: Vec<QueuedTask>,
}

impl Queue {
    /// Appends a task; the order is set by the next sort.
    pub fn push(&mut self, task: QueuedTask) {
        self.tasks.push(task);
    }

    /// Number of queued tasks, shared ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Tasks that only this steward may start. Shared tasks wait for fast targets, so they don't
    /// delay short tasks.
    pub fn exclusive(&self) -> impl Iterator<Item = &QueuedTask> {
        self.tasks.iter().filter(|queued| queued.is_exclusive())
    }

    /// Whether no task is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// CPU time queued ahead of each of these jobs if they arrive now, in millicore-seconds.
    #[must_use]
    pub fn work_before<const JOBS: usize>(
        &self,
        arriving: &[Class; JOBS],
        order: &dyn Order,
        now: Instant,
    ) -> [f64; JOBS] {
        let mut work = [0.0; JOBS];
        for queued in self.exclusive() {
            let class = queued.class(now);
            for (sum, arriving) in work.iter_mut().zip(arriving) {
                if order.is_ahead(&class, arriving) {
                    *sum += queued.work();
                }
            }
        }
        work
    }

    /// Sorts the queue by an order.
    pub fn sort(&mut self, order: &dyn Order, now: Instant) {
        self.tasks.sort_by_cached_key(|queued| {
            (order.rank(&queued.class(now), queued.is_long(now)), queued.task.clone())
        });
    }

    /// Number of tasks that should run on fast targets only, and number of others that only this steward may start.
    #[must_use]
    pub fn count_long_and_short(&self, now: Instant) -> (usize, usize) {
        let (mut long, mut short) = (0, 0);
        for queued in &self.tasks {
            if queued.is_long(now) {
                long += 1;
            } else if queued.is_exclusive() {
                short += 1;
            }
        }
        (long, short)
    }

    /// Number of tasks that should run on fast targets only.
    #[must_use]
    pub fn count_long(&self, now: Instant) -> usize {
        self.tasks.iter().filter(|queued| queued.is_long(now)).count()
    }

    /// Marks the tasks of these jobs, given with their generations, as belonging to a started job.
    pub fn mark_started(&mut self, jobs: &HashSet<(Id, u64)>) {
        if jobs.is_empty() {
            return;
        }
        for queued in self.tasks.iter_mut().filter(|queued| !queued.job_started) {
            queued.job_started = jobs.contains(&(queued.task.job.clone(), queued.generation));
        }
    }

    /// Records that a grant was requested for these tasks.
    pub fn mark_requested(&mut self, requested: &HashSet<Task>, now: Instant) {
        if requested.is_empty() {
            return;
        }
        for queued in self.tasks.iter_mut().filter(|queued| requested.contains(&queued.task)) {
            queued.binding = Binding::Requested(now);
        }
    }

    /// Applies an owner's grant. Returns the time since it was requested, or `None` if the task is
    /// not queued here.
    pub fn grant(&mut self, owner: &Host, grant: &Grant, now: Instant) -> Option<Duration> {
        let is_granted = |queued: &&mut QueuedTask| {
            let message = (&queued.task, queued.generation, queued.sequence);
            queued.owner == *owner && message == (&grant.task, grant.generation, grant.sequence)
        };
        let queued = self.tasks.iter_mut().find(is_granted)?;
        queued.run = grant.run;
        match std::mem::replace(&mut queued.binding, Binding::Exclusive) {
            Binding::Requested(at) => Some(now.duration_since(at)),
            Binding::Shared | Binding::Exclusive => Some(Duration::ZERO),
        }
    }

    /// Removes shared tasks that were granted to other stewards, and marks their jobs as started.
    pub fn withdraw(&mut self, owner: &Host, reservations: &[Reservation]) {
        for reservation in reservations {
            let same_generation = |queued: &QueuedTask| {
                queued.owner == *owner && queued.generation == reservation.generation
            };
            let is_withdrawn = |queued: &QueuedTask| {
                queued.task == reservation.task && queued.sequence == reservation.sequence
            };
            self.tasks.retain(|queued| !same_generation(queued) || !is_withdrawn(queued));
            let same_job = |queued: &&mut QueuedTask| {
                same_generation(queued) && queued.task.job == reservation.task.job
            };
            self.tasks.iter_mut().filter(same_job).for_each(|queued| queued.job_started = true);
        }
    }

    /// The tasks in queue order.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedTask> {
        self.tasks.iter()
    }

    /// Removes and returns the tasks that match.
    pub fn extract(&mut self, mut matches: impl FnMut(&QueuedTask) -> bool) -> Vec<QueuedTask> {
        self.tasks.extract_if(.., |queued| matches(queued)).collect()
    }

    /// Removes and returns the tasks of these jobs, given with their generations.
    pub fn extract_jobs(&mut self, jobs: &HashSet<(Id, u64)>) -> Vec<QueuedTask> {
        self.extract(|queued| jobs.contains(&(queued.task.job.clone(), queued.generation)))
    }

    /// Jobs that have not started and would miss their objective behind the tasks ahead of them in the present
    /// order, given with their generations. `rate` is the work done per second, in millicore-seconds. Long
    /// tasks are left out: they wait for fast targets, which other tasks leave to them.
    #[must_use]
    pub fn unreachable_jobs(&self, rate: f64, now: Instant) -> HashSet<(Id, u64)> {
        let mut unreachable: HashSet<(Id, u64)> = HashSet::new();
        let mut ahead = 0.0;
        for queued in self.exclusive() {
            let wait = Duration::from_secs_f64(ahead / rate);
            let slack = queued.tolerable_wait(now);
            let may_leave = !queued.job_started && !queued.is_late(now);
            if may_leave && misses_objective(wait, slack) && !queued.is_long(now) {
                unreachable.insert((queued.task.job.clone(), queued.generation));
            } else {
                ahead += queued.work();
            }
        }
        unreachable
    }

    /// Removes the given tasks.
    pub fn remove(&mut self, tasks: &HashSet<Task>) {
        if !tasks.is_empty() {
            self.tasks.retain(|queued| !tasks.contains(&queued.task));
        }
    }

    /// Removes the tasks of one generation of an owner's job.
    pub fn cancel(&mut self, owner: &Host, job: &Id, generation: u64) {
        let is_kept = |queued: &QueuedTask| {
            queued.owner != *owner || queued.task.job != *job || queued.generation != generation
        };
        self.tasks.retain(is_kept);
    }
}
