//! Fast targets of all reachable stewards. The wait of long tasks queued here is estimated over all of
//! them, since shared tasks are queued at other stewards too.

use std::cell::Cell;
use std::time::{Duration, Instant};

use super::targets::{Capacity, Ends, Kept, merge};
use crate::member::Membership;
use crate::routing::{Load, wait_for_end};

/// Slots on fast targets of all reachable stewards.
#[derive(Debug)]
pub(super) struct FastPool<'a> {
    /// Number of average tasks that could start now.
    free_slots: usize,
    /// Ends of the runs at this steward.
    own: &'a Ends,
    /// Times until runs at the others end, the earliest first.
    reported: Vec<Duration>,
    now: Instant,
    /// The last wait that was asked for, with the number of tasks ahead.
    last_wait: Cell<Option<(usize, Duration)>>,
}

impl<'a> FastPool<'a> {
    /// Builds the pool from this steward's capacity and the load reports of the others.
    pub(super) fn new(
        kept: &'a Kept,
        capacity: &Capacity,
        membership: &Membership,
        now: Instant,
    ) -> Self {
        let others = || {
            let stewards = membership.alive().filter(|peer| peer.serves_targets());
            stewards.map(|peer| peer.heartbeat.load)
        };
        let free_elsewhere = others().map(|load| load.free_fast_slots as usize).sum::<usize>();
        let reported = others().flat_map(|load: Load| load.ends().collect::<Vec<_>>());
        let mut reported: Vec<Duration> = reported.collect();
        reported.sort_unstable();
        Self {
            free_slots: capacity.free_fast_slots as usize + free_elsewhere,
            own: kept.sums().fast_ends(),
            reported,
            now,
            last_wait: Cell::new(None),
        }
    }

    /// Expected wait of a task with `others` tasks ahead of it.
    pub(super) fn wait(&self, others: usize) -> Duration {
        let Some(behind) = others.checked_sub(self.free_slots) else {
            return Duration::ZERO;
        };
        if let Some((_, wait)) = self.last_wait.get().filter(|(last, _)| *last == behind) {
            return wait;
        }
        let count = self.own.len() + self.reported.len();
        let last = self.own.last(self.now).max(self.reported.last().copied());
        let nth = |index| {
            let mut times = merge(self.own.times(self.now), self.reported.iter().copied());
            times.nth(index).unwrap_or_default()
        };
        let wait = wait_for_end(behind, count, last, nth);
        self.last_wait.set(Some((behind, wait)));
        wait
    }
}
