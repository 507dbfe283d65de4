//! Placement of queued tasks on a steward's targets.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Target;

use super::ends;
use super::pool::Pool;
use crate::directory::{self, Entry};
use crate::job::{Resources, Task};
use crate::lease::{Attempt, Tracker};
use crate::member::Membership;
use crate::placement::{Candidate, Choice, Fast, choose, is_fast};
use crate::queue::QueuedTask;
use crate::speed::Estimator;
use crate::steward::Settings;

/// Multiple of its expected run time after which a run is overdue. About one in thirty healthy runs
/// takes that long.
pub(super) const OVERDUE: f64 = 3.0;
/// Shortest time after which a run is overdue; short runs vary by the network round trip.
pub(super) const OVERDUE_MIN: Duration = Duration::from_millis(120);

/// The target on which a task is to start.
pub(super) struct Placing {
    pub(super) target: Target,
    /// Expected run time on the target.
    pub(super) expected: Duration,
    /// Expected run time on the fastest target, free or not.
    pub(super) best: Duration,
}

/// Availability of one target during a pass.
struct Spot<'a> {
    picture: &'a Tracker,
    /// Free resources; `None` if no task may start.
    free: Option<Resources>,
    /// Ratio of its run times to those of an average target.
    factor: f64,
    suspect: bool,
    /// If the target is held for a queued long task, the expected time until it has enough free
    /// resources. Other tasks start there only if they are expected to end by then.
    kept: Option<Duration>,
    /// Tasks placed on the target during this pass.
    placed: Vec<Task>,
}

/// Places tasks during one pass over the queue and tracks the resources that they take.
pub(super) struct Field<'a> {
    spots: Vec<Spot<'a>>,
    /// Slots on fast targets.
    pool: Pool,
    /// Tasks that wait for a slot on a fast target.
    waiting: usize,
    settings: Settings,
    now: Instant,
}

impl<'a> Field<'a> {
    pub(super) fn new(
        trackers: &'a BTreeMap<Target, Tracker>,
        membership: &Membership,
        speeds: &Estimator,
        pool: Pool,
        settings: Settings,
        now: Instant,
    ) -> Self {
        let usable = |picture: &&Tracker| {
            picture.entry.state == directory::State::Ready
                && membership.has_claim(&picture.entry.zone)
        };
        let spots = trackers.values().filter(usable).map(|picture| {
            let name = &picture.entry.name;
            Spot {
                picture,
                free: picture.available(now),
                factor: speeds.slowness(name, now).exp(),
                suspect: speeds.is_failing(name, now) || is_stuck(picture, now),
                kept: None,
                placed: Vec::new(),
            }
        });
        Self { spots: spots.collect(), pool, waiting: 0, settings, now }
    }

    /// Chooses a target for a task and takes its resources there, if the task should start now.
    pub(super) fn place(&mut self, one: &QueuedTask) -> Option<Placing> {
        let mut candidates = Vec::new();
        let mut fastest = Duration::MAX;
        for (place, spot) in self.spots.iter().enumerate() {
            if !suits(&spot.picture.entry, one) {
                continue;
            }
            let expected = self.expected(spot, one);
            if !spot.suspect {
                fastest = fastest.min(expected);
            }
            let Some(free) = spot.free.filter(|free| free.covers(&one.requirements.resources))
            else {
                continue;
            };
            let is_kept = spot.kept.is_some_and(|until| expected > until);
            if spot.may_spread(one) && !is_kept {
                candidates.push(Candidate { place, expected, free, suspect: spot.suspect });
            }
        }
        if fastest == Duration::MAX {
            // All targets are suspect, and a suspect target is better than none.
            fastest = candidates.iter().map(|one| one.expected).min()?;
            candidates.iter_mut().for_each(|one| one.suspect = false);
        }
        let fast = self.fast(one, &candidates, fastest);
        let Choice::Start(place) = choose(one, &candidates, fast, self.now) else {
            if one.is_long(self.now) {
                self.waiting += 1;
                self.keep(one, fast.best);
            }
            return None;
        };
        let expected = self.expected(&self.spots[place], one);
        let spot = &mut self.spots[place];
        spot.free = spot.free.map(|free| free.saturating_sub(&one.requirements.resources));
        spot.placed.push(one.task.clone());
        Some(Placing { target: spot.picture.entry.name.clone(), expected, best: fast.best })
    }

