//! Placement of queued tasks on a steward's targets.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Target;

use super::end_times;
use super::pool::FastPool;
use crate::directory::{self, Entry};
use crate::job::{Resources, Task};
use crate::lease::{Attempt, Tracker};
use crate::member::Membership;
use crate::placement::{Candidate, Choice, FastTargets, Outlook, choose, is_fast};
use crate::queue::QueuedTask;
use crate::speed::{Estimator, reference};
use crate::steward::Settings;

/// Multiple of its expected run time after which a run is overdue. About one in thirty healthy runs
/// takes that long.
pub(super) const OVERDUE_FACTOR: f64 = 3.0;
/// Shortest time after which a run is overdue; short runs vary by the network round trip.
pub(super) const MIN_OVERDUE: Duration = Duration::from_millis(120);

/// The target on which a task is to start.
pub(super) struct Placement {
    pub(super) target: Target,
    /// Expected run time on the target.
    pub(super) expected: Duration,
    /// Expected run time on the fastest target, free or not.
    pub(super) fastest_run: Duration,
    /// Whether the task must run alone there.
    pub(super) isolated: bool,
}

/// Availability of one target during a pass.
struct Availability<'a> {
    tracker: &'a Tracker,
    /// Free resources; `None` if no task may start.
    free: Option<Resources>,
    /// Ratio of its run times to those of an average target.
    factor: f64,
    suspect: bool,
    /// If the target is held for a queued long task, the expected time until it has enough free
    /// resources. Other tasks start there only if they are expected to end by then.
    held_until: Option<Duration>,
    /// Longest silence of an owner whose tasks may start; `None` if no task may start.
    max_silence: Option<Duration>,
    /// Tasks placed on the target during this pass.
    placed: Vec<Task>,
}

/// Places tasks during one pass over the queue and tracks the resources that they take.
pub(super) struct Placer<'a> {
    targets: Vec<Availability<'a>>,
    membership: &'a Membership,
    /// Slots on fast targets.
    pool: FastPool,
    /// Tasks that wait for a slot on a fast target.
    waiting: usize,
    settings: Settings,
    now: Instant,
}

impl<'a> Placer<'a> {
    pub(super) fn new(
        trackers: &'a BTreeMap<Target, Tracker>,
        membership: &'a Membership,
        speeds: &Estimator,
        pool: FastPool,
        settings: Settings,
        now: Instant,
    ) -> Self {
        let is_usable = |tracker: &&Tracker| {
            tracker.entry.state == directory::State::Ready
                && membership.has_claim(&tracker.entry.zone)
        };
        let targets = trackers.values().filter(is_usable).map(|tracker| {
            let name = &tracker.entry.name;
            Availability {
                tracker,
                free: tracker.available(now),
                factor: speeds.slowness(name, now).exp(),
                suspect: speeds.is_failing(name, now) || is_stuck(tracker, now),
                held_until: None,
                max_silence: tracker.max_silence(now),
                placed: Vec::new(),
            }
        });
        Self { targets: targets.collect(), membership, pool, waiting: 0, settings, now }
    }

    /// Chooses a target for a task and reserves the task's resources there. Returns `None` if the
    /// task should not start now. An isolated task gets a target that runs nothing else.
    pub(super) fn place(&mut self, queued: &QueuedTask, isolated: bool) -> Option<Placement> {
        let silence = self.silence(queued);
        let mut candidates = Vec::new();
        let mut healthy = Vec::new();
        for (index, availability) in self.targets.iter().enumerate() {
            if !is_eligible(&availability.tracker.entry, queued) {
                continue;
            }
            let expected = self.expected(availability, queued);
            if !availability.suspect {
                healthy.push(self.factor(availability, queued));
            }
            let Some(free) =
                availability.free.filter(|free| free.covers(&queued.requirements.resources))
            else {
                continue;
            };
            if isolated && !availability.is_idle() {
                continue;
            }
            let is_held = availability.held_until.is_some_and(|until| expected > until);
            let is_allowed =
                availability.allows_another(queued) && availability.allows_silence(silence);
            if is_allowed && !is_held {
                candidates.push(Candidate { index, expected, free, suspect: availability.suspect });
            }
        }
        let fastest = reference::of(healthy).or_else(|| {
            // All targets are suspect, and a suspect target is better than none.
            candidates.iter_mut().for_each(|candidate| candidate.suspect = false);
            let factor = |one: &Candidate| self.factor(&self.targets[one.index], queued);
            reference::of(candidates.iter().map(factor).collect())
        });
        let fastest = queued.average_run.mul_f64(fastest?);
        let fast = self.fast(queued, &candidates, fastest);
        let Choice::Start(index) = choose(queued, &candidates, fast, &Outlook::default(), self.now)
        else {
            if isolated {
                self.hold_idle_for(queued);
            } else if queued.is_long(self.now) {
                self.waiting += 1;
                self.hold_for(queued, fast.fastest_run);
            }
            return None;
        };
        let expected = self.expected(&self.targets[index], queued);
        let availability = &mut self.targets[index];
        let free =
            availability.free.map(|free| free.saturating_sub(&queued.requirements.resources));
        availability.free = free.filter(|_| !isolated);
        availability.placed.push(queued.task.clone());
        Some(Placement {
            target: availability.tracker.entry.name.clone(),
            expected,
            fastest_run: fast.fastest_run,
            isolated,
        })
    }

