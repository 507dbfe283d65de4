//! All slots that this entry may use, indexed so that the best free one is found at once.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::config::{Resources, TargetConfig};
use coltsfootshunt_core::name::{Kind, Target};
use coltsfootshunt_core::submission::Incarnation;
use serde::{Deserialize, Serialize};

use super::{Allocation, Departures, Rates, Status};

/// Largest part of the targets that may be ejected at once, as a divisor.
const EJECT_ONE_IN: usize = 3;

/// Stands for one seat of the pool.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AllocationId(u32);

/// A slot that was taken.
#[derive(Clone, Debug)]
pub struct Slot {
    /// Its seat.
    pub allocation: AllocationId,
    /// The target.
    pub config: Arc<TargetConfig>,
}

/// Which slots a task may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ownership {
    /// Own and borrowed ones.
    Any,
    /// Own ones only.
    Own,
}

/// Slots of one target that change hands.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LentSlots {
    /// The target.
    pub target: Target,
    /// Number of slots.
    pub slots: u32,
}

/// Place of a free seat in the order of choice: own first, fast first, idle first.
type Place = (bool, u16, u32, AllocationId);

/// The slots.
#[derive(Debug, Default)]
pub struct Pool {
    pub(super) allocations: HashMap<AllocationId, Allocation>,
    pub(super) by_target: HashMap<(Target, Option<Incarnation>), AllocationId>,
    pub(super) by_lender: BTreeMap<Incarnation, BTreeSet<AllocationId>>,
    free: BTreeMap<Resources, BTreeSet<Place>>,
    places: HashMap<AllocationId, Place>,
    rates: Rates,
    next: u32,
    own_free: u32,
    own_usable: u32,
    own_lent: u32,
    busy: u32,
    borrowed: u32,
    borrowed_idle: u32,
    ejected: usize,
    own_seats: usize,
}

