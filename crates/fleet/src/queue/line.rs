//! Tasks that wait at a steward.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Kind, Service};

use crate::job::{Grant, Id, Requirements, Reservation, Task};
use crate::placement::wants_fast;
use crate::speed::Forecast;

/// Who may start a task that waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Binding {
    /// The first of several stewards that has a place for it, with its owner's leave.
    Shared,
    /// The same; this one has asked the owner, at this time.
    Requested(Instant),
    /// This steward alone.
    Exclusive,
}

/// A task that waits for a target.
#[derive(Clone, Debug)]
pub struct QueuedTask {
    /// The task.
    pub task: Task,
    /// Who wants it.
    pub owner: Host,
    /// The owner's opening of the job.
    pub generation: u64,
    /// Its kind.
    pub kind: Kind,
    /// Whose targets may run it.
    pub service: Service,
    /// The kind's priority; 0 comes first.
    pub priority: u32,
    /// Lowest number of its next attempt.
    pub run: u32,
    /// Number of the message that it came with.
    pub sequence: u32,
    /// What it needs.
    pub requirements: Requirements,
    /// Passed on to the target.
    pub spec: Arc<str>,
    /// Moment from which its job is late.
    pub objective: Instant,
    /// When its caller goes.
    pub deadline: Instant,
    /// Since when it waits here.
    pub since: Instant,
    /// Expected run time on an average target.
    pub typical: Duration,
    /// Expected run time on the slower half of the targets at best.
    pub usual: Duration,
    /// Expected run time on the fastest target.
    pub quickest: Duration,
    /// Deviation of its run time's natural logarithm from these.
    pub deviation: f64,
    /// Number of tasks of its job.
    pub width: u32,
    /// Whether anything of its job has started.
    pub started: bool,
    /// Who may start it.
    pub binding: Binding,
}

/// Share by which a run is taken to be longer than expected when its slack is reckoned: one run in
/// five is longer than that.
const MARGIN: f64 = 1.35;
/// Slack up to which waiting work is summed up for owners, in milliseconds.
pub const SLACK_LEVELS_MS: [u32; 6] = [40, 80, 160, 320, 640, u32::MAX];

impl QueuedTask {
    /// Last moment at which a start should still end on time: on an average target, or on the
    /// fastest one where only that would do from the first.
    #[must_use]
    pub fn latest_start(&self) -> Option<Instant> {
        let typical = self.typical.mul_f64(MARGIN);
        let any = self.since + typical <= self.objective;
        let needed = if any { typical } else { self.quickest.mul_f64(MARGIN) };
        self.objective.checked_sub(needed)
    }

    /// Whether it can't be expected to end on time.
    #[must_use]
    pub fn is_late(&self, now: Instant) -> bool {
        now + self.quickest > self.objective
    }

    /// Whether only fast targets will do for it; on others nobody loses by its place in the line.
    #[must_use]
    pub fn is_long(&self, now: Instant) -> bool {
        wants_fast(self, self.usual, (self.quickest, Duration::ZERO), now)
    }

    /// Chance, from 0 to 1, that the job's longest task ends before the caller goes if it starts after
    /// `wait` where a run is expected to take `run`.
    #[must_use]
    pub fn chance(&self, run: Duration, wait: Duration, now: Instant) -> f64 {
        let left = self.deadline.saturating_duration_since(now + wait);
        let forecast = Forecast { median: run, deviation: self.deviation };
        forecast.longest_of(self.width).probability_within(left)
    }

    /// Whether this steward alone may start it.
    #[must_use]
    pub fn is_own(&self) -> bool {
        matches!(self.binding, Binding::Exclusive)
    }

    /// Core time that it takes, in thousandths of a core times seconds.
    #[must_use]
    pub fn work(&self) -> f64 {
        self.typical.as_secs_f64() * self.requirements.resources.cpu_millis as f64
    }
}

/// Level of the slack of a job that has `left` until it is late and runs for `run`.
#[must_use]
pub fn slack_level(left: Duration, run: Duration) -> usize {
    let slack = left.saturating_sub(run.mul_f64(MARGIN)).as_millis();
    let within = |level: &u32| slack <= u128::from(*level);
    SLACK_LEVELS_MS.iter().position(within).unwrap_or(SLACK_LEVELS_MS.len() - 1)
}

/// All tasks that wait at one steward.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: Vec<QueuedTask>,
}

impl Queue {
    /// Adds a task.
    pub fn push(&mut self, waiting: QueuedTask) {
        self.waiting.push(waiting);
    }

