//! Starts of queued tasks on free slots, own and borrowed, and the ends of their attempts.

use std::sync::Arc;
use std::time::Instant;

use coltsfootshunt_core::config::Resources;
use coltsfootshunt_core::name::Kind;
use coltsfootshunt_core::submission::Incarnation;

use super::{Action, Attempt, Record, State};
use crate::dispatch::QueuedTask;
use crate::loan::Outcome;
use crate::submission::{End, Transition};
use crate::target::{Ownership, Rejection, Report, Slot, Start};

impl State {
    pub(super) fn handle_attempt_end(
        &mut self,
        attempt: &Attempt,
        report: Report,
        now: Instant,
        out: &mut Vec<Action>,
    ) {
        self.pool.release(attempt.allocation);
        self.shares.release(&attempt.team);
        self.reserve.release(attempt.is_long);
        self.update_estimates(attempt, &report, now, out);
        self.apply_end(attempt, report.end, now, out);
    }

    /// Updates the estimates of the kind and the target. The result on a borrowed slot is kept for
    /// the lender, which is the target's steward.
    fn update_estimates(
        &mut self,
        attempt: &Attempt,
        report: &Report,
        now: Instant,
        out: &mut Vec<Action>,
    ) {
        if matches!(report.end, End::Output(_)) {
            if let Some(profile) = self.catalog.run_times(&attempt.kind) {
                self.pool.record_run_time(attempt.allocation, report.took, profile.mean());
            }
            self.catalog.record(&attempt.kind, report.took);
        }
        match report.rejection {
            Some(Rejection::Busy) => return self.pool.throttle(attempt.allocation),
            Some(Rejection::Leaving) => self.mark_leaving(attempt, now, out),
            None => {}
        }
        let failed = !matches!(report.end, End::Output(_)) && report.rejection.is_none();
        match attempt.lender {
            Some(lender) => self.keep_run_result(attempt, lender, failed, report.rejection),
            None => self.record_result(attempt, failed, now, out),
        }
    }

    fn record_result(
        &mut self,
        attempt: &Attempt,
        failed: bool,
        now: Instant,
        out: &mut Vec<Action>,
    ) {
        let ejected = self.pool.record_result(attempt.allocation, &attempt.kind, failed, now);
        out.extend(ejected.map(|target| Action::Record(Record::TargetEjected { target })));
    }

    fn mark_leaving(&mut self, attempt: &Attempt, now: Instant, out: &mut Vec<Action>) {
        self.departures.mark_leaving(attempt.target.clone(), now);
        self.pool.close_leaving(&self.departures);
        out.push(Action::Record(Record::TargetLeaving { target: attempt.target.clone() }));
    }

    fn keep_run_result(
        &mut self,
        attempt: &Attempt,
        lender: Incarnation,
        failed: bool,
        refused: Option<Rejection>,
    ) {
        let usage = Outcome {
            target: attempt.target.clone(),
            kind: attempt.kind.clone(),
            failed,
            leaving: refused == Some(Rejection::Leaving),
        };
        self.run_results.entry(lender).or_default().push(usage);
    }

    /// Applies the end of an attempt to its submission.
    fn apply_end(&mut self, attempt: &Attempt, end: End, now: Instant, out: &mut Vec<Action>) {
        let sequence = attempt.sequence;
        let id = self.registry.id(sequence);
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
        let Some(open) = self.registry.get_mut(sequence) else {
            return;
        };
        let retry_budget = &mut self.retry_budget;
        match open.end(attempt.task, &attempt.target, end, now, || retry_budget.try_withdraw()) {
            Transition::Continue => {
                // A failed job starts no more tasks.
                if !open.can_start_any() {
                    self.queue.remove(sequence);
                }
            }
            Transition::Retry => {
                let (job, since) = (Arc::clone(&open.job), open.accepted_at);
                self.enqueue(sequence, &job, since, [attempt.task]);
            }
            Transition::Finished(answer) => self.finish_submission(sequence, &answer, now, out),
        }
    }

    /// Starts queued tasks on free slots.
    pub(super) fn start_tasks(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.is_suspended() {
            return;
        }
        while let Some(pick) = self.next_startable() {
            if self.is_infeasible(&pick, now) {
                self.give_up(&pick, now, out);
                continue;
            }
            let needs = self.needed_resources(&pick.lane.kind);
            let Some(taken) = self.pool.take(&needs, self.ownership(&pick.lane.kind)) else {
                return;
            };
            self.queue.pop(&pick);
            self.start_task(&pick, &taken, now, out);
        }
    }

