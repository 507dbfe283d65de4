//! One open submission: the state of each task and the answer that follows from it.

use std::sync::Arc;
use std::time::Instant;

use coltsfootshunt_core::answer::{Answer, Breakdown, Failure, Fault, Refusal};
use coltsfootshunt_core::job::{Job, Payload};
use coltsfootshunt_core::name::Target;

use super::{End, Progress, RequestId, Stage, Trace};

/// Most requesters that wait for one answer; the oldest gives way.
pub const MAX_WAITERS: usize = 64;

/// Where a task stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Waiting,
    Sent,
    Ran,
    MayHaveRun,
}

/// A submission without an answer.
#[derive(Debug)]
pub struct Open {
    /// Fingerprint of the job.
    pub digest: u128,
    /// The job.
    pub job: Arc<Job>,
    /// When the submission arrived.
    pub accepted_at: Instant,
    /// When its answer is due.
    pub deadline: Instant,
    /// What happened so far.
    pub trace: Trace,
    /// Whether the kind allows another run after a lost one.
    rerun_lost: bool,
    tasks: Vec<State>,
    lost_before: Vec<bool>,
    outputs: Vec<Option<Payload>>,
    sent: usize,
    ran: usize,
    stop: Option<Stop>,
    waiters: Vec<RequestId>,
}

/// Why no more tasks start.
#[derive(Clone, Debug)]
enum Stop {
    Fault { task: usize, fault: Fault },
    Refused { task: usize },
    Cancelled,
    Expired,
}

/// What follows from the end of an attempt.
#[derive(Debug)]
pub enum Transition {
    /// Nothing; other tasks go on.
    Continue,
    /// The task waits for another attempt.
    Retry,
    /// The submission has its answer.
    Finished(Answer),
}

impl Open {
    /// A submission that has just been accepted.
    #[must_use]
    pub fn new(job: Arc<Job>, digest: u128, rerun_lost: bool, now: Instant) -> Self {
        let count = job.tasks.len();
        Self {
            digest,
            accepted_at: now,
            deadline: now + job.timeout,
            trace: Trace::default(),
            rerun_lost,
            tasks: vec![State::Waiting; count],
            lost_before: vec![false; count],
            outputs: vec![None; count],
            sent: 0,
            ran: 0,
            stop: None,
            waiters: Vec::new(),
            job,
        }
    }

    /// Adds a requester that waits for the answer. Returns one that gives way to it.
    #[must_use]
    pub fn add_waiter(&mut self, ticket: RequestId) -> Option<RequestId> {
        let full = self.waiters.len() == MAX_WAITERS;
        let former = full.then(|| self.waiters.remove(0));
        self.waiters.push(ticket);
        former
    }

