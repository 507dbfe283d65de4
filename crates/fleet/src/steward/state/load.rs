//! What the targets can do, and whether work that comes now would wait too long for them.

use std::time::{Duration, Instant};

use super::Steward;
use super::ends::on_fast;
use super::place::fastest;
use super::pool::Pool;
use crate::admission::{is_unlikely, misses_objective};
use crate::directory;
use crate::job::Resources;
use crate::lease::Tracker;
use crate::member::Membership;
use crate::placement::is_fast;
use crate::queue::QueuedTask;
use crate::routing::{EndTimes, Load};
use crate::speed::{Estimator, Forecast};

/// Shortest run time that counts: the way to a target and back.
const SHORTEST_RUN: Duration = Duration::from_millis(5);

/// What some targets can do, for tasks of the usual size.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Capacity {
    places: u32,
    free: u32,
    pub(super) free_fast: u32,
    /// Work of an average target that they do in a second with all places taken, in thousandths of a
    /// core times seconds.
    rate: f64,
}

impl Steward {
    /// Wait and slack of a job that comes now and would be late. Its owner's view of the load is some
    /// heartbeats old, and others send here at the same time.
    pub(super) fn crowd(
        &self,
        tasks: &[QueuedTask],
        membership: &Membership,
        speeds: &Estimator,
        now: Instant,
    ) -> Option<(Duration, Duration)> {
        let capacity = self.capacity(&self.usable(now), speeds, now);
        if tasks.iter().any(|one| one.is_long(now)) {
            let pool = self.pool(&capacity, membership, speeds, now);
            return self.long_crowd(tasks, &pool, now);
        }
        let latest = tasks.iter().filter_map(QueuedTask::latest_start).min()?;
        let waiting = self.line.own().count();
        let fits = capacity.free as usize >= waiting + tasks.len();
        if waiting == 0 || capacity.places == 0 || fits {
            return None;
        }
        let before = self.line.work_before(latest, now) / capacity.rate.max(1.0);
        let behind = tasks.len().saturating_sub(capacity.free as usize) as f64;
        // What starts at once makes way for the rest, too.
        let run = tasks.iter().map(|one| one.typical).max()?.max(SHORTEST_RUN);
        let turnover = self.turnover() + f64::from(capacity.free) / run.as_secs_f64();
        let wait = Duration::from_secs_f64(before + behind / turnover.max(1.0));
        let slack = latest.saturating_duration_since(now);
        misses_objective(wait, slack).then_some((wait, slack))
    }

    /// The same for work for which only fast targets will do.
    fn long_crowd(
        &self,
        tasks: &[QueuedTask],
        pool: &Pool,
        now: Instant,
    ) -> Option<(Duration, Duration)> {
        let one = tasks.first()?;
        let before = self.line.long(now);
        let waits: Vec<Duration> = (0..tasks.len()).map(|task| pool.wait(before + task)).collect();
        let slack = one.deadline.saturating_duration_since(now);
        let fast = Forecast { median: one.quickest, deviation: one.deviation };
        let slow = one.chance(one.usual, Duration::ZERO, now);
        let wait = waits.last().copied().unwrap_or_default();
        let vain = is_unlikely(fast.probability_all_within(&waits, slack).max(slow), wait);
        vain.then_some((wait, slack))
    }

    /// Targets that may get new work, each with the room that it has left.
    pub(super) fn usable(&self, now: Instant) -> Vec<(&Tracker, Resources)> {
        let ready = |picture: &&Tracker| picture.entry.state == directory::State::Ready;
        let free = |picture| Tracker::available(picture, now).map(|free| (picture, free));
        self.trackers.values().filter(ready).filter_map(free).collect()
    }

    /// What targets can do with tasks of the usual size.
    pub(super) fn capacity(
        &self,
        usable: &[(&Tracker, Resources)],
        speeds: &Estimator,
        now: Instant,
    ) -> Capacity {
        let mut sum = Capacity::default();
        let fastest = fastest(&self.trackers, speeds, now);
        for (picture, free) in usable {
            let all = picture.entry.capacity.cpu_millis as f64;
            let each = self.typical.unwrap_or(all / 2.0).max(1.0);
            let factor = speeds.slowness(&picture.entry.name, now).exp();
            let places = (all / each).floor();
            // A target may have more places than can be counted.
            sum.places = sum.places.saturating_add(places as u32);
            sum.rate += places * each / factor;
            let free = (free.cpu_millis as f64 / each) as u32;
            sum.free = sum.free.saturating_add(free);
            if is_fast(Duration::from_secs_f64(factor), Duration::from_secs_f64(fastest)) {
                sum.free_fast = sum.free_fast.saturating_add(free);
            }
        }
        sum
    }

    /// Ends that can be expected in a second of what runs now.
    fn turnover(&self) -> f64 {
        let running = self.trackers.values().flat_map(Tracker::attempts);
        let expected = running.map(|(_, attempt)| attempt.expected.max(SHORTEST_RUN).as_secs_f64());
        expected.map(f64::recip).sum()
    }

    /// Load to tell other hosts.
    #[must_use]
    pub fn load(&self, membership: &Membership, speeds: &Estimator, now: Instant) -> Load {
        let mut usable = self.usable(now);
        usable.retain(|(picture, _)| membership.has_claim(&picture.entry.zone));
        let capacity = self.capacity(&usable, speeds, now);
        let fastest = fastest(&self.trackers, speeds, now);
        let count = |tasks: usize| u32::try_from(tasks).unwrap_or(u32::MAX);
        let long = self.line.long(now);
        let others = count(self.line.own().filter(|one| !one.is_long(now)).count());
        let long = count(long);
        // Fast places are kept for long work that waits for them.
        let kept = long.min(capacity.free_fast);
        let ends: EndTimes = on_fast(&self.trackers, speeds, now).collect();
        let work = self.line.work(now);
        Load {
            slots: capacity.places,
            free_slots: capacity.free.saturating_sub(others.saturating_add(kept)),
            free_fast_slots: capacity.free_fast.saturating_sub(long),
            queued_long: long,
            fast_ends_ms: ends.earliest_ms(),
            fastest_permille: (fastest * 1_000.0) as u32,
            completions_per_s: self.turnover() as u32,
            waits_ms: work.map(|work| (work / capacity.rate.max(1.0) * 1_000.0) as u32),
        }
    }
}
