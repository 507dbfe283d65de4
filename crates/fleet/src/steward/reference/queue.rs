//! The queue as it was, which computes everything anew for each pass.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Host;

use crate::job::{Grant, Id, Reservation, Task};
use crate::queue::{Binding, QueuedTask, SLACK_LEVELS_MS};

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

    /// CPU time queued ahead of a new task at each slack level, in millicore-seconds.
    #[must_use]
    pub fn work(&self, now: Instant) -> [f64; SLACK_LEVELS_MS.len()] {
        let mut work = [0.0; SLACK_LEVELS_MS.len()];
        for queued in self.exclusive().filter(|queued| queued.job_started || !queued.is_late(now)) {
            let latest = queued.latest_start().unwrap_or(now);
            let slack = latest.saturating_duration_since(now).as_millis();
            for (sum, level) in work.iter_mut().zip(SLACK_LEVELS_MS) {
                if queued.job_started || slack <= u128::from(level) {
                    *sum += queued.work();
                }
            }
        }
        work
    }

    /// Sorts the queue by the order that applies at `now`.
    pub fn sort(&mut self, now: Instant) {
        self.tasks.sort_by_cached_key(|queued| {
            let latest = queued.latest_start().unwrap_or(now);
            match (queued.is_long(now), queued.job_started, queued.is_late(now)) {
                (true, true, _) => (0, 0, latest, queued.task.clone()),
                (false, true, _) => (1, 0, latest, queued.task.clone()),
                (true, false, false) => (2, 0, latest, queued.task.clone()),
                (false, false, false) => (3, 0, latest, queued.task.clone()),
                (_, false, true) => (4, queued.priority, queued.objective, queued.task.clone()),
            }
        });
    }

    /// Number of tasks that should run on fast targets only.
    #[must_use]
    pub fn count_long(&self, now: Instant) -> usize {
        self.tasks.iter().filter(|queued| queued.is_long(now)).count()
    }

    /// Marks the tasks of these jobs, given with their generations, as belonging to a started job.
    pub fn mark_started(&mut self, jobs: &HashSet<(Id, u64)>) {
        for queued in self.tasks.iter_mut().filter(|queued| !queued.job_started) {
            queued.job_started = jobs.contains(&(queued.task.job.clone(), queued.generation));
        }
    }

    /// Records that a grant was requested for these tasks.
    pub fn mark_requested(&mut self, requested: &HashSet<Task>, now: Instant) {
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

    /// CPU time queued ahead of a job that has not started and must start by `latest`, in
    /// millicore-seconds.
    #[must_use]
    pub fn work_before(&self, latest: Instant, now: Instant) -> f64 {
        let is_ahead = |queued: &&QueuedTask| {
            queued.job_started
                || !queued.is_late(now) && queued.latest_start().unwrap_or(now) <= latest
        };
        self.exclusive().filter(is_ahead).map(QueuedTask::work).sum()
    }

    /// The tasks in queue order.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedTask> {
        self.tasks.iter()
    }

    /// Removes and returns the tasks that match.
    pub fn extract(&mut self, mut matches: impl FnMut(&QueuedTask) -> bool) -> Vec<QueuedTask> {
        self.tasks.extract_if(.., |queued| matches(queued)).collect()
    }

    /// Removes the given tasks.
    pub fn remove(&mut self, tasks: &HashSet<Task>) {
        self.tasks.retain(|queued| !tasks.contains(&queued.task));
    }

    /// Removes the tasks of one generation of an owner's job.
    pub fn cancel(&mut self, owner: &Host, job: &Id, generation: u64) {
        let is_kept = |queued: &QueuedTask| {
            queued.owner != *owner || queued.task.job != *job || queued.generation != generation
        };
        self.tasks.retain(is_kept);
    }
}
