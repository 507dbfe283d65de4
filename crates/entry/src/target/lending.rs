//! The pool's slots that change hands between entries.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use coltsfootshunt_core::config::{Resources, TargetConfig};
use coltsfootshunt_core::name::Target;
use coltsfootshunt_core::submission::Incarnation;

use super::{Offer, Ownership, Pool, Seat, SeatId};
use crate::loan::Loan;

impl Pool {
    /// Lends up to `count` free own slots that cover `needs`.
    pub fn lend(&mut self, needs: &Resources, count: u32) -> Vec<Offer> {
        let mut offers: BTreeMap<Target, u32> = BTreeMap::new();
        for _ in 0..count {
            let Some(id) = self.best(needs, Ownership::Own) else {
                break;
            };
            self.change(id, |seat| seat.lent += 1);
            *offers.entry(self.seats[&id].plan.name.clone()).or_default() += 1;
        }
        offers.into_iter().map(|(target, slots)| Offer { target, slots }).collect()
    }

    /// Takes back slots that were lent.
    pub fn restore(&mut self, target: &Target, slots: u32) {
        let Some(id) = self.own(target) else {
            return;
        };
        self.change(id, |seat| seat.lent = seat.lent.saturating_sub(slots));
        self.sweep(id);
    }

    /// Adds slots that a peer lends.
    pub fn borrow(
        &mut self,
        lender: Incarnation,
        plan: Arc<TargetConfig>,
        slots: u32,
        until: Instant,
    ) {
        let key = (plan.name.clone(), Some(lender));
        match self.by_target.get(&key).copied() {
            Some(id) => self.change(id, |seat| {
                seat.slots += slots;
                seat.until = Some(until);
            }),
            None => self.add(Seat::borrowed(plan, lender, slots, until)),
        }
    }

    /// The loans, by lender.
    #[must_use]
    pub fn loans(&self, now: Instant) -> Vec<Loan> {
        let loan = |(lender, ids): (&Incarnation, &BTreeSet<SeatId>)| {
            let seats = ids.iter().filter_map(|id| self.seats.get(id));
            let mut loan = Loan { lender: *lender, slots: 0, spare: 0, over: false };
            for seat in seats {
                loan.slots += seat.slots;
                loan.spare += seat.slots - seat.busy;
                loan.over |= seat.closed || seat.until.is_some_and(|until| until <= now);
            }
            loan
        };
        self.by_lender.iter().map(loan).collect()
    }

    /// Takes out the slots of one lender that no task uses.
    pub fn give_back(&mut self, lender: Incarnation) -> Vec<Offer> {
        let ids = self.by_lender.get(&lender).cloned().unwrap_or_default();
        let mut offers = Vec::new();
        for id in ids {
            let seat = &self.seats[&id];
            let slots = seat.slots - seat.busy;
            if slots == 0 {
                continue;
            }
            offers.push(Offer { target: seat.plan.name.clone(), slots });
            self.change(id, |seat| seat.slots -= slots);
            self.sweep(id);
        }
        offers
    }

    /// Who lends a seat; none where this entry is the steward.
    #[must_use]
    pub fn lender(&self, id: SeatId) -> Option<Incarnation> {
        self.seats.get(&id).and_then(|seat| seat.lender)
    }

    /// Slots borrowed from one lender.
    #[must_use]
    pub fn holding(&self, lender: Incarnation) -> Vec<Offer> {
        let from = |seat: &&Seat| seat.lender == Some(lender);
        let offer = |seat: &Seat| Offer { target: seat.plan.name.clone(), slots: seat.slots };
        self.seats.values().filter(from).map(offer).collect()
    }
}
