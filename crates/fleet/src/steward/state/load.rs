//! Capacity of the targets, and whether new tasks would wait too long for it.

use std::time::{Duration, Instant};

use super::Steward;
use super::end_times::fast_run_ends;
use super::placer::fastest_factor;
use super::pool::FastPool;
use crate::admission::{is_unlikely, misses_objective};
use crate::directory;
use crate::job::Resources;
use crate::lease::Tracker;
use crate::member::Membership;
use crate::placement::is_fast;
use crate::queue::QueuedTask;
use crate::routing::{EndTimes, Load};
use crate::speed::{Estimator, Forecast};

/// Lower limit of expected run times: the round trip to a target.
const MIN_RUN: Duration = Duration::from_millis(5);

/// Capacity of a set of targets, counted in tasks of average size.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Capacity {
    slots: u32,
    free_slots: u32,
    pub(super) free_fast_slots: u32,
    /// Work done per second when all slots are taken, in millicore-seconds of an average target.
    rate: f64,
}

impl Steward {
    /// Returns the expected wait and the slack of a new job if it would be late here. The owner
    /// can't decide this: its view of the load is some heartbeats old, and other owners send tasks
    /// at the same time.
    pub(super) fn overload(
        &self,
        tasks: &[QueuedTask],
        membership: &Membership,
        speeds: &Estimator,
        now: Instant,
    ) -> Option<(Duration, Duration)> {
        let capacity = self.capacity(&self.usable(now), speeds, now);
        if tasks.iter().any(|queued| queued.is_long(now)) {
            let pool = self.pool(&capacity, membership, speeds, now);
            return self.long_overload(tasks, &pool, now);
        }
        let latest = tasks.iter().filter_map(QueuedTask::latest_start).min()?;
        let waiting = self.queue.exclusive().count();
        let fits = capacity.free_slots as usize >= waiting + tasks.len();
        if waiting == 0 || capacity.slots == 0 || fits {
            return None;
        }
        let before = self.queue.work_before(latest, now) / capacity.rate.max(1.0);
        let behind = tasks.len().saturating_sub(capacity.free_slots as usize) as f64;
        // Tasks that start at once also free their slots for the rest.
        let run = tasks.iter().map(|queued| queued.average_run).max()?.max(MIN_RUN);
        let completions_per_s =
            self.completions_per_s() + f64::from(capacity.free_slots) / run.as_secs_f64();
        let wait = Duration::from_secs_f64(before + behind / completions_per_s.max(1.0));
        let slack = latest.saturating_duration_since(now);
        misses_objective(wait, slack).then_some((wait, slack))
    }

    /// Variant of [`Self::overload`] for tasks that need fast targets.
    fn long_overload(
        &self,
        tasks: &[QueuedTask],
        pool: &FastPool,
        now: Instant,
    ) -> Option<(Duration, Duration)> {
        let queued = tasks.first()?;
        let before = self.queue.count_long(now);
        let waits: Vec<Duration> = (0..tasks.len()).map(|task| pool.wait(before + task)).collect();
        let slack = queued.deadline.saturating_duration_since(now);
        let fast = Forecast { median: queued.fastest_run, deviation: queued.deviation };
        let slow = queued.probability_in_time(queued.median_run, Duration::ZERO, now);
        let wait = waits.last().copied().unwrap_or_default();
        let unlikely = is_unlikely(fast.probability_all_within(&waits, slack).max(slow), wait);
        unlikely.then_some((wait, slack))
    }

    /// Targets that may get new tasks, each with its free resources.
    pub(super) fn usable(&self, now: Instant) -> Vec<(&Tracker, Resources)> {
        let is_ready = |tracker: &&Tracker| tracker.entry.state == directory::State::Ready;
        let free = |tracker| Tracker::available(tracker, now).map(|free| (tracker, free));
        self.trackers.values().filter(is_ready).filter_map(free).collect()
    }

    /// Sums up the capacity of targets, in tasks of average size.
    pub(super) fn capacity(
        &self,
        usable: &[(&Tracker, Resources)],
        speeds: &Estimator,
        now: Instant,
    ) -> Capacity {
        let mut sum = Capacity::default();
        let fastest = fastest_factor(&self.trackers, speeds, now);
        for (tracker, free) in usable {
            let cpu_millis = tracker.entry.capacity.cpu_millis as f64;
            let task_cpu_millis = self.mean_cpu_millis.unwrap_or(cpu_millis / 2.0).max(1.0);
            let factor = speeds.slowness(&tracker.entry.name, now).exp();
            let slots = (cpu_millis / task_cpu_millis).floor();
            // A target may report more slots than fit into the counter.
            sum.slots = sum.slots.saturating_add(slots as u32);
            sum.rate += slots * task_cpu_millis / factor;
            let free = (free.cpu_millis as f64 / task_cpu_millis) as u32;
            sum.free_slots = sum.free_slots.saturating_add(free);
            if is_fast(Duration::from_secs_f64(factor), Duration::from_secs_f64(fastest)) {
                sum.free_fast_slots = sum.free_fast_slots.saturating_add(free);
            }
        }
        sum
    }

    /// Expected number of running tasks that end per second.
    fn completions_per_s(&self) -> f64 {
        let running = self.trackers.values().flat_map(Tracker::attempts);
        let expected = running.map(|(_, attempt)| attempt.expected.max(MIN_RUN).as_secs_f64());
        expected.map(f64::recip).sum()
    }

    /// Load to report to other hosts.
    #[must_use]
    pub fn load(&self, membership: &Membership, speeds: &Estimator, now: Instant) -> Load {
        let mut usable = self.usable(now);
        usable.retain(|(tracker, _)| membership.holds(&tracker.entry.zone, &tracker.entry.name));
        let capacity = self.capacity(&usable, speeds, now);
        let fastest = fastest_factor(&self.trackers, speeds, now);
        let count = |tasks: usize| u32::try_from(tasks).unwrap_or(u32::MAX);
        let long = self.queue.count_long(now);
        let short = count(self.queue.exclusive().filter(|queued| !queued.is_long(now)).count());
        let long = count(long);
        // Free slots on fast targets are reserved for the long tasks that wait for them.
        let reserved = long.min(capacity.free_fast_slots);
        let ends: EndTimes = fast_run_ends(&self.trackers, speeds, now).collect();
        let work = self.queue.work(now);
        Load {
            slots: capacity.slots,
            free_slots: capacity.free_slots.saturating_sub(short.saturating_add(reserved)),
            free_fast_slots: capacity.free_fast_slots.saturating_sub(long),
            queued_long: long,
            fast_ends_ms: ends.earliest_ms(),
            fastest_permille: (fastest * 1_000.0) as u32,
            completions_per_s: self.completions_per_s() as u32,
            waits_ms: work.map(|work| (work / capacity.rate.max(1.0) * 1_000.0) as u32),
        }
    }
}