    /// Number of tasks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tasks that this steward alone may start. What stands here waits for fast targets, of which short work
    /// needs none.
    pub fn own(&self) -> impl Iterator<Item = &QueuedTask> {
        self.waiting.iter().filter(|one| one.is_own())
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Core time that waits ahead of a task with slack up to each level, in thousandths of a core
    /// times seconds.
    #[must_use]
    pub fn work(&self, now: Instant) -> [f64; SLACK_LEVELS_MS.len()] {
        let mut work = [0.0; SLACK_LEVELS_MS.len()];
        for one in self.own().filter(|one| one.started || !one.is_late(now)) {
            let latest = one.latest_start().unwrap_or(now);
            let slack = latest.saturating_duration_since(now).as_millis();
            for (sum, level) in work.iter_mut().zip(SLACK_LEVELS_MS) {
                if one.started || slack <= u128::from(level) {
                    *sum += one.work();
                }
            }
        }
        work
    }

    /// Puts the line in order for this moment.
    pub fn sort(&mut self, now: Instant) {
        self.waiting.sort_by_cached_key(|one| {
            let latest = one.latest_start().unwrap_or(now);
            match (one.is_long(now), one.started, one.is_late(now)) {
                (true, true, _) => (0, 0, latest, one.task.clone()),
                (false, true, _) => (1, 0, latest, one.task.clone()),
                (true, false, false) => (2, 0, latest, one.task.clone()),
                (false, false, false) => (3, 0, latest, one.task.clone()),
                (_, false, true) => (4, one.priority, one.objective, one.task.clone()),
            }
        });
    }

    /// Tasks for which only fast targets will do.
    #[must_use]
    pub fn long(&self, now: Instant) -> usize {
        self.waiting.iter().filter(|one| one.is_long(now)).count()
    }

    /// Notes that something of these openings of jobs has started.
    pub fn begin(&mut self, jobs: &HashSet<(Id, u64)>) {
        for one in self.waiting.iter_mut().filter(|one| !one.started) {
            one.started = jobs.contains(&(one.task.job.clone(), one.generation));
        }
    }

    /// Notes that the owners of these tasks have been asked.
    pub fn ask(&mut self, asked: &HashSet<Task>, now: Instant) {
        for one in self.waiting.iter_mut().filter(|one| asked.contains(&one.task)) {
            one.binding = Binding::Requested(now);
        }
    }

    /// Takes an owner's grant in; how long ago it was asked, if the task waits here.
    pub fn grant(&mut self, owner: &Host, grant: &Grant, now: Instant) -> Option<Duration> {
        let granted = |one: &&mut QueuedTask| {
            let same = (&one.task, one.generation, one.sequence);
            one.owner == *owner && same == (&grant.task, grant.generation, grant.sequence)
        };
        let one = self.waiting.iter_mut().find(granted)?;
        one.run = grant.run;
        match std::mem::replace(&mut one.binding, Binding::Exclusive) {
            Binding::Requested(at) => Some(now.duration_since(at)),
            Binding::Shared | Binding::Exclusive => Some(Duration::ZERO),
        }
    }

    /// Takes out tasks that other stewards have by now: their jobs have begun.
    pub fn withdraw(&mut self, owner: &Host, reservations: &[Reservation]) {
        for reservation in reservations {
            let generation =
                |one: &QueuedTask| one.owner == *owner && one.generation == reservation.generation;
            let same = |one: &QueuedTask| {
                one.task == reservation.task && one.sequence == reservation.sequence
            };
            self.waiting.retain(|one| !generation(one) || !same(one));
            let job =
                |one: &&mut QueuedTask| generation(one) && one.task.job == reservation.task.job;
            self.waiting.iter_mut().filter(job).for_each(|one| one.started = true);
        }
    }

    /// Core time that waits ahead of a job that has not begun and must start by `latest`, in
    /// thousandths of a core times seconds.
    #[must_use]
    pub fn work_before(&self, latest: Instant, now: Instant) -> f64 {
        let ahead = |one: &&QueuedTask| {
            one.started || !one.is_late(now) && one.latest_start().unwrap_or(now) <= latest
        };
        self.own().filter(ahead).map(QueuedTask::work).sum()
    }

    /// The tasks in order.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedTask> {
        self.waiting.iter()
    }

    /// Takes out the tasks that a test holds for.
    pub fn take(&mut self, mut test: impl FnMut(&QueuedTask) -> bool) -> Vec<QueuedTask> {
        self.waiting.extract_if(.., |one| test(one)).collect()
    }

    /// Takes out tasks by name.
    pub fn remove(&mut self, tasks: &HashSet<Task>) {
        self.waiting.retain(|one| !tasks.contains(&one.task));
    }

    /// Drops what an owner no longer wants of a job.
    pub fn cancel(&mut self, owner: &Host, job: &Id, generation: u64) {
        let wanted = |one: &QueuedTask| {
            one.owner != *owner || one.task.job != *job || one.generation != generation
        };
        self.waiting.retain(wanted);
    }
}