    /// Takes the waiting requesters.
    pub fn take_waiters(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.waiters)
    }

    /// Counts of tasks.
    #[must_use]
    pub fn progress(&self) -> Progress {
        let waiting = self.tasks.iter().filter(|task| **task == State::Waiting).count();
        Progress { waiting, sent: self.sent, ended: self.tasks.len() - waiting - self.sent }
    }

    /// Whether this task may start now: it waits, and nothing stopped the job.
    #[must_use]
    pub fn can_start(&self, task: usize) -> bool {
        self.stop.is_none() && self.tasks.get(task) == Some(&State::Waiting)
    }

    /// Whether none of its tasks has started.
    #[must_use]
    pub fn is_unstarted(&self) -> bool {
        self.sent == 0 && self.tasks.iter().all(|task| *task == State::Waiting)
    }

    /// Whether tasks may still start.
    #[must_use]
    pub fn can_start_any(&self) -> bool {
        self.stop.is_none()
    }

    /// Marks a task as sent. Returns whether it may be sent; `false` means it must not.
    pub fn try_start(&mut self, task: usize, target: &Target, now: Instant) -> bool {
        if !self.can_start(task) {
            return false;
        }
        self.tasks[task] = State::Sent;
        self.sent += 1;
        let stage = Stage::Sent { task, target: target.clone() };
        self.trace.record(self.accepted_at, now, stage);
        true
    }

    /// Takes in how an attempt ended. `again` is asked only where another attempt is safe.
    pub fn end(
        &mut self,
        task: usize,
        target: &Target,
        end: End,
        now: Instant,
        again: impl FnOnce() -> bool,
    ) -> Transition {
        if self.tasks.get(task) != Some(&State::Sent) {
            return Transition::Continue;
        }
        self.sent -= 1;
        self.note_end(task, target, &end, now);
        let verdict = match end {
            End::Output(output) => self.succeed(task, output),
            End::NotStarted => self.not_started(task, again),
            End::Fault(fault) => self.fault(task, fault, again),
        };
        match verdict {
            Transition::Retry => Transition::Retry,
            _ => self.settle(),
        }
    }

    /// Stops the job on the caller's word.
    pub fn cancel(&mut self, now: Instant) -> Transition {
        self.trace.record(self.accepted_at, now, Stage::Cancelled);
        self.stop.get_or_insert(Stop::Cancelled);
        self.settle()
    }

    /// Stops the job at its deadline and answers at once.
    pub fn expire(&mut self, now: Instant) -> Answer {
        self.trace.record(self.accepted_at, now, Stage::Expired);
        let stop = self.stop.get_or_insert(Stop::Expired).clone();
        self.broken(&stop)
    }

    fn note_end(&mut self, task: usize, target: &Target, end: &End, now: Instant) {
        let stage = match end {
            End::NotStarted => Stage::NotStarted { task, target: target.clone() },
            End::Output(_) => Stage::Ended { task, succeeded: true },
            End::Fault(_) => Stage::Ended { task, succeeded: false },
        };
        self.trace.record(self.accepted_at, now, stage);
    }

    fn succeed(&mut self, task: usize, output: Payload) -> Transition {
        self.tasks[task] = State::Ran;
        self.outputs[task] = Some(output);
        self.ran += 1;
        Transition::Continue
    }

    fn not_started(&mut self, task: usize, again: impl FnOnce() -> bool) -> Transition {
        self.tasks[task] = State::Waiting;
        if self.stop.is_some() {
            return Transition::Continue;
        }
        if again() {
            return Transition::Retry;
        }
        self.stop = Some(Stop::Refused { task });
        Transition::Continue
    }

    fn fault(&mut self, task: usize, fault: Fault, again: impl FnOnce() -> bool) -> Transition {
        let lost = !fault.has_run();
        self.tasks[task] = if lost { State::MayHaveRun } else { State::Ran };
        if self.stop.is_some() {
            return Transition::Continue;
        }
        if lost && self.rerun_lost && again() {
            self.tasks[task] = State::Waiting;
            self.lost_before[task] = true;
            return Transition::Retry;
        }
        self.stop = Some(Stop::Fault { task, fault });
        Transition::Continue
    }

    fn settle(&mut self) -> Transition {
        if self.ran == self.tasks.len() && self.stop.is_none() {
            let outputs = std::mem::take(&mut self.outputs);
            return Transition::Finished(Answer::Complete {
                outputs: outputs.into_iter().flatten().collect(),
            });
        }
        match self.stop.clone() {
            Some(stop) if self.sent == 0 => Transition::Finished(self.broken(&stop)),
            _ => Transition::Continue,
        }
    }

    fn broken(&self, stop: &Stop) -> Answer {
        let census = self.census();
        if census.ran.is_empty() && census.may_have_run.is_empty() {
            return Answer::NotRun { refusal: stop.refusal() };
        }
        Answer::Failed { failure: stop.failure(), tasks: census }
    }

    fn census(&self) -> Breakdown {
        let mut census = Breakdown::default();
        for (task, state) in self.tasks.iter().enumerate() {
            let list = match state {
                State::Ran => &mut census.ran,
                State::Sent | State::MayHaveRun => &mut census.may_have_run,
                State::Waiting if self.lost_before[task] => &mut census.may_have_run,
                State::Waiting => &mut census.not_run,
            };
            list.push(task);
        }
        census
    }
}

impl Stop {
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
