//! Capacity of the targets, and whether new tasks would wait too long for it.

use std::time::{Duration, Instant};

use super::Steward;
use super::pool::FastPool;
use super::targets::{Kept, MIN_RUN};
use crate::admission::{is_unlikely, misses_objective};
use crate::member::Membership;
use crate::queue::QueuedTask;
use crate::routing::{EndTimes, Load, MAX_END_TIMES};
use crate::speed::{Estimator, Forecast};

impl Steward {
    /// Returns the expected wait and the slack of a new job if it would be late here. The owner
    /// can't decide this: its view of the load is some heartbeats old, and other owners send tasks
    /// at the same time.
    pub(super) fn overload(
        &self,
        tasks: &[QueuedTask],
        kept: &Kept,
        membership: &Membership,
        now: Instant,
    ) -> Option<(Duration, Duration)> {
        if let Some(shed) = self.shed(tasks, now) {
            return Some(shed);
        }
        let capacity = kept.capacity(false, self.mean_cpu_millis);
        if tasks.iter().any(|queued| queued.is_long(now)) {
            let pool = FastPool::new(kept, &capacity, membership, now);
            return self.long_overload(tasks, &pool, now);
        }
        let latest = tasks.iter().filter_map(QueuedTask::latest_start).min()?;
        let waiting = self.queue.exclusive().count();
        let fits = capacity.free_slots as usize >= waiting + tasks.len();
        if waiting == 0 || capacity.slots == 0 || fits {
            return None;
        }
        let before = self.wait_before(tasks, capacity.rate, now)?;
        let behind = tasks.len().saturating_sub(capacity.free_slots as usize) as f64;
        // Tasks that start at once also free their slots for the rest.
        let run = tasks.iter().map(|queued| queued.average_run).max()?.max(MIN_RUN);
        let completions_per_s =
            kept.sums().ends_per_s() + f64::from(capacity.free_slots) / run.as_secs_f64();
        let wait = Duration::from_secs_f64(before + behind / completions_per_s.max(1.0))
            + self.precedence.backlog();
        let slack = self.slack(tasks, latest, now);
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
        let backlog = self.precedence.backlog();
        let waits: Vec<Duration> =
            (0..tasks.len()).map(|task| pool.wait(before + task) + backlog).collect();
        let slack = queued.deadline.saturating_duration_since(now);
        let fast = Forecast { median: queued.fastest_run, deviation: queued.deviation };
        let slow = queued.probability_in_time(queued.median_run, Duration::ZERO, now);
        let wait = waits.last().copied().unwrap_or_default();
        let unlikely = is_unlikely(fast.probability_all_within(&waits, slack).max(slow), wait);
        unlikely.then_some((wait, slack))
    }

    /// Load to report to other hosts.
    #[must_use]
    pub fn load(&self, membership: &Membership, speeds: &Estimator, now: Instant) -> Load {
        let kept = self.targets.kept(membership, speeds, now);
        let capacity = kept.capacity(true, self.mean_cpu_millis);
        let sums = kept.sums();
        let count = |tasks: usize| u32::try_from(tasks).unwrap_or(u32::MAX);
        let (long, short) = self.queue.count_long_and_short(now);
        let (long, short) = (count(long), count(short));
        // Free slots on fast targets are reserved for the long tasks that wait for them.
        let reserved = long.min(capacity.free_fast_slots);
        let ends: EndTimes = sums.fast_ends().times(now).take(MAX_END_TIMES).collect();
        let work = self.work_by_level(now);
        let load = Load {
            slots: capacity.slots,
            free_slots: capacity.free_slots.saturating_sub(short.saturating_add(reserved)),
            free_fast_slots: capacity.free_fast_slots.saturating_sub(long),
            queued_long: long,
            fast_ends_ms: ends.earliest_ms(),
            fastest_permille: (sums.fastest_factor() * 1_000.0) as u32,
            completions_per_s: sums.ends_per_s() as u32,
            waits_ms: work.map(|work| (work / capacity.rate.max(1.0) * 1_000.0) as u32),
        };
        self.precedence.with_backlog(load, now)
    }
}
