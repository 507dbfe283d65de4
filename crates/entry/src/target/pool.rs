//! All slots that this entry may use, indexed so that the best free slot is found without a scan.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::config::{Resources, TargetConfig};
use coltsfootshunt_core::name::{Kind, Target};
use coltsfootshunt_core::submission::Incarnation;
use serde::{Deserialize, Serialize};

use super::{Allocation, Departures, Rates, Status};

/// At most one in this many own targets is ejected at once. With two targets, one may be ejected.
const MIN_TARGETS_PER_EJECTION: usize = 3;

/// Identifier of one allocation in the pool, never used again. Own targets keep theirs as long as
/// the process runs, while each loan adds new ones.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AllocationId(u64);

/// A slot that was taken for a task.
#[derive(Clone, Debug)]
pub struct Slot {
    /// Allocation that the slot belongs to.
    pub allocation: AllocationId,
    /// Configuration of the target.
    pub config: Arc<TargetConfig>,
}

/// Which slots a task may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ownership {
    /// Own and borrowed slots.
    Any,
    /// Only slots of targets that this entry is steward of.
    Own,
}

/// Slots of one target that are lent, returned or held on loan.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LentSlots {
    /// Name of the target.
    pub target: Target,
    /// Number of slots.
    pub slots: u32,
}

/// Sort key of an allocation with free slots: own before borrowed, then by slowness, then by busy
/// slots.
type SortKey = (bool, u16, u32, AllocationId);

/// All slots that this entry may use, own and borrowed.
#[derive(Debug, Default)]
pub struct Pool {
    pub(super) allocations: HashMap<AllocationId, Allocation>,
    pub(super) by_target: HashMap<(Target, Option<Incarnation>), AllocationId>,
    pub(super) by_lender: BTreeMap<Incarnation, BTreeSet<AllocationId>>,
    // Allocations with free slots, grouped by the resources of their targets.
    free: BTreeMap<Resources, BTreeSet<SortKey>>,
    // The key under which an allocation is in `free`.
    keys: HashMap<AllocationId, SortKey>,
    rates: Rates,
    pub(super) next_id: u64,
    own_free: u32,
    own_usable: u32,
    own_lent: u32,
    busy: u32,
    borrowed: u32,
    borrowed_idle: u32,
    ejected: usize,
    own_targets: usize,
}

impl Pool {
    /// Makes this entry the steward of exactly `targets`. Allocations of other own targets are
    /// closed, and removed once they are idle.
    pub fn configure(&mut self, targets: &[Arc<TargetConfig>], departures: &Departures) {
        let configs: HashMap<_, _> =
            targets.iter().map(|config| (config.name.clone(), config)).collect();
        for id in self.own_ids() {
            let config = configs.get(&self.allocations[&id].config.name);
            self.change(id, |allocation| {
                allocation.is_retired = config.is_none();
                allocation.is_closed =
                    allocation.is_retired || departures.contains(&allocation.config.name);
                if let Some(config) = config {
                    allocation.slots = config.slots;
                    allocation.config = Arc::clone(config);
                }
            });
            self.remove_if_unused(id);
        }
        for config in targets {
            if self.by_target.contains_key(&(config.name.clone(), None)) {
                continue;
            }
            let mut allocation = Allocation::own(Arc::clone(config));
            allocation.is_closed = departures.contains(&config.name);
            self.add(allocation);
        }
    }