impl Pool {
    /// Makes `targets` the ones that this entry is steward of. Seats of others close, and go when
    /// they are idle.
    pub fn configure(&mut self, targets: &[Arc<TargetConfig>], departures: &Departures) {
        let keep: HashMap<_, _> =
            targets.iter().map(|config| (config.name.clone(), config)).collect();
        for id in self.own_ids() {
            let config = keep.get(&self.allocations[&id].config.name);
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

    /// Closes the seats of a leaving target, own and borrowed.
    pub fn close_leaving(&mut self, departures: &Departures) {
        let leaving = |allocation: &Allocation| departures.contains(&allocation.config.name);
        let ids: Vec<_> =
            self.allocations.iter().filter(|(_, s)| leaving(s)).map(|(id, _)| *id).collect();
        for id in ids {
            self.change(id, |allocation| allocation.is_closed = true);
        }
    }

    /// Whether no slot is free at all.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.places.is_empty()
    }

    /// Whether a slot is free that covers `needs`.
    #[must_use]
    pub fn has_free(&self, needs: &Resources, ownership: Ownership) -> bool {
        self.best(needs, ownership).is_some()
    }

    /// Whether any seat, free or not, covers `needs`.
    #[must_use]
    pub fn could_serve(&self, needs: &Resources) -> bool {
        self.allocations.values().any(|allocation| allocation.config.has.covers(needs))
    }

    /// Takes the best free slot that covers `needs`.
    pub fn take(&mut self, needs: &Resources, ownership: Ownership) -> Option<Slot> {
        let allocation = self.best(needs, ownership)?;
        self.change(allocation, |allocation| allocation.busy += 1);
        let config = Arc::clone(&self.allocations[&allocation].config);
        Some(Slot { allocation, config })
    }

    /// Frees a slot without a word on the target.
    pub fn release(&mut self, id: AllocationId) {
        self.change(id, |allocation| allocation.busy = allocation.busy.saturating_sub(1));
        self.remove_if_unused(id);
    }

    /// Takes in the time of a run.
    pub fn record_run_time(&mut self, id: AllocationId, time: Duration, mean: Duration) {
        self.change(id, |allocation| allocation.record_run(time, mean));
    }

    /// Takes in whether a run failed. Returns the target if it is ejected for that.
    pub fn record_result(
        &mut self,
        id: AllocationId,
        kind: &Kind,
        failed: bool,
        now: Instant,
    ) -> Option<Target> {
        let floor = self.own_seats / EJECT_ONE_IN;
        let room = self.ejected < floor.max(usize::from(self.own_seats > 1));
        let mut rates = std::mem::take(&mut self.rates);
        let mut ejected = false;
        self.change(id, |allocation| {
            let open = matches!(allocation.health.status, Status::Active { .. });
            let bad = allocation.health.note(kind, failed, allocation.config.slots, &mut rates);
            ejected = bad && open && room && allocation.lender.is_none();
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

    /// A target refused a task for want of room.
    pub fn throttle(&mut self, id: AllocationId) {
        self.change(id, |allocation| allocation.health.throttle(allocation.busy));
    }

    /// The seat of a target that this entry is steward of.
    #[must_use]
    pub fn find_own(&self, target: &Target) -> Option<AllocationId> {
        self.by_target.get(&(target.clone(), None)).copied()
    }

    /// Opens ejected targets whose time has come. Returns them.
    pub fn probe(&mut self, now: Instant) -> Vec<Target> {
        if self.ejected == 0 {
            return Vec::new();
        }
        let mut probed = Vec::new();
        for id in self.own_ids() {
            let mut opened = false;
            self.change(id, |allocation| opened = allocation.health.probe(now));
            if opened {
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

    /// Own slots that may be given work, used or not.
    #[must_use]
    pub fn own_usable(&self) -> u32 {
        self.own_usable
    }

    /// Own slots that are lent.
    #[must_use]
    pub fn own_lent(&self) -> u32 {
        self.own_lent
    }

    /// Slots on loan from peers.
    #[must_use]
    pub fn borrowed(&self) -> u32 {
        self.borrowed
    }

    /// Slots on loan that no task uses.
    #[must_use]
    pub fn borrowed_idle(&self) -> u32 {
        self.borrowed_idle
    }

    /// Slots with a task of this entry.
    #[must_use]
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// All seats.
    pub fn iter(&self) -> impl Iterator<Item = &Allocation> {
        self.allocations.values()
    }

    pub(super) fn best(&self, needs: &Resources, ownership: Ownership) -> Option<AllocationId> {
        let classes = self.free.iter().filter(|(has, _)| has.covers(needs));
        // Own places come before borrowed ones, so the first of a class tells enough.
        let heads = classes.filter_map(|(_, places)| places.first());
        let fit = heads.filter(|place| ownership == Ownership::Any || !place.0);
        fit.min().map(|place| place.3)
    }

    fn own_ids(&self) -> Vec<AllocationId> {
        self.allocations
            .iter()
            .filter(|(_, allocation)| allocation.lender.is_none())
            .map(|(id, _)| *id)
            .collect()
    }

    pub(super) fn add(&mut self, allocation: Allocation) {
        let id = AllocationId(self.next);
        self.next = self.next.wrapping_add(1);
        self.by_target.insert((allocation.config.name.clone(), allocation.lender), id);
        self.own_seats += usize::from(allocation.lender.is_none());
        if let Some(lender) = allocation.lender {
            self.by_lender.entry(lender).or_default().insert(id);
        }
        self.count(&allocation, true);
        self.allocations.insert(id, allocation);
        self.index(id);
    }

    /// Changes a seat and keeps counts and index true.
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
        let place = (allocation.lender.is_some(), allocation.slowness_step(), allocation.busy, id);
        let wanted = (allocation.free() > 0).then_some(place);
        let known = self.places.get(&id).copied();
        if wanted == known {
            return;
        }
        let class = self.free.entry(allocation.config.has).or_default();
        if let Some(known) = known {
            class.remove(&known);
            self.places.remove(&id);
        }
        if let Some(wanted) = wanted {
            class.insert(wanted);
            self.places.insert(id, wanted);
        }
    }

    /// Drops a seat that is of no more use.
    pub(super) fn remove_if_unused(&mut self, id: AllocationId) {
        let Some(allocation) = self.allocations.get(&id) else {
            return;
        };
        let returned = allocation.lender.is_some() && allocation.slots == 0;
        if !(returned || allocation.is_retired) || !allocation.is_idle() {
            return;
        }
        if allocation.lender.is_none() {
            self.own_seats -= 1;
            let ejected = matches!(allocation.health.status, Status::Ejected { .. });
            self.ejected -= usize::from(ejected);
        }
        let key = (allocation.config.name.clone(), allocation.lender);
        let class = allocation.config.has;
        if let Some(place) = self.places.remove(&id)
            && let Some(places) = self.free.get_mut(&class)
        {
            places.remove(&place);
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