    /// Holds the fast target that first has enough resources for a long task. Otherwise smaller
    /// tasks would take each part of it that becomes free.
    fn keep(&mut self, one: &QueuedTask, best: Duration) {
        let resources = &one.requirements.resources;
        let ready_of = |spot: &Spot<'_>| {
            let fast = !spot.suspect && is_fast(self.expected(spot, one), best);
            let unkept = spot.kept.is_none() && suits(&spot.picture.entry, one);
            if fast && unkept { spot.room_in(resources, self.now) } else { None }
        };
        let ready = self.spots.iter().enumerate();
        let ready = ready.filter_map(|(place, spot)| Some((ready_of(spot)?, place)));
        if let Some((until, place)) = ready.min() {
            self.spots[place].kept = Some(until);
        }
    }

    fn expected(&self, spot: &Spot<'_>, one: &QueuedTask) -> Duration {
        let rack = one.requirements.preferred_rack.as_ref();
        let away = rack.is_some_and(|rack| !spot.picture.entry.labels.contains(rack));
        let factor = if away { self.settings.remote_factor } else { 1.0 };
        one.typical.mul_f64(spot.factor * factor)
    }

    /// Capacity of the fast targets, counted in tasks of this size.
    fn fast(&self, one: &QueuedTask, candidates: &[Candidate], best: Duration) -> Fast {
        let each = one.requirements.resources.cpu_millis.max(1);
        let sound = |spot: &&Spot<'_>| !spot.suspect && suits(&spot.picture.entry, one);
        let fast = |spot: &&Spot<'_>| is_fast(self.expected(spot, one), best);
        let places = self.spots.iter().filter(sound).filter(fast);
        let free = candidates.iter().filter(|one| is_fast(one.expected, best));
        Fast {
            best,
            free: free.map(|one| one.free.cpu_millis / each).fold(0, u64::saturating_add),
            places: places
                .map(|spot| spot.picture.entry.capacity.cpu_millis / each)
                .fold(0, u64::saturating_add),
            wait: self.pool.wait(self.waiting),
        }
    }
}

impl Spot<'_> {
    /// Expected time until enough runs have ended to free these resources; `None` if they can't be
    /// freed or no task may start on the target.
    fn room_in(&self, resources: &Resources, now: Instant) -> Option<Duration> {
        let mut free = self.free?;
        let mut runs: Vec<_> = self.picture.attempts().collect();
        runs.sort_by_key(|(_, attempt)| ends::left(attempt, now));
        let mut after = Duration::ZERO;
        for (_, attempt) in runs {
            if free.covers(resources) {
                break;
            }
            free = free + attempt.resources;
            after = ends::left(attempt, now);
        }
        free.covers(resources).then_some(after)
    }

    /// Whether one more task of the step stays within the limit for one target.
    fn may_spread(&self, one: &QueuedTask) -> bool {
        let Some(most) = one.requirements.max_per_target else {
            return true;
        };
        let same = |task: &&Task| task.job == one.task.job && task.step == one.task.step;
        let placed = self.placed.iter().filter(same).count();
        self.picture.count_in_step(&one.task) as usize + placed < most as usize
    }
}

fn suits(entry: &Entry, one: &QueuedTask) -> bool {
    entry.service == one.service
        && one.requirements.required_label.as_ref().is_none_or(|label| entry.labels.contains(label))
        && entry.capacity.covers(&one.requirements.resources)
}

fn is_overdue(attempt: &Attempt, now: Instant) -> bool {
    let limit = attempt.expected.mul_f64(OVERDUE).max(OVERDUE_MIN);
    now.duration_since(attempt.sent_at) > limit
}

/// Whether all of at least two runs on a target are overdue, so that it hangs or has slowed down.
pub(super) fn is_stuck(picture: &Tracker, now: Instant) -> bool {
    let running = picture.attempts().count();
    let overdue = picture.attempts().filter(|(_, attempt)| is_overdue(attempt, now)).count();
    overdue >= 2 && overdue == running
}

/// Whether a target hangs: runs of two different jobs are overdue. Overdue runs of a single job
/// don't count, since all its tasks may take long.
pub(super) fn hangs(picture: &Tracker, now: Instant) -> bool {
    let overdue = |(_, attempt): &(&Task, &Attempt)| !attempt.recalled && is_overdue(attempt, now);
    let mut jobs = picture.attempts().filter(overdue).map(|(task, _)| &task.job);
    jobs.next().is_some_and(|first| jobs.any(|other| other != first))
}

/// Ratio of the run time on the median target to that on an average one.
pub(super) fn usual(trackers: &BTreeMap<Target, Tracker>, speeds: &Estimator, now: Instant) -> f64 {
    let mut slowness: Vec<f64> = trackers.keys().map(|name| speeds.slowness(name, now)).collect();
    slowness.sort_by(f64::total_cmp);
    slowness.get(slowness.len() / 2).copied().unwrap_or_default().exp()
}

/// Ratio of the run time on the fastest target to that on an average one; at most 1.
pub(super) fn fastest(
    trackers: &BTreeMap<Target, Tracker>,
    speeds: &Estimator,
    now: Instant,
) -> f64 {
    let slowness = trackers.keys().map(|name| speeds.slowness(name, now));
    slowness.fold(0.0, f64::min).exp()
}