    /// Closes the allocations of leaving targets, own and borrowed.
    pub fn close_leaving(&mut self, departures: &Departures) {
        let is_leaving = |allocation: &Allocation| departures.contains(&allocation.config.name);
        let ids: Vec<_> = self
            .allocations
            .iter()
            .filter(|(_, allocation)| is_leaving(allocation))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.change(id, |allocation| allocation.is_closed = true);
        }
    }

    /// Whether no slot is free.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.keys.is_empty()
    }

    /// Whether a free slot covers `needs`.
    #[must_use]
    pub fn has_free(&self, needs: &Resources, ownership: Ownership) -> bool {
        self.best_free(needs, ownership).is_some()
    }

    /// Whether any target, free or not, covers `needs`.
    #[must_use]
    pub fn could_serve(&self, needs: &Resources) -> bool {
        self.allocations.values().any(|allocation| allocation.config.has.covers(needs))
    }

    /// Takes the best free slot that covers `needs`.
    pub fn take(&mut self, needs: &Resources, ownership: Ownership) -> Option<Slot> {
        let allocation = self.best_free(needs, ownership)?;
        self.change(allocation, |allocation| allocation.busy += 1);
        let config = Arc::clone(&self.allocations[&allocation].config);
        Some(Slot { allocation, config })
    }

    /// Frees a slot. Does not record how the task ended.
    pub fn release(&mut self, id: AllocationId) {
        self.change(id, |allocation| allocation.busy = allocation.busy.saturating_sub(1));
        self.remove_if_unused(id);
    }

    /// Records the time of a run, where `mean` is the mean run time of the kind.
    pub fn record_run_time(&mut self, id: AllocationId, time: Duration, mean: Duration) {
        self.change(id, |allocation| allocation.record_run(time, mean));
    }

    /// Records whether a run failed. Returns the target if it is ejected because of that.
    pub fn record_result(
        &mut self,
        id: AllocationId,
        kind: &Kind,
        failed: bool,
        now: Instant,
    ) -> Option<Target> {
        let max_ejected = self.own_targets / MIN_TARGETS_PER_EJECTION;
        let can_eject = self.ejected < max_ejected.max(usize::from(self.own_targets > 1));
        let mut rates = std::mem::take(&mut self.rates);
        let mut ejected = false;
        self.change(id, |allocation| {
            let is_active = matches!(allocation.health.status, Status::Active { .. });
            let is_unhealthy =
                allocation.health.record(kind, failed, allocation.config.slots, &mut rates);
            ejected = is_unhealthy && is_active && can_eject && allocation.lender.is_none();
            if ejected {
                allocation.health.eject(now);
            }
        });
        self.rates = rates;
        if !ejected {
            return None;
        }
        self.ejected += 1;
        self.allocations.get(&id).map(|allocation| allocation.config.name.clone())
    }

    /// Limits a target that rejected a task as busy to the slots that are busy now.
    pub fn throttle(&mut self, id: AllocationId) {
        self.change(id, |allocation| allocation.health.throttle(allocation.busy));
    }

    /// The allocation of a target that this entry is steward of.
    #[must_use]
    pub fn find_own(&self, target: &Target) -> Option<AllocationId> {
        self.by_target.get(&(target.clone(), None)).copied()
    }

    /// Allows a probe of each target whose ejection is over. Returns these targets.
    pub fn probe(&mut self, now: Instant) -> Vec<Target> {
        if self.ejected == 0 {
            return Vec::new();
        }
        let mut probed = Vec::new();
        for id in self.own_ids() {
            let mut is_probe = false;
            self.change(id, |allocation| is_probe = allocation.health.probe(now));
            if is_probe {
                self.ejected -= 1;
                probed.push(self.allocations[&id].config.name.clone());
            }
        }
        probed
    }

    /// Own slots that are free.
    #[must_use]
    pub fn own_free(&self) -> u32 {
        self.own_free
    }

    /// Own slots that may run tasks, free or in use.
    #[must_use]
    pub fn own_usable(&self) -> u32 {
        self.own_usable
    }

    /// Own slots that are lent to peers.
    #[must_use]
    pub fn own_lent(&self) -> u32 {
        self.own_lent
    }

    /// Slots borrowed from peers.
    #[must_use]
    pub fn borrowed(&self) -> u32 {
        self.borrowed
    }

    /// Borrowed slots that no task uses.
    #[must_use]
    pub fn borrowed_idle(&self) -> u32 {
        self.borrowed_idle
    }

    /// Slots that run a task of this entry, own and borrowed.
    #[must_use]
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// All allocations, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Allocation> {
        self.allocations.values()
    }

    /// The allocation whose free slot sorts first among those that cover `needs`.
    pub(super) fn best_free(
        &self,
        needs: &Resources,
        ownership: Ownership,
    ) -> Option<AllocationId> {
        let fitting = self.free.iter().filter(|(has, _)| has.covers(needs));
        // Own slots sort before borrowed ones, so the first key of each set suffices.
        let heads = fitting.filter_map(|(_, keys)| keys.first());
        let allowed = heads.filter(|key| ownership == Ownership::Any || !key.0);
        allowed.min().map(|key| key.3)
    }

    fn own_ids(&self) -> Vec<AllocationId> {
        self.allocations
            .iter()
            .filter(|(_, allocation)| allocation.lender.is_none())
            .map(|(id, _)| *id)
            .collect()
    }

    pub(super) fn add(&mut self, allocation: Allocation) {
        let id = AllocationId(self.next_id);
        self.next_id += 1;
        self.by_target.insert((allocation.config.name.clone(), allocation.lender), id);
        self.own_targets += usize::from(allocation.lender.is_none());
        if let Some(lender) = allocation.lender {
            self.by_lender.entry(lender).or_default().insert(id);
        }
        self.count(&allocation, true);
        self.allocations.insert(id, allocation);
        self.index(id);
    }

    /// Changes an allocation and updates the counts and the index of free slots.
    pub(super) fn change(&mut self, id: AllocationId, change: impl FnOnce(&mut Allocation)) {
        let Some(mut allocation) = self.allocations.remove(&id) else {
            return;
        };
        self.count(&allocation, false);
        change(&mut allocation);
        self.count(&allocation, true);
        self.allocations.insert(id, allocation);
        self.index(id);
    }

    fn count(&mut self, allocation: &Allocation, add: bool) {
        let apply = |sum: &mut u32, amount: u32| {
            *sum = if add { *sum + amount } else { *sum - amount };
        };
        apply(&mut self.busy, allocation.busy);
        if allocation.lender.is_some() {
            apply(&mut self.borrowed, allocation.slots);
            apply(&mut self.borrowed_idle, allocation.slots - allocation.busy);
            return;
        }
        apply(&mut self.own_free, allocation.free());
        apply(&mut self.own_usable, allocation.usable());
        apply(&mut self.own_lent, allocation.lent);
    }

    fn index(&mut self, id: AllocationId) {
        let Some(allocation) = self.allocations.get(&id) else {
            return;
        };
        let key = (allocation.lender.is_some(), allocation.slowness_step(), allocation.busy, id);
        let new = (allocation.free() > 0).then_some(key);
        let old = self.keys.get(&id).copied();
        if new == old {
            return;
        }
        let keys = self.free.entry(allocation.config.has).or_default();
        if let Some(old) = old {
            keys.remove(&old);
            self.keys.remove(&id);
        }
        if let Some(new) = new {
            keys.insert(new);
            self.keys.insert(id, new);
        }
    }

    /// Removes an allocation that is idle and either retired or fully returned to its lender.
    pub(super) fn remove_if_unused(&mut self, id: AllocationId) {
        let Some(allocation) = self.allocations.get(&id) else {
            return;
        };
        let returned = allocation.lender.is_some() && allocation.slots == 0;
        if !(returned || allocation.is_retired) || !allocation.is_idle() {
            return;
        }
        if allocation.lender.is_none() {
            self.own_targets -= 1;
            let ejected = matches!(allocation.health.status, Status::Ejected { .. });
            self.ejected -= usize::from(ejected);
        }
        let key = (allocation.config.name.clone(), allocation.lender);
        let resources = allocation.config.has;
        if let Some(sort_key) = self.keys.remove(&id)
            && let Some(keys) = self.free.get_mut(&resources)
        {
            keys.remove(&sort_key);
        }
        if let Some(lender) = allocation.lender
            && let Some(ids) = self.by_lender.get_mut(&lender)
        {
            ids.remove(&id);
            if ids.is_empty() {
                self.by_lender.remove(&lender);
            }
        }
        self.allocations.remove(&id);
        self.by_target.remove(&key);
    }
}
