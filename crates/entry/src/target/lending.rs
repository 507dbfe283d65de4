//! Lending and borrowing of the pool's slots between entries.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use coltsfootshunt_core::config::{Resources, TargetConfig};
use coltsfootshunt_core::name::Target;
use coltsfootshunt_core::submission::Incarnation;

use super::{Allocation, AllocationId, LentSlots, Ownership, Pool};
use crate::loan::Loan;

impl Pool {
    /// Lends up to `count` free own slots that cover `needs`.
    pub fn lend(&mut self, needs: &Resources, count: u32) -> Vec<LentSlots> {
        let mut lent: BTreeMap<Target, u32> = BTreeMap::new();
        for _ in 0..count {
            let Some(id) = self.best_free(needs, Ownership::Own) else {
                break;
            };
            self.change(id, |allocation| allocation.lent += 1);
            *lent.entry(self.allocations[&id].config.name.clone()).or_default() += 1;
        }
        lent.into_iter().map(|(target, slots)| LentSlots { target, slots }).collect()
    }

    /// Takes back slots that were lent to a peer.
    pub fn reclaim(&mut self, target: &Target, slots: u32) {
        let Some(id) = self.find_own(target) else {
            return;
        };
        self.change(id, |allocation| allocation.lent = allocation.lent.saturating_sub(slots));
        self.remove_if_unused(id);
    }

    /// Adds slots that a peer lends. Tasks may start on them until `expires_at`.
    pub fn borrow(
        &mut self,
        lender: Incarnation,
        config: Arc<TargetConfig>,
        slots: u32,
        expires_at: Instant,
    ) {
        let key = (config.name.clone(), Some(lender));
        match self.by_target.get(&key).copied() {
            Some(id) => self.change(id, |allocation| {
                allocation.slots += slots;
                allocation.expires_at = Some(expires_at);
            }),
            None => self.add(Allocation::borrowed(config, lender, slots, expires_at)),
        }
    }

    /// All borrowed slots, summed by lender.
    #[must_use]
    pub fn loans(&self, now: Instant) -> Vec<Loan> {
        let loan = |(lender, ids): (&Incarnation, &BTreeSet<AllocationId>)| {
            let allocations = ids.iter().filter_map(|id| self.allocations.get(id));
            let mut loan = Loan { lender: *lender, slots: 0, idle: 0, is_expired: false };
            for allocation in allocations {
                loan.slots += allocation.slots;
                loan.idle += allocation.slots - allocation.busy;
                loan.is_expired |= allocation.is_closed
                    || allocation.expires_at.is_some_and(|expires_at| expires_at <= now);
            }
            loan
        };
        self.by_lender.iter().map(loan).collect()
    }

    /// Removes the slots of one lender that no task uses, so that they can be returned to it.
    pub fn remove_idle(&mut self, lender: Incarnation) -> Vec<LentSlots> {
        let ids = self.by_lender.get(&lender).cloned().unwrap_or_default();
        let mut removed = Vec::new();
        for id in ids {
            let allocation = &self.allocations[&id];
            let slots = allocation.slots - allocation.busy;
            if slots == 0 {
                continue;
            }
            removed.push(LentSlots { target: allocation.config.name.clone(), slots });
            self.change(id, |allocation| allocation.slots -= slots);
            self.remove_if_unused(id);
        }
        removed
    }

    /// The peer that lends an allocation; none if this entry is the target's steward.
    #[must_use]
    pub fn lender(&self, id: AllocationId) -> Option<Incarnation> {
        self.allocations.get(&id).and_then(|allocation| allocation.lender)
    }

    /// Slots borrowed from one lender, by target.
    #[must_use]
    pub fn borrowed_from(&self, lender: Incarnation) -> Vec<LentSlots> {
        let from = |allocation: &&Allocation| allocation.lender == Some(lender);
        let lent = |allocation: &Allocation| LentSlots {
            target: allocation.config.name.clone(),
            slots: allocation.slots,
        };
        self.allocations.values().filter(from).map(lent).collect()
    }
}
