//! Work: waiting tasks meet free slots, own and borrowed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::config::Resources;
use coltsfootshunt_core::submission::Incarnation;

use super::{Action, Attempt, Note, State};
use crate::dispatch::{Lane, Pick};
use crate::loan::{Grant, Recall, Return, Usage, Want};
use crate::peer::Call;
use crate::submission::{End, Verdict};
use crate::target::{Offer, Refused, Report, Start, Taken, Whose};

/// Time in which slots that change hands are collected into one call.
const COLLECT: Duration = Duration::from_millis(10);
/// Wait that is no reason to borrow, as a part of a task's mean run time.
const PATIENCE: f64 = 0.15;
/// Most slots asked of one peer at once.
const MAX_WANT: usize = 256;

impl State {
    pub(super) fn ended(
        &mut self,
        attempt: &Attempt,
        report: Report,
        now: Instant,
        out: &mut Vec<Action>,
    ) {
        self.pool.release(attempt.seat);
        self.shares.leave(&attempt.team);
        self.reserve.leave(attempt.long);
        self.learn(attempt, &report, now, out);
        self.conclude(attempt, report.end, now, out);
    }

    /// Learns from a run: about the kind, the target, and for the target's steward.
    fn learn(&mut self, attempt: &Attempt, report: &Report, now: Instant, out: &mut Vec<Action>) {
        if matches!(report.end, End::Output(_)) {
            if let Some(profile) = self.book.profile(&attempt.kind) {
                self.pool.learn(attempt.seat, report.took, profile.mean());
            }
            self.book.record(&attempt.kind, report.took);
        }
        match report.refused {
            Some(Refused::Busy) => return self.pool.throttle(attempt.seat),
            Some(Refused::Leaving) => self.leaving(attempt, now, out),
            None => {}
        }
        let failed = !matches!(report.end, End::Output(_)) && report.refused.is_none();
        match attempt.lender {
            Some(lender) => self.note_usage(attempt, lender, failed, report.refused),
            None => self.judge(attempt, failed, now, out),
        }
    }

    fn judge(&mut self, attempt: &Attempt, failed: bool, now: Instant, out: &mut Vec<Action>) {
        let ejected = self.pool.judge(attempt.seat, &attempt.kind, failed, now);
        out.extend(ejected.map(|target| Action::Note(Note::Ejected { target })));
    }

    fn leaving(&mut self, attempt: &Attempt, now: Instant, out: &mut Vec<Action>) {
        self.departures.refused(attempt.target.clone(), now);
        self.pool.close(&self.departures);
        out.push(Action::Note(Note::Leaving { target: attempt.target.clone() }));
    }

    fn note_usage(
        &mut self,
        attempt: &Attempt,
        lender: Incarnation,
        failed: bool,
        refused: Option<Refused>,
    ) {
        let usage = Usage {
            target: attempt.target.clone(),
            kind: attempt.kind.clone(),
            failed,
            leaving: refused == Some(Refused::Leaving),
        };
        self.usage.entry(lender).or_default().push(usage);
    }

    /// What the end of an attempt means for its submission.
    fn conclude(&mut self, attempt: &Attempt, end: End, now: Instant, out: &mut Vec<Action>) {
        let sequence = attempt.sequence;
        let id = self.ledger.id(sequence);
        match &end {
            End::Output(_) => {}
            End::NotStarted => out.push(Action::Note(Note::NotStarted {
                id,
                task: attempt.task,
                target: attempt.target.clone(),
            })),
            End::Fault(fault) => out.push(Action::Note(Note::Faulted {
                id,
                task: attempt.task,
                target: attempt.target.clone(),
                fault: fault.clone(),
            })),
        }
        let Some(open) = self.ledger.get_mut(sequence) else {
            return;
        };
        let budget = &mut self.budget;
        match open.end(attempt.task, &attempt.target, end, now, || budget.spend()) {
            Verdict::Continue => {
                // A job that has failed starts no more of its tasks.
                if !open.startable_any() {
                    self.queue.remove(sequence);
                }
            }
            Verdict::Again => {
                let (job, since) = (Arc::clone(&open.job), open.since);
                self.enqueue(sequence, &job, since, [attempt.task]);
            }
            Verdict::Finished(answer) => self.close(sequence, &answer, now, out),
        }
    }

    /// Starts waiting tasks on free slots.
    pub(super) fn dispatch(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.is_held() {
            return;
        }
        while let Some(pick) = self.next_with_slot() {
            if self.is_hopeless(&pick, now) {
                self.give_up(&pick, now, out);
                continue;
            }
            let needs = self.needs(&pick.lane);
            let Some(taken) = self.pool.take(&needs, self.whose(&pick.lane)) else {
                return;
            };
            self.queue.take(&pick);
            self.start(&pick, &taken, now, out);
        }
    }