    /// Holds the target that is idle first for a task that must run alone.
    fn hold_idle_for(&mut self, queued: &QueuedTask) {
        let silence = self.silence(queued);
        let can_take = |availability: &Availability<'_>| {
            availability.held_until.is_none()
                && !availability.is_idle()
                && is_eligible(&availability.tracker.entry, queued)
                && availability.allows_silence(silence)
        };
        let idle = self.targets.iter().enumerate();
        let idle = idle.filter(|(_, availability)| can_take(availability));
        let idle = idle.filter_map(|(index, availability)| {
            Some((availability.time_until_idle(self.now)?, index))
        });
        if let Some((until, index)) = idle.min() {
            self.targets[index].held_until = Some(until);
        }
    }

    /// Holds the fast target that first has enough resources for a long task. Otherwise smaller
    /// tasks would take each part of it that becomes free.
    fn hold_for(&mut self, queued: &QueuedTask, fastest_run: Duration) {
        let resources = &queued.requirements.resources;
        let silence = self.silence(queued);
        let ready_in = |availability: &Availability<'_>| {
            let is_fast_target =
                !availability.suspect && is_fast(self.expected(availability, queued), fastest_run);
            let is_unheld = availability.held_until.is_none()
                && is_eligible(&availability.tracker.entry, queued);
            if is_fast_target && is_unheld && availability.allows_silence(silence) {
                availability.time_until_free(resources, self.now)
            } else {
                None
            }
        };
        let ready = self.targets.iter().enumerate();
        let ready =
            ready.filter_map(|(index, availability)| Some((ready_in(availability)?, index)));
        if let Some((until, index)) = ready.min() {
            self.targets[index].held_until = Some(until);
        }
    }

    /// Time since the task's owner was heard. It is zero for a shared task, whose grant will bring a
    /// new word of its owner.
    fn silence(&self, queued: &QueuedTask) -> Duration {
        let heard_at = self.membership.last_word(&queued.owner, self.now);
        let heard_at = heard_at.filter(|_| queued.is_exclusive());
        heard_at.map_or(Duration::ZERO, |at| self.now.duration_since(at))
    }

    /// Whether the task's owner has been silent for too long to start the task on some of the targets
    /// that may get new tasks.
    pub(super) fn is_owner_silent(&self, queued: &QueuedTask) -> bool {
        let silence = self.silence(queued);
        let mut open = self.targets.iter().filter(|availability| availability.free.is_some());
        open.any(|availability| !availability.allows_silence(silence))
    }

    fn expected(&self, availability: &Availability<'_>, queued: &QueuedTask) -> Duration {
        queued.average_run.mul_f64(self.factor(availability, queued))
    }

    /// Factor on the task's run time on a target.
    fn factor(&self, availability: &Availability<'_>, queued: &QueuedTask) -> f64 {
        let rack = queued.requirements.preferred_rack.as_ref();
        let is_remote = rack.is_some_and(|rack| !availability.tracker.entry.labels.contains(rack));
        let factor = if is_remote { self.settings.remote_factor } else { 1.0 };
        availability.factor * factor
    }

    /// Capacity of the fast targets, counted in tasks of the size of `queued`.
    fn fast(
        &self,
        queued: &QueuedTask,
        candidates: &[Candidate],
        fastest_run: Duration,
    ) -> FastTargets {
        let task_cpu_millis = queued.requirements.resources.cpu_millis.max(1);
        let is_healthy = |availability: &&Availability<'_>| {
            !availability.suspect && is_eligible(&availability.tracker.entry, queued)
        };
        let is_fast_target = |availability: &&Availability<'_>| {
            is_fast(self.expected(availability, queued), fastest_run)
        };
        let slots = self.targets.iter().filter(is_healthy).filter(is_fast_target);
        let free = candidates.iter().filter(|candidate| is_fast(candidate.expected, fastest_run));
        FastTargets {
            fastest_run,
            free_slots: free
                .map(|candidate| candidate.free.cpu_millis / task_cpu_millis)
                .fold(0, u64::saturating_add),
            slots: slots
                .map(|availability| {
                    availability.tracker.entry.capacity.cpu_millis / task_cpu_millis
                })
                .fold(0, u64::saturating_add),
            wait: self.pool.wait(self.waiting),
        }
    }
}

