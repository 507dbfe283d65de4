//! Work: waiting tasks meet free slots, own and borrowed.

use std::sync::Arc;
use std::time::Instant;

use coltsfootshunt_core::config::Resources;
use coltsfootshunt_core::name::Kind;
use coltsfootshunt_core::submission::Incarnation;

use super::{Action, Attempt, Record, State};
use crate::dispatch::Pick;
use crate::loan::Usage;
use crate::submission::{End, Verdict};
use crate::target::{Refused, Report, Start, Taken, Whose};

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
        self.reserve.leave(attempt.is_long);
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
        out.extend(ejected.map(|target| Action::Record(Record::TargetEjected { target })));
    }

    fn leaving(&mut self, attempt: &Attempt, now: Instant, out: &mut Vec<Action>) {
        self.departures.refused(attempt.target.clone(), now);
        self.pool.close(&self.departures);
        out.push(Action::Record(Record::TargetLeaving { target: attempt.target.clone() }));
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
            End::NotStarted => out.push(Action::Record(Record::TaskNotStarted {
                id,
                task: attempt.task,
                target: attempt.target.clone(),
            })),
            End::Fault(fault) => out.push(Action::Record(Record::TaskFailed {
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
        if self.is_suspended() {
            return;
        }
        while let Some(pick) = self.next_with_slot() {
            if self.is_hopeless(&pick, now) {
                self.give_up(&pick, now, out);
                continue;
            }
            let needs = self.needs(&pick.lane.kind);
            let Some(taken) = self.pool.take(&needs, self.whose(&pick.lane.kind)) else {
                return;
            };
            self.queue.take(&pick);
            self.start(&pick, &taken, now, out);
        }
    }

    /// The next task that has a slot to go to.
    fn next_with_slot(&self) -> Option<Pick> {
        if self.pool.is_full() {
            return None;
        }
        let long_may = self.reserve.allows_long(self.pool.own_usable());
        self.queue.peek(&self.shares, self.slots(), |kind| {
            let allowed = long_may || !self.book.is_long(kind);
            allowed && self.pool.has_free(&self.needs(kind), self.whose(kind))
        })
    }

    /// The next task that a borrowed slot would do for.
    pub(super) fn next_to_borrow_for(&self) -> Option<Pick> {
        self.queue.peek(&self.shares, self.slots(), |kind| self.whose(kind) == Whose::Any)
    }

    fn slots(&self) -> u32 {
        self.pool.own_usable() + self.pool.borrowed()
    }

    /// Long work stays on own slots, where the reserve for short work bounds it.
    fn whose(&self, kind: &Kind) -> Whose {
        if self.book.is_long(kind) { Whose::Own } else { Whose::Any }
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
            is_long: long,
        };
        self.shares.take(&pick.lane.team);
        self.reserve.take(long);
        self.budget.earn();
        self.started += 1;
        out.push(Action::StartTask(attempt, start));
    }

    /// What a kind needs of a target.
    pub(super) fn needs(&self, kind: &Kind) -> Resources {
        self.book.plan(kind).map(|plan| plan.needs).unwrap_or_default()
    }
}