    /// Returns the next task for which a slot is free.
    fn next_startable(&self) -> Option<QueuedTask> {
        if self.pool.is_full() {
            return None;
        }
        let can_start_long = self.reserve.can_start_long(self.pool.own_usable());
        self.queue.peek(&self.shares, self.usable_slots(), |kind| {
            let allowed = can_start_long || !self.catalog.is_long(kind);
            allowed && self.pool.has_free(&self.needed_resources(kind), self.ownership(kind))
        })
    }

    /// Returns the next task that may run on a borrowed slot.
    pub(super) fn next_to_borrow_for(&self) -> Option<QueuedTask> {
        self.queue
            .peek(&self.shares, self.usable_slots(), |kind| self.ownership(kind) == Ownership::Any)
    }

    fn usable_slots(&self) -> u32 {
        self.pool.own_usable() + self.pool.borrowed()
    }

    /// Long tasks use own slots only, where the reserve for short tasks limits them.
    fn ownership(&self, kind: &Kind) -> Ownership {
        if self.catalog.is_long(kind) { Ownership::Own } else { Ownership::Any }
    }

    /// Whether the job is unlikely to complete by its deadline even if this task starts now. The
    /// limit is stricter for a job without started tasks, because giving it up wastes no work.
    fn is_infeasible(&self, pick: &QueuedTask, now: Instant) -> bool {
        /// Smallest probability of completion in time at which a job's first task starts.
        const MIN_PROBABILITY_UNSTARTED: f64 = 0.5;
        /// Smallest probability of completion in time at which a partly started job continues.
        const MIN_PROBABILITY_STARTED: f64 = 0.05;
        let open = self.registry.get(pick.sequence);
        let profile = self.catalog.run_times(&pick.lane.kind);
        let Some((open, profile)) = open.zip(profile) else {
            return false;
        };
        let needed = if open.is_unstarted() {
            profile.quantile_of_max(MIN_PROBABILITY_UNSTARTED, open.job.tasks.len())
        } else {
            profile.quantile(MIN_PROBABILITY_STARTED)
        };
        now + needed > open.deadline
    }

    fn give_up(&mut self, pick: &QueuedTask, now: Instant, out: &mut Vec<Action>) {
        self.queue.remove(pick.sequence);
        if let Some(open) = self.registry.get_mut(pick.sequence) {
            let answer = open.expire(now);
            self.finish_submission(pick.sequence, &answer, now, out);
        }
    }

    fn start_task(&mut self, pick: &QueuedTask, taken: &Slot, now: Instant, out: &mut Vec<Action>) {
        let lender = self.pool.lender(taken.allocation);
        let id = self.registry.id(pick.sequence);
        let startable = self
            .registry
            .get_mut(pick.sequence)
            .and_then(|open| open.try_start(pick.task, &taken.config.name, now).then_some(open));
        let Some(open) = startable else {
            self.pool.release(taken.allocation);
            return;
        };
        let start = Start {
            address: taken.config.address,
            label: format!("{id}/{}", pick.task).into(),
            kind: pick.lane.kind.clone(),
            input: Arc::clone(&open.job.tasks[pick.task]),
            timeout: open.deadline.saturating_duration_since(now),
            decided_at: now,
        };
        let long = self.catalog.is_long(&pick.lane.kind);
        let attempt = Attempt {
            sequence: pick.sequence,
            task: pick.task,
            allocation: taken.allocation,
            target: taken.config.name.clone(),
            lender,
            kind: pick.lane.kind.clone(),
            team: pick.lane.team.clone(),
            is_long: long,
        };
        self.shares.acquire(&pick.lane.team);
        self.reserve.acquire(long);
        self.retry_budget.deposit();
        self.started_tasks += 1;
        out.push(Action::StartTask(attempt, start));
    }

    /// Resources that tasks of a kind need.
    pub(super) fn needed_resources(&self, kind: &Kind) -> Resources {
        self.catalog.config(kind).map(|plan| plan.needs).unwrap_or_default()
    }
}