impl Availability<'_> {
    /// Expected time until enough runs have ended to free these resources; `None` if they can't be
    /// freed or no task may start on the target.
    fn time_until_free(&self, resources: &Resources, now: Instant) -> Option<Duration> {
        let mut free = self.free?;
        let mut runs: Vec<_> = self.tracker.attempts().collect();
        runs.sort_by_key(|(_, attempt)| end_times::remaining(attempt, now));
        let mut after = Duration::ZERO;
        for (_, attempt) in runs {
            if free.covers(resources) {
                break;
            }
            free = free + attempt.resources;
            after = end_times::remaining(attempt, now);
        }
        free.covers(resources).then_some(after)
    }

    /// Whether nothing runs on the target and nothing was placed there in this pass.
    fn is_idle(&self) -> bool {
        self.tracker.is_idle() && self.placed.is_empty()
    }

    /// Expected time until all runs have ended; `None` if no task may start on the target.
    fn time_until_idle(&self, now: Instant) -> Option<Duration> {
        self.free?;
        let runs = self.tracker.attempts();
        Some(runs.map(|(_, attempt)| end_times::remaining(attempt, now)).max().unwrap_or_default())
    }

    /// Whether a task may start whose owner was heard this long ago.
    fn allows_silence(&self, silence: Duration) -> bool {
        self.max_silence.is_some_and(|max| silence <= max)
    }

    /// Whether one more task of the step stays within the limit for one target.
    fn allows_another(&self, queued: &QueuedTask) -> bool {
        let Some(limit) = queued.requirements.max_per_target else {
            return true;
        };
        let same_step = |task: &&Task| task.job == queued.task.job && task.step == queued.task.step;
        let placed = self.placed.iter().filter(same_step).count();
        self.tracker.count_in_step(&queued.task) as usize + placed < limit as usize
    }
}

fn is_eligible(entry: &Entry, queued: &QueuedTask) -> bool {
    entry.service == queued.service
        && queued
            .requirements
            .required_label
            .as_ref()
            .is_none_or(|label| entry.labels.contains(label))
        && entry.capacity.covers(&queued.requirements.resources)
}

fn is_overdue(attempt: &Attempt, now: Instant) -> bool {
    let limit = attempt.expected.mul_f64(OVERDUE_FACTOR).max(MIN_OVERDUE);
    now.duration_since(attempt.sent_at) > limit
}

/// Whether all of at least two runs on a target are overdue, so that it hangs or has slowed down.
pub(super) fn is_stuck(tracker: &Tracker, now: Instant) -> bool {
    let running = tracker.attempts().count();
    let overdue = tracker.attempts().filter(|(_, attempt)| is_overdue(attempt, now)).count();
    overdue >= 2 && overdue == running
}

/// Whether a target hangs: runs of two different jobs are overdue. Overdue runs of a single job
/// don't count, since all its tasks may take long.
pub(super) fn is_hung(tracker: &Tracker, now: Instant) -> bool {
    let counts = |(_, attempt): &(&Task, &Attempt)| !attempt.recalled && is_overdue(attempt, now);
    let mut jobs = tracker.attempts().filter(counts).map(|(task, _)| &task.job);
    jobs.next().is_some_and(|first| jobs.any(|other| other != first))
}

/// Ratio of the run time on the median target to that on an average one.
pub(super) fn median_factor(
    trackers: &BTreeMap<Target, Tracker>,
    speeds: &Estimator,
    now: Instant,
) -> f64 {
    let mut slowness: Vec<f64> = trackers.keys().map(|name| speeds.slowness(name, now)).collect();
    slowness.sort_by(f64::total_cmp);
    slowness.get(slowness.len() / 2).copied().unwrap_or_default().exp()
}

/// Ratio of the run time on the fastest targets to that on an average one; at most 1.
pub(super) fn fastest_factor(
    trackers: &BTreeMap<Target, Tracker>,
    speeds: &Estimator,
    now: Instant,
) -> f64 {
    let mut slowness: Vec<f64> = trackers.keys().map(|name| speeds.slowness(name, now)).collect();
    slowness.sort_by(f64::total_cmp);
    reference::of_sorted_logarithms(&slowness).map_or(1.0, |factor| factor.min(1.0))
}
