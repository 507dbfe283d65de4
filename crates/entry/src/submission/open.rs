//! State machine of an open submission: the state of each task and the answer that results.

use std::sync::Arc;
use std::time::Instant;

use coltsfootshunt_core::answer::{Answer, Breakdown, Failure, Fault, Refusal};
use coltsfootshunt_core::job::{Job, Payload};
use coltsfootshunt_core::name::Target;

use super::{End, Progress, RequestId, Stage, Trace};

/// Requests that may wait for one answer; a further one displaces the oldest.
pub const MAX_WAITERS: usize = 64;
/// Lost attempts of one task after which it is not started again: it may crash its targets.
const MAX_LOST_RUNS: u32 = 3;

/// State of a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TaskState {
    /// No attempt is in progress, and the task may start.
    Waiting,
    /// An attempt is in progress.
    Sent,
    /// The target returned an output or reported an error.
    Ran,
    /// The attempt ended without proof that the task did not run.
    MayHaveRun,
}

/// Accepted submission that has no answer yet.
#[derive(Debug)]
pub struct Open {
    /// Digest of the job.
    pub digest: u128,
    /// Job to run.
    pub job: Arc<Job>,
    /// Time at which the owner accepted the submission.
    pub accepted_at: Instant,
    /// Time at which the submission expires.
    pub deadline: Instant,
    /// Events so far.
    pub trace: Trace,
    /// Whether the kind allows another attempt at a task that may have run.
    rerun_lost: bool,
    tasks: Vec<TaskState>,
    /// For each task, the number of attempts that may have run and were lost with their target.
    lost_runs: Vec<u32>,
    outputs: Vec<Option<Payload>>,
    /// Number of tasks in state [`TaskState::Sent`].
    sent: usize,
    /// Number of tasks that returned an output.
    succeeded: usize,
    /// Set once no more tasks may start.
    stop_reason: Option<StopReason>,
    waiters: Vec<RequestId>,
}

/// Why no more tasks of a job start.
#[derive(Clone, Debug)]
enum StopReason {
    Fault { task: usize, fault: Fault },
    Refused { task: usize },
    Cancelled,
    Expired,
}

/// Effect of a change on a submission.
#[derive(Debug)]
pub enum Transition {
    /// The submission stays open.
    Continue,
    /// The submission stays open, and the task has to be queued for another attempt.
    Retry,
    /// The submission has its answer.
    Finished(Answer),
}

impl Open {
    /// Creates the state of a job accepted at `now`.
    #[must_use]
    pub fn new(job: Arc<Job>, digest: u128, rerun_lost: bool, now: Instant) -> Self {
        let count = job.tasks.len();
        Self {
            digest,
            accepted_at: now,
            deadline: now + job.timeout,
            trace: Trace::default(),
            rerun_lost,
            tasks: vec![TaskState::Waiting; count],
            lost_runs: vec![0; count],
            outputs: vec![None; count],
            sent: 0,
            succeeded: 0,
            stop_reason: None,
            waiters: Vec::new(),
            job,
        }
    }

    /// Adds a request that waits for the answer. Returns the oldest one if it was displaced because
    /// `MAX_WAITERS` were waiting already.
    #[must_use]
    pub fn add_waiter(&mut self, request: RequestId) -> Option<RequestId> {
        let is_full = self.waiters.len() == MAX_WAITERS;
        let displaced = is_full.then(|| self.waiters.remove(0));
        self.waiters.push(request);
        displaced
    }

