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
    /// Handles the end of an attempt: frees its slot, updates the estimates and the submission.
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
            if let Some(run_times) = self.catalog.run_times(&attempt.kind) {
                self.pool.record_run_time(attempt.allocation, report.took, run_times.mean());
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

    /// Records the result of an attempt on an own slot, which may eject the target.
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

    /// Closes a target that refused a task because it is leaving.
    fn mark_leaving(&mut self, attempt: &Attempt, now: Instant, out: &mut Vec<Action>) {
        self.departures.mark_leaving(attempt.target.clone(), now);
        self.pool.close_leaving(&self.departures);
        out.push(Action::Record(Record::TargetLeaving { target: attempt.target.clone() }));
    }

    /// Keeps the result of an attempt on a borrowed slot, to report it to the lender.
    fn keep_run_result(
        &mut self,
        attempt: &Attempt,
        lender: Incarnation,
        failed: bool,
        rejection: Option<Rejection>,
    ) {
        let outcome = Outcome {
            target: attempt.target.clone(),
            kind: attempt.kind.clone(),
            failed,
            leaving: rejection == Some(Rejection::Leaving),
        };
        self.run_results.entry(lender).or_default().push(outcome);
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
                let (job, arrived_at) = (Arc::clone(&open.job), open.accepted_at);
                self.enqueue(sequence, &job, arrived_at, [attempt.task]);
            }
            Transition::Finished(answer) => self.finish_submission(sequence, &answer, now, out),
        }
    }

    /// Starts queued tasks on free slots.
    pub(super) fn start_tasks(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.is_suspended() {
            return;
        }
        while let Some(queued) = self.next_startable() {
            if self.is_infeasible(&queued, now) {
                self.give_up(&queued, now, out);
                continue;
            }
            let needs = self.needed_resources(&queued.lane.kind);
            let Some(slot) = self.pool.take(&needs, self.ownership(&queued.lane.kind)) else {
                return;
            };
            self.queue.pop(&queued);
            self.start_task(&queued, &slot, now, out);
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
    fn is_infeasible(&self, queued: &QueuedTask, now: Instant) -> bool {
        /// Smallest probability of completion in time at which a job's first task starts.
        const MIN_PROBABILITY_UNSTARTED: f64 = 0.5;
        /// Smallest probability of completion in time at which a partly started job continues.
        const MIN_PROBABILITY_STARTED: f64 = 0.05;
        let open = self.registry.get(queued.sequence);
        let run_times = self.catalog.run_times(&queued.lane.kind);
        let Some((open, run_times)) = open.zip(run_times) else {
            return false;
        };
        let needed = if open.is_unstarted() {
            run_times.quantile_of_max(MIN_PROBABILITY_UNSTARTED, open.job.tasks.len())
        } else {
            run_times.quantile(MIN_PROBABILITY_STARTED)
        };
        now + needed > open.deadline
    }

    /// Ends a job that would miss its deadline.
    fn give_up(&mut self, queued: &QueuedTask, now: Instant, out: &mut Vec<Action>) {
        self.queue.remove(queued.sequence);
        if let Some(open) = self.registry.get_mut(queued.sequence) {
            let answer = open.expire(now);
            self.finish_submission(queued.sequence, &answer, now, out);
        }
    }

    /// Starts a task on a slot, or frees the slot if the task must no longer start.
    fn start_task(
        &mut self,
        queued: &QueuedTask,
        slot: &Slot,
        now: Instant,
        out: &mut Vec<Action>,
    ) {
        let lender = self.pool.lender(slot.allocation);
        let id = self.registry.id(queued.sequence);
        let startable = self
            .registry
            .get_mut(queued.sequence)
            .and_then(|open| open.try_start(queued.task, &slot.config.name, now).then_some(open));
        let Some(open) = startable else {
            self.pool.release(slot.allocation);
            return;
        };
        let start = Start {
            address: slot.config.address,
            label: format!("{id}/{}", queued.task).into(),
            kind: queued.lane.kind.clone(),
            input: Arc::clone(&open.job.tasks[queued.task]),
            timeout: open.deadline.saturating_duration_since(now),
            decided_at: now,
        };
        let is_long = self.catalog.is_long(&queued.lane.kind);
        let attempt = Attempt {
            sequence: queued.sequence,
            task: queued.task,
            allocation: slot.allocation,
            target: slot.config.name.clone(),
            lender,
            kind: queued.lane.kind.clone(),
            team: queued.lane.team.clone(),
            is_long,
        };
        self.shares.acquire(&queued.lane.team);
        self.reserve.acquire(is_long);
        self.retry_budget.deposit();
        self.started_tasks += 1;
        out.push(Action::StartTask(attempt, start));
    }

    /// Resources that tasks of a kind need.
    pub(super) fn needed_resources(&self, kind: &Kind) -> Resources {
        self.catalog.config(kind).map(|config| config.needs).unwrap_or_default()
    }
}
