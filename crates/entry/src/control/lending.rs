//! Loans of slots between entries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::submission::Incarnation;

use super::{Action, Record, State};
use crate::loan::{Grant, Recall, Request, Return};
use crate::peer::Call;
use crate::target::LentSlots;

/// Time over which granted or returned slots are combined into one call.
const BATCHING_DELAY: Duration = Duration::from_millis(10);
/// Longest queueing time, in mean task run times, for which no slots are borrowed.
const MAX_WAIT_IN_RUN_TIMES: f64 = 0.15;
/// Largest number of slots requested at a time, over all peers.
const MAX_REQUESTED_SLOTS: usize = 256;

impl State {
    /// Requests slots from peers if queued tasks lack only a slot.
    pub(super) fn request_slots(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.queue.is_empty() || self.is_suspended() {
            return;
        }
        let pending = self.borrower.pending_slots(now) as usize;
        let wanted = self.shortage().min(MAX_REQUESTED_SLOTS).saturating_sub(pending);
        if wanted == 0 {
            return;
        }
        let Some(queued) = self.next_to_borrow_for() else {
            return;
        };
        let needs = self.needed_resources(&queued.lane.kind);
        let mut candidates = self.membership.candidates();
        candidates.retain(|candidate| self.borrower.can_request(candidate.peer, now));
        let wanted = u32::try_from(wanted).unwrap_or(u32::MAX);
        for (peer, slots) in self.policy.sharing.plan(wanted, &candidates) {
            let Some(to) = self.membership.get(peer).map(|peer| peer.status.address) else {
                continue;
            };
            self.borrower.record_request(peer, slots, now);
            let borrower = self.membership.identity().incarnation;
            let call = Call::SlotRequest(Request { borrower, needs, slots });
            out.push(Action::CallPeer { to, peer: Some(peer), call });
        }
    }

    /// Number of queued tasks that would wait longer than [`MAX_WAIT_IN_RUN_TIMES`] for running
    /// tasks to end.
    fn shortage(&self) -> usize {
        let slots = f64::from(self.pool.own_usable().max(self.pool.busy()));
        self.queue.len().saturating_sub((slots * MAX_WAIT_IN_RUN_TIMES) as usize)
    }

    /// Handles a peer's request for slots. Work that waits at this entry takes precedence.
    pub(super) fn handle_slot_request(&mut self, request: Request, now: Instant) -> Grant {
        // A peer that requests slots has none free.
        self.membership.set_idle(request.borrower, 0);
        let lent_slots = self.lend(&request, now);
        let granted: u32 = lent_slots.iter().map(|lent| lent.slots).sum();
        if granted == 0 {
            self.lender.queue_request(request, now);
        }
        self.build_grant(lent_slots)
    }

    /// Grants earlier requests that could not be granted, once slots are free.
    pub(super) fn grant_pending_requests(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.lendable_slots() == 0 || !self.lender.has_pending() {
            self.next_grant = self.next_grant.max(now);
            return;
        }
        if now < self.next_grant {
            return;
        }
        self.next_grant = now + BATCHING_DELAY;
        while self.lendable_slots() > 0 {
            let Some(request) = self.lender.next_pending(now) else {
                return;
            };
            let Some(to) = self.membership.get(request.borrower).map(|peer| peer.status.address)
            else {
                continue;
            };
            let lent_slots = self.lend(&request, now);
            if lent_slots.is_empty() {
                continue;
            }
            let call = Call::Grant(self.build_grant(lent_slots));
            out.push(Action::CallPeer { to, peer: Some(request.borrower), call });
        }
    }

    /// Lends free slots to a known peer, unless this entry needs them itself.
    fn lend(&mut self, request: &Request, now: Instant) -> Vec<LentSlots> {
        let is_known = self.membership.get(request.borrower).is_some();
        if !is_known
            || !self.queue.is_empty()
            || self.is_suspended()
            || !self.drain_stage.accepts_work()
        {
            return Vec::new();
        }
        let lent_slots = self.pool.lend(&request.needs, request.slots);
        self.lender.record_grant(request.borrower, &lent_slots, now);
        lent_slots
    }

    fn build_grant(&self, lent_slots: Vec<LentSlots>) -> Grant {
        Grant {
            lender: self.membership.identity().incarnation,
            slots: lent_slots,
            term_ms: u64::try_from(crate::loan::TERM.as_millis()).unwrap_or(u64::MAX),
            idle: self.lendable_slots(),
        }
    }