    /// The next task that has a slot to go to.
    fn next_with_slot(&self) -> Option<Pick> {
        let long_may = self.reserve.allows_long(self.pool.own_usable());
        self.queue.peek(&self.shares, self.slots(), |lane| {
            let allowed = long_may || !self.book.is_long(&lane.kind);
            allowed && self.pool.has_free(&self.needs(lane), self.whose(lane))
        })
    }

    /// The next task that a borrowed slot would do for.
    fn next_to_borrow_for(&self) -> Option<Pick> {
        self.queue.peek(&self.shares, self.slots(), |lane| self.whose(lane) == Whose::Any)
    }

    fn slots(&self) -> u32 {
        self.pool.own_usable() + self.pool.borrowed()
    }

    /// Long work stays on own slots, where the reserve for short work bounds it.
    fn whose(&self, lane: &Lane) -> Whose {
        if self.book.is_long(&lane.kind) { Whose::Own } else { Whose::Any }
    }

    /// Whether the job can't be whole by its deadline even if this task starts now. A job of which
    /// nothing has started yet gives way earlier, since that costs nothing.
    fn is_hopeless(&self, pick: &Pick, now: Instant) -> bool {
        /// Chance that a job needs to be started at all.
        const FAIR: f64 = 0.5;
        /// Chance below which a started one is given up.
        const SLIGHT: f64 = 0.05;
        let open = self.ledger.get(pick.sequence);
        let profile = self.book.profile(&pick.lane.kind);
        let Some((open, profile)) = open.zip(profile) else {
            return false;
        };
        let needed = if open.is_untouched() {
            profile.quantile_of_most(FAIR, open.job.tasks.len())
        } else {
            profile.quantile(SLIGHT)
        };
        now + needed > open.due
    }

    fn give_up(&mut self, pick: &Pick, now: Instant, out: &mut Vec<Action>) {
        self.queue.remove(pick.sequence);
        if let Some(open) = self.ledger.get_mut(pick.sequence) {
            let answer = open.expire(now);
            self.close(pick.sequence, &answer, now, out);
        }
    }

    fn start(&mut self, pick: &Pick, taken: &Taken, now: Instant, out: &mut Vec<Action>) {
        let lender = self.pool.lender(taken.seat);
        let id = self.ledger.id(pick.sequence);
        let startable = self
            .ledger
            .get_mut(pick.sequence)
            .and_then(|open| open.start(pick.task, &taken.plan.name, now).then_some(open));
        let Some(open) = startable else {
            self.pool.release(taken.seat);
            return;
        };
        let start = Start {
            address: taken.plan.address,
            label: format!("{id}/{}", pick.task).into(),
            kind: pick.lane.kind.clone(),
            input: Arc::clone(&open.job.tasks[pick.task]),
            within: open.due.saturating_duration_since(now),
            decided: now,
        };
        let long = self.book.is_long(&pick.lane.kind);
        let attempt = Attempt {
            sequence: pick.sequence,
            task: pick.task,
            seat: taken.seat,
            target: taken.plan.name.clone(),
            lender,
            kind: pick.lane.kind.clone(),
            team: pick.lane.team.clone(),
            long,
        };
        self.shares.take(&pick.lane.team);
        self.reserve.take(long);
        self.budget.earn();
        self.started += 1;
        out.push(Action::Start(attempt, start));
    }

    /// Asks peers for slots if work waits that only lacks a slot.
    pub(super) fn borrow(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.queue.is_empty() || self.is_held() {
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
        let needs = self.needs(&pick.lane);
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
            out.push(Action::Call { to, peer: Some(peer), call });
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
            out.push(Action::Call { to, peer: Some(want.borrower), call });
        }
    }

    fn lend(&mut self, want: &Want, now: Instant) -> Vec<Offer> {
        let known = self.roster.get(want.borrower).is_some();
        if !known || !self.queue.is_empty() || self.is_held() || !self.stage.accepts() {
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
        let lender = self.roster.myself().incarnation;
        for borrower in self.lender.recall(now) {
            let Some(to) = self.roster.get(borrower).map(|peer| peer.brief.address) else {
                continue;
            };
            let call = Call::Recall(Recall { lender });
            out.push(Action::Call { to, peer: Some(borrower), call });
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
        let has_work = !self.queue.is_empty() && !self.is_held();
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
        out.push(Action::Call { to, peer: Some(lender), call });
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
            out.extend(ejected.map(|target| Action::Note(Note::Ejected { target })));
        }
    }

    /// Own slots that others may have.
    pub(super) fn idle(&self) -> u32 {
        if self.queue.is_empty() && self.stage.accepts() { self.pool.own_free() } else { 0 }
    }

    /// What a lane's kind needs of a target.
    fn needs(&self, lane: &Lane) -> Resources {
        self.book.plan(&lane.kind).map(|plan| plan.needs).unwrap_or_default()
    }
}
