//! Fast targets that can run the shared long tasks queued here: those of this steward, and those of
//! the other stewards at which the tasks are queued too.

use std::time::{Duration, Instant};

use super::Steward;
use super::ends::on_fast;
use super::load::Capacity;
use crate::member::Membership;
use crate::routing::{EndTimes, Load};
use crate::speed::Estimator;

/// Slots on fast targets of all reachable stewards.
#[derive(Debug)]
pub(super) struct Pool {
    /// Number of average tasks that could start now.
    free: usize,
    ends: EndTimes,
}

impl Pool {
    /// Expected wait of a task with `others` tasks ahead of it.
    pub(super) fn wait(&self, others: usize) -> Duration {
        let behind = others.checked_sub(self.free);
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
    ) -> Pool {
        let others = || {
            let stewards = membership.alive().filter(|peer| !peer.heartbeat.claims.is_empty());
            stewards.map(|peer| peer.heartbeat.load)
        };
        let elsewhere = others().map(|load| load.free_fast_slots as usize).sum::<usize>();
        let told = others().flat_map(|load: Load| load.ends().collect::<Vec<_>>());
        Pool {
            free: own.free_fast as usize + elsewhere,
            ends: on_fast(&self.trackers, speeds, now).chain(told).collect(),
        }
    }
}
