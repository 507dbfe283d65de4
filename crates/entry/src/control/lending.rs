//! Slots change hands between entries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::submission::Incarnation;

use super::{Action, Record, State};
use crate::loan::{Grant, Recall, Return, Want};
use crate::peer::Call;
use crate::target::Offer;

/// Time in which slots that change hands are collected into one call.
const COLLECT: Duration = Duration::from_millis(10);
/// Wait that is no reason to borrow, as a part of a task's mean run time.
const PATIENCE: f64 = 0.15;
/// Most slots asked of one peer at once.
const MAX_WANT: usize = 256;

impl State {
    /// Asks peers for slots if work waits that only lacks a slot.
    pub(super) fn borrow(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.queue.is_empty() || self.is_suspended() {
            return;
        }
        let pending = self.borrower.pending(now) as usize;
        let wanted = self.shortage().min(MAX_WANT).saturating_sub(pending);
        if wanted == 0 {
            return;
        }
        let Some(pick) = self.next_to_borrow_for() else {
            return;
        };
        let needs = self.needs(&pick.lane.kind);
        let mut candidates = self.roster.candidates();
        candidates.retain(|candidate| self.borrower.may_ask(candidate.peer, now));
        let wanted = u32::try_from(wanted).unwrap_or(u32::MAX);
        for (peer, slots) in self.policy.sharing.plan(wanted, &candidates) {
            let Some(to) = self.roster.get(peer).map(|peer| peer.brief.address) else {
                continue;
            };
            self.borrower.ask(peer, slots, now);
            let borrower = self.roster.myself().incarnation;
            let call = Call::Want(Want { borrower, needs, slots });
            out.push(Action::CallPeer { to, peer: Some(peer), call });
        }
    }

    /// Waiting tasks beyond those that get a slot soon anyway, since others end.
    fn shortage(&self) -> usize {
        let slots = f64::from(self.pool.own_usable().max(self.pool.busy()));
        self.queue.len().saturating_sub((slots * PATIENCE) as usize)
    }

    /// Answers a peer that wants slots; own waiting work goes first.
    pub(super) fn want(&mut self, want: Want, now: Instant) -> Grant {
        // Who asks has nothing free.
        self.roster.set_idle(want.borrower, 0);
        let offers = self.lend(&want, now);
        let granted: u32 = offers.iter().map(|offer| offer.slots).sum();
        if granted == 0 {
            self.lender.wish(want, now);
        }
        self.grant_of(offers)
    }

    /// Grants what could not be granted before, now that slots are free.
    pub(super) fn lend_to_wishes(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.idle() == 0 || !self.lender.has_wishes() {
            self.next_lend = self.next_lend.max(now);
            return;
        }
        if now < self.next_lend {
            return;
        }
        self.next_lend = now + COLLECT;
        while self.idle() > 0 {
            let Some(want) = self.lender.next_wish(now) else {
                return;
            };
            let Some(to) = self.roster.get(want.borrower).map(|peer| peer.brief.address) else {
                continue;
            };
            let offers = self.lend(&want, now);
            if offers.is_empty() {
                continue;
            }
            let call = Call::Grant(self.grant_of(offers));
            out.push(Action::CallPeer { to, peer: Some(want.borrower), call });
        }
    }

    fn lend(&mut self, want: &Want, now: Instant) -> Vec<Offer> {
        let known = self.roster.get(want.borrower).is_some();
        if !known || !self.queue.is_empty() || self.is_suspended() || !self.stage.accepts() {
            return Vec::new();
        }
        let offers = self.pool.lend(&want.needs, want.slots);
        self.lender.grant(want.borrower, &offers, now);
        offers
    }

    fn grant_of(&self, offers: Vec<Offer>) -> Grant {
        Grant {
            lender: self.roster.myself().incarnation,
            offers,
            term_ms: u64::try_from(crate::loan::TERM.as_millis()).unwrap_or(u64::MAX),
            idle: self.idle(),
        }
    }

    /// Takes slots that a peer lends.
    pub(super) fn granted(&mut self, grant: Grant, now: Instant) {
        let slots = grant.offers.iter().map(|offer| offer.slots).sum();
        self.borrower.answered(grant.lender, slots);
        self.roster.set_idle(grant.lender, grant.idle);
        let until = now + Duration::from_millis(grant.term_ms);
        for offer in grant.offers {
            // A target that this entry's configuration lacks is returned by the lender's count.
            let Some(plan) = self.targets.get(&offer.target) else {
                continue;
            };
            self.pool.borrow(grant.lender, Arc::clone(plan), offer.slots, until);
        }
        self.pool.close(&self.departures);
    }

    /// Asks for lent slots back if there is use for them.
    pub(super) fn recall(&mut self, now: Instant, out: &mut Vec<Action>) {
        let short = self.pool.own_free() == 0 && self.pool.own_lent() > 0;
        if !short || (self.shortage() == 0 && !self.lender.has_wishes()) {
            return;
        }
        // Slots that are idle elsewhere cost fewer messages than loans taken apart.
        if self.roster.iter().any(|peer| peer.brief.idle > 0 && !peer.brief.draining) {
            return;
        }
        let lender = self.roster.myself().incarnation;
        for borrower in self.lender.recall(now) {
            let Some(to) = self.roster.get(borrower).map(|peer| peer.brief.address) else {
                continue;
            };
            let call = Call::Recall(Recall { lender });
            out.push(Action::CallPeer { to, peer: Some(borrower), call });
        }
    }

    /// Gives idle borrowed slots back where it is time.
    pub(super) fn give_back(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.pool.borrowed_spare() == 0 {
            self.next_return = now + COLLECT;
            return;
        }
        if now < self.next_return {
            return;
        }
        self.next_return = now + COLLECT;
        let has_work = !self.queue.is_empty() && !self.is_suspended();
        for loan in self.pool.loans(now) {
            if !self.borrower.returns(&loan, has_work, now) {
                continue;
            }
            let offers = self.pool.give_back(loan.lender);
            self.borrower.returned(loan.lender, loan.spare == loan.slots, now);
            self.send_back(loan.lender, offers, out);
        }
    }

    fn send_back(&mut self, lender: Incarnation, offers: Vec<Offer>, out: &mut Vec<Action>) {
        let usage = self.usage.remove(&lender).unwrap_or_default();
        let Some(to) = self.roster.get(lender).map(|peer| peer.brief.address) else {
            return;
        };
        let borrower = self.roster.myself().incarnation;
        let call = Call::Return(Return { borrower, offers, usage, idle: self.idle() });
        out.push(Action::CallPeer { to, peer: Some(lender), call });
    }

    /// Takes back slots that a peer had, and its word on their targets.
    pub(super) fn returned(&mut self, back: Return, now: Instant, out: &mut Vec<Action>) {
        self.roster.set_idle(back.borrower, back.idle);
        for offer in self.lender.returned(back.borrower, &back.offers) {
            self.pool.restore(&offer.target, offer.slots);
        }
        for usage in back.usage {
            if usage.leaving {
                self.departures.refused(usage.target, now);
                self.pool.close(&self.departures);
                continue;
            }
            let Some(seat) = self.pool.own(&usage.target) else {
                continue;
            };
            let ejected = self.pool.judge(seat, &usage.kind, usage.failed, now);
            out.extend(ejected.map(|target| Action::Record(Record::TargetEjected { target })));
        }
    }

    /// Own slots that others may have.
    pub(super) fn idle(&self) -> u32 {
        if self.queue.is_empty() && self.stage.accepts() { self.pool.own_free() } else { 0 }
    }
}