    /// Removes and returns the waiting requests.
    pub fn take_waiters(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.waiters)
    }

    /// Number of tasks in each state.
    #[must_use]
    pub fn progress(&self) -> Progress {
        let waiting = self.tasks.iter().filter(|task| **task == TaskState::Waiting).count();
        Progress { waiting, sent: self.sent, ended: self.tasks.len() - waiting - self.sent }
    }

    /// Whether this task may start now: it is waiting, and the job has not stopped.
    #[must_use]
    pub fn can_start(&self, task: usize) -> bool {
        self.stop_reason.is_none() && self.tasks.get(task) == Some(&TaskState::Waiting)
    }

    /// Whether every task is waiting.
    #[must_use]
    pub fn is_unstarted(&self) -> bool {
        self.sent == 0 && self.tasks.iter().all(|task| *task == TaskState::Waiting)
    }

    /// Whether the job has not stopped, so that waiting tasks may start.
    #[must_use]
    pub fn can_start_any(&self) -> bool {
        self.stop_reason.is_none()
    }

    /// Marks a task as sent to `target`. Returns `false`, and changes nothing, if the task must not
    /// be sent.
    pub fn try_start(&mut self, task: usize, target: &Target, now: Instant) -> bool {
        if !self.can_start(task) {
            return false;
        }
        self.tasks[task] = TaskState::Sent;
        self.sent += 1;
        let stage = Stage::Sent { task, target: target.clone() };
        self.trace.record(self.accepted_at, now, stage);
        true
    }

    /// Handles the end of an attempt. `may_retry` is called only if another attempt is safe, and
    /// may spend a retry from a budget.
    pub fn end(
        &mut self,
        task: usize,
        target: &Target,
        end: End,
        now: Instant,
        may_retry: impl FnOnce() -> bool,
    ) -> Transition {
        if self.tasks.get(task) != Some(&TaskState::Sent) {
            return Transition::Continue;
        }
        self.sent -= 1;
        self.record_end(task, target, &end, now);
        let transition = match end {
            End::Output(output) => self.succeed(task, output),
            End::NotStarted => self.not_started(task, may_retry),
            End::Fault(fault) => self.fail(task, fault, may_retry),
        };
        match transition {
            Transition::Retry => Transition::Retry,
            _ => self.finish_if_idle(),
        }
    }

    /// Cancels the job: no more tasks start, and it finishes once all sent tasks have ended.
    pub fn cancel(&mut self, now: Instant) -> Transition {
        self.trace.record(self.accepted_at, now, Stage::Cancelled);
        self.stop_reason.get_or_insert(StopReason::Cancelled);
        self.finish_if_idle()
    }

    /// Stops the job at its deadline. Returns its answer at once, in which tasks that are still
    /// with a target count as having possibly run.
    pub fn expire(&mut self, now: Instant) -> Answer {
        self.trace.record(self.accepted_at, now, Stage::Expired);
        let reason = self.stop_reason.get_or_insert(StopReason::Expired).clone();
        self.stopped_answer(&reason)
    }

    fn record_end(&mut self, task: usize, target: &Target, end: &End, now: Instant) {
        let stage = match end {
            End::NotStarted => Stage::NotStarted { task, target: target.clone() },
            End::Output(_) => Stage::Ended { task, succeeded: true },
            End::Fault(_) => Stage::Ended { task, succeeded: false },
        };
        self.trace.record(self.accepted_at, now, stage);
    }

    fn succeed(&mut self, task: usize, output: Payload) -> Transition {
        self.tasks[task] = TaskState::Ran;
        self.outputs[task] = Some(output);
        self.succeeded += 1;
        Transition::Continue
    }

    fn not_started(&mut self, task: usize, may_retry: impl FnOnce() -> bool) -> Transition {
        self.tasks[task] = TaskState::Waiting;
        if self.stop_reason.is_some() {
            return Transition::Continue;
        }
        if may_retry() {
            return Transition::Retry;
        }
        self.stop_reason = Some(StopReason::Refused { task });
        Transition::Continue
    }

    fn fail(&mut self, task: usize, fault: Fault, may_retry: impl FnOnce() -> bool) -> Transition {
        let is_lost = !fault.has_run();
        self.tasks[task] = if is_lost { TaskState::MayHaveRun } else { TaskState::Ran };
        if self.stop_reason.is_some() {
            return Transition::Continue;
        }
        self.lost_runs[task] += u32::from(is_lost);
        let is_poison = self.lost_runs[task] >= MAX_LOST_RUNS;
        if is_lost && self.rerun_lost && !is_poison && may_retry() {
            self.tasks[task] = TaskState::Waiting;
            return Transition::Retry;
        }
        self.stop_reason = Some(StopReason::Fault { task, fault });
        Transition::Continue
    }

    /// Finishes the submission if all tasks have succeeded, or if the job has stopped and no task
    /// is with a target.
    fn finish_if_idle(&mut self) -> Transition {
        if self.succeeded == self.tasks.len() && self.stop_reason.is_none() {
            let outputs = std::mem::take(&mut self.outputs);
            return Transition::Finished(Answer::Complete {
                outputs: outputs.into_iter().flatten().collect(),
            });
        }
        match self.stop_reason.clone() {
            Some(reason) if self.sent == 0 => Transition::Finished(self.stopped_answer(&reason)),
            _ => Transition::Continue,
        }
    }

    /// Answer of a job that stopped: a refusal if provably none of its tasks ran, else a failure.
    fn stopped_answer(&self, reason: &StopReason) -> Answer {
        let breakdown = self.breakdown();
        if breakdown.ran.is_empty() && breakdown.may_have_run.is_empty() {
            return Answer::NotRun { refusal: reason.refusal() };
        }
        Answer::Failed { failure: reason.failure(), tasks: breakdown }
    }

    fn breakdown(&self) -> Breakdown {
        let mut breakdown = Breakdown::default();
        for (task, state) in self.tasks.iter().enumerate() {
            let list = match state {
                TaskState::Ran => &mut breakdown.ran,
                TaskState::Sent | TaskState::MayHaveRun => &mut breakdown.may_have_run,
                TaskState::Waiting if self.lost_runs[task] > 0 => &mut breakdown.may_have_run,
                TaskState::Waiting => &mut breakdown.not_run,
            };
            list.push(task);
        }
        breakdown
    }
}

impl StopReason {
    fn refusal(&self) -> Refusal {
        match self {
            Self::Cancelled => Refusal::Cancelled,
            Self::Expired => Refusal::Expired,
            Self::Refused { .. } | Self::Fault { .. } => Refusal::TargetsRefused,
        }
    }

    fn failure(&self) -> Failure {
        match self {
            Self::Cancelled => Failure::Cancelled,
            Self::Expired => Failure::Deadline,
            Self::Refused { task } => Failure::TargetsRefused { task: *task },
            Self::Fault { task, fault } => Failure::Task { task: *task, fault: fault.clone() },
        }
    }
}