    /// Adds the slots that a peer granted.
    pub(super) fn handle_grant(&mut self, grant: Grant, now: Instant) {
        let slots = grant.slots.iter().map(|lent| lent.slots).sum();
        self.borrower.record_response(grant.lender, slots);
        self.membership.set_idle(grant.lender, grant.idle);
        let expires_at = now + Duration::from_millis(grant.term_ms);
        for lent in grant.slots {
            // The configuration here does not contain the target. The lender takes the slots back
            // when the next heartbeats show that this entry does not hold them.
            let Some(config) = self.targets.get(&lent.target) else {
                continue;
            };
            self.pool.borrow(grant.lender, Arc::clone(config), lent.slots, expires_at);
        }
        self.pool.close_leaving(&self.departures);
    }

    /// Recalls lent slots if this entry or another borrower needs them.
    pub(super) fn recall_loans(&mut self, now: Instant, out: &mut Vec<Action>) {
        let is_short = self.pool.own_free() == 0 && self.pool.own_lent() > 0;
        if !is_short || (self.shortage() == 0 && !self.lender.has_pending()) {
            return;
        }
        // Borrowing idle slots of another peer takes fewer messages than recalling lent ones.
        if self.membership.iter().any(|peer| peer.status.idle > 0 && !peer.status.draining) {
            return;
        }
        let lender = self.membership.identity().incarnation;
        for borrower in self.lender.begin_recalls(now) {
            let Some(to) = self.membership.get(borrower).map(|peer| peer.status.address) else {
                continue;
            };
            let call = Call::Recall(Recall { lender });
            out.push(Action::CallPeer { to, peer: Some(borrower), call });
        }
    }

    /// Returns idle borrowed slots that are due.
    pub(super) fn return_loans(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.pool.borrowed_idle() == 0 {
            self.next_return = now + BATCHING_DELAY;
            return;
        }
        if now < self.next_return {
            return;
        }
        self.next_return = now + BATCHING_DELAY;
        let has_work = !self.queue.is_empty() && !self.is_suspended();
        for loan in self.pool.loans(now) {
            if !self.borrower.should_return(&loan, has_work, now) {
                continue;
            }
            let lent_slots = self.pool.remove_idle(loan.lender);
            self.borrower.record_return(loan.lender, loan.idle == loan.slots, now);
            self.send_return(loan.lender, lent_slots, out);
        }
    }

    /// Returns slots to their lender, with the results of the tasks that ran on them.
    fn send_return(
        &mut self,
        lender: Incarnation,
        lent_slots: Vec<LentSlots>,
        out: &mut Vec<Action>,
    ) {
        let results = self.run_results.remove(&lender).unwrap_or_default();
        let Some(to) = self.membership.get(lender).map(|peer| peer.status.address) else {
            return;
        };
        let borrower = self.membership.identity().incarnation;
        let call = Call::Return(Return {
            borrower,
            slots: lent_slots,
            results,
            idle: self.lendable_slots(),
        });
        out.push(Action::CallPeer { to, peer: Some(lender), call });
    }

    /// Takes lent slots back and records the borrower's results on their targets.
    pub(super) fn handle_return(&mut self, returned: Return, now: Instant, out: &mut Vec<Action>) {
        self.membership.set_idle(returned.borrower, returned.idle);
        for lent in self.lender.record_return(returned.borrower, &returned.slots) {
            self.pool.reclaim(&lent.target, lent.slots);
        }
        for outcome in returned.results {
            if outcome.leaving {
                self.departures.mark_leaving(outcome.target, now);
                self.pool.close_leaving(&self.departures);
                continue;
            }
            let Some(allocation) = self.pool.find_own(&outcome.target) else {
                continue;
            };
            let ejected = self.pool.record_result(allocation, &outcome.kind, outcome.failed, now);
            out.extend(ejected.map(|target| Action::Record(Record::TargetEjected { target })));
        }
    }

    /// Number of own slots that may be lent.
    pub(super) fn lendable_slots(&self) -> u32 {
        if self.queue.is_empty() && self.drain_stage.accepts_work() {
            self.pool.own_free()
        } else {
            0
        }
    }
}
