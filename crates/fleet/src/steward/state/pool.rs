//! Fast targets of all reachable stewards. The wait of long tasks queued here is estimated over all of
//! them, since shared tasks are queued at other stewards too.

use std::time::{Duration, Instant};

use super::Steward;
use super::end_times::fast_run_ends;
use super::load::Capacity;
use crate::member::Membership;
use crate::routing::{EndTimes, Load};
use crate::speed::Estimator;

/// Slots on fast targets of all reachable stewards.
#[derive(Debug)]
pub(super) struct FastPool {
    /// Number of average tasks that could start now.
    free_slots: usize,
    ends: EndTimes,
}

impl FastPool {
    /// Expected wait of a task with `others` tasks ahead of it.
    pub(super) fn wait(&self, others: usize) -> Duration {
        let behind = others.checked_sub(self.free_slots);
        behind.map_or(Duration::ZERO, |behind| self.ends.wait_after(behind))
    }
}

impl Steward {
    /// Builds the pool from this steward's capacity and the load reports of the others.
    pub(super) fn pool(
        &self,
        own: &Capacity,
        membership: &Membership,
        speeds: &Estimator,
        now: Instant,
    ) -> FastPool {
        let others = || {
            let stewards = membership.alive().filter(|peer| peer.serves_targets());
            stewards.map(|peer| peer.heartbeat.load)
        };
        let free_elsewhere = others().map(|load| load.free_fast_slots as usize).sum::<usize>();
        let reported = others().flat_map(|load: Load| load.ends().collect::<Vec<_>>());
        FastPool {
            free_slots: own.free_fast_slots as usize + free_elsewhere,
            ends: fast_run_ends(&self.trackers, speeds, now).chain(reported).collect(),
        }
    }
}
