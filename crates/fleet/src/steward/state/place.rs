//! Where a task may go among a steward's targets.

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

/// A run this many times longer than expected is overdue; about one in thirty runs legitimately is.
pub(super) const OVERDUE: f64 = 3.0;
/// No run is overdue before this: short runs vary by the way there and back.
pub(super) const OVERDUE_MIN: Duration = Duration::from_millis(120);

/// Where a task starts.
pub(super) struct Placing {
    pub(super) target: Target,
    /// Expected run time there.
    pub(super) expected: Duration,
    /// Expected run time on the fastest target, free or not.
    pub(super) best: Duration,
}

/// One target in a [`Field`].
struct Spot<'a> {
    picture: &'a Tracker,
    /// Room that is left; none if nothing may start.
    free: Option<Resources>,
    /// Factor of its run times against the average target's.
    factor: f64,
    suspect: bool,
    /// Time until it has room for a long task that waits for it; others only start there if they are
    /// expected to end before.
    kept: Option<Duration>,
    /// Tasks that were placed on it since the field was drawn up.
    placed: Vec<Task>,
}

/// The targets at one moment, with what is placed on them during one pass over the line.
pub(super) struct Field<'a> {
    spots: Vec<Spot<'a>>,
    /// Places on fast targets.
    pool: Pool,
    /// Tasks that wait for these.
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

    /// Places a task, if it should start now.
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
            // Nothing sound is left at all: a suspect target is better than none.
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

    /// Keeps the fast target that first has room for a long task, so that smaller tasks don't take one half
    /// of it after the other.
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

    /// Room of the fast targets, for tasks like this one.
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
    /// Expected time until its runs have left so much room.
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

    /// Whether one more task of the step keeps to its limit for one target.
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

/// Whether all that runs on a target is overdue: it hangs or has turned slow.
pub(super) fn is_stuck(picture: &Tracker, now: Instant) -> bool {
    let running = picture.attempts().count();
    let overdue = picture.attempts().filter(|(_, attempt)| is_overdue(attempt, now)).count();
    overdue >= 2 && overdue == running
}

/// Whether a target hangs: runs of two jobs are overdue. Tasks of one job may all be long.
pub(super) fn hangs(picture: &Tracker, now: Instant) -> bool {
    let overdue = |(_, attempt): &(&Task, &Attempt)| !attempt.recalled && is_overdue(attempt, now);
    let mut jobs = picture.attempts().filter(overdue).map(|(task, _)| &task.job);
    jobs.next().is_some_and(|first| jobs.any(|other| other != first))
}

/// Factor of the middle one of all targets' run times against the average one.
pub(super) fn usual(trackers: &BTreeMap<Target, Tracker>, speeds: &Estimator, now: Instant) -> f64 {
    let mut slowness: Vec<f64> = trackers.keys().map(|name| speeds.slowness(name, now)).collect();
    slowness.sort_by(f64::total_cmp);
    slowness.get(slowness.len() / 2).copied().unwrap_or_default().exp()
}

/// Factor of the fastest target's run time against the average one.
pub(super) fn fastest(
    trackers: &BTreeMap<Target, Tracker>,
    speeds: &Estimator,
    now: Instant,
) -> f64 {
    let slowness = trackers.keys().map(|name| speeds.slowness(name, now));
    slowness.fold(0.0, f64::min).exp()
}
