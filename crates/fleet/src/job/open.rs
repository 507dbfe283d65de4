//! State of one open job.

mod shared;

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Kind, Service};

use super::{Bound, Completion, End, Outcome, Plan, Refusal, Requirements, Size};

pub use shared::Granted;

/// Attempts of one task, however they end, after which it counts as late.
const MAX_ATTEMPTS: u32 = 8;
/// Retry delay for a caller whose job was returned as late; load peaks pass in seconds.
const LATE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Identifier of a caller's request that waits for an answer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u64);

/// Settings of a kind's route that apply to its jobs.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Service whose targets run the tasks.
    pub service: Service,
    /// Priority of the kind; 0 is the highest.
    pub priority: u32,
    /// Failed attempts of one task after which the job fails.
    pub max_attempts: u32,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Progress {
    /// With no steward.
    Unassigned,
    /// Returned as late. Whether the job is refused or goes on depends on its other tasks.
    Late,
    /// Queued at these stewards; the first one with a free slot gets it.
    Shared(Vec<Host>),
    /// Assigned to this steward alone.
    Assigned(Host),
    Done,
}

#[derive(Clone, Debug)]
struct TaskState {
    step: u32,
    index: u32,
    state: Progress,
    /// Lowest run number that the next attempt may use.
    run: u32,
    /// Number of messages that have handed the task to stewards.
    sequence: u32,
    failures: u32,
    attempts: u32,
}

/// A job that has not been answered, with the state of each of its tasks.
#[derive(Debug)]
pub struct Open {
    /// Kind of the job.
    pub kind: Kind,
    /// Steps and tasks of the job.
    pub plan: Arc<Plan>,
    /// Policy of the kind at the time of admission.
    pub policy: Policy,
    /// Size of the job relative to others of its kind.
    pub size: Size,
    /// Time of admission.
    pub admitted_at: Instant,
    /// Time after which the answer counts as late.
    pub objective: Instant,
    /// Time by which it must be answered.
    pub deadline: Instant,
    /// Time limit that sets the deadline.
    pub bound: Bound,
    /// Whether a steward may have started any of its tasks.
    pub may_have_started: bool,
    /// Whether any of its tasks has run.
    pub started: bool,
    /// Whether the job goes on although some of its tasks were returned, because others are placed.
    pub committed: bool,
    /// Generation number that the registry gave the job.
    pub generation: u64,
    /// Stewards whose targets can't end some of the tasks in time.
    declined: Vec<Host>,
    /// Whether the job was sent again after an overloaded steward had returned all of it.
    was_resent: bool,
    /// Whether a steward had no free fast target for a task that needs one. The remaining tasks are
    /// then queued at several stewards.
    pub must_share: bool,
    pub(super) request_ids: Vec<RequestId>,
    tasks: Vec<TaskState>,
}

/// A task that can be sent to a steward.
#[derive(Clone, Debug)]
pub struct Ready {
    /// Position of the task among all tasks of the job, from 0.
    pub position: usize,
    /// Index of the step in the plan, from 0.
    pub step: u32,
    /// Index of the task within the step, from 0.
    pub index: u32,
    /// Lowest run number that the next attempt may use.
    pub run: u32,
    /// Sequence number of the next message that hands the task to stewards.
    pub sequence: u32,
    /// Resources and constraints of the task.
    pub requirements: Requirements,
}

impl From<Ready> for super::Item {
    fn from(Ready { step, index, run, sequence, requirements, .. }: Ready) -> Self {
        Self { step, index, run, sequence, requirements }
    }
}

impl Open {
    /// Creates a job of which no task has started, from the times of its admission, objective and
    /// deadline.
    #[must_use]
    pub fn new(
        kind: Kind,
        plan: Arc<Plan>,
        policy: Policy,
        (admitted_at, objective, deadline): (Instant, Instant, Instant),
        bound: Bound,
        size: Size,
    ) -> Self {
        let mut tasks = Vec::new();
        for (step, spec) in (0..).zip(&plan.steps) {
            tasks.extend((0..spec.count).map(|index| TaskState {
                step,
                index,
                state: Progress::Unassigned,
                run: 1,
                sequence: 0,
                failures: 0,
                attempts: 0,
            }));
        }
        Self {
            kind,
            plan,
            policy,
            size,
            admitted_at,
            objective,
            deadline,
            bound,
            may_have_started: false,
            started: false,
            committed: false,
            generation: 0,
            declined: Vec::new(),
            was_resent: false,
            must_share: false,
            request_ids: Vec::new(),
            tasks,
        }
    }

    /// Tasks that are with no steward and whose preceding steps have completed.
    #[must_use]
    pub fn ready(&self) -> Vec<Ready> {
        let done = self.steps_done();
        let is_eligible =
            |step: u32| self.plan.steps[step as usize].after.iter().all(|&earlier| done[earlier]);
        let entries = self.tasks.iter().enumerate();
        entries
            .filter(|(_, entry)| entry.state == Progress::Unassigned && is_eligible(entry.step))
            .map(|(position, entry)| Ready {
                position,
                step: entry.step,
                index: entry.index,
                run: entry.run,
                sequence: entry.sequence + 1,
                requirements: self.plan.steps[entry.step as usize].requirements.clone(),
            })
            .collect()
    }

    fn steps_done(&self) -> Vec<bool> {
        let mut done = vec![true; self.plan.steps.len()];
        for entry in self.tasks.iter().filter(|entry| entry.state != Progress::Done) {
            done[entry.step as usize] = false;
        }
        done
    }

    /// Sequence number of the last message that handed a task to stewards.
    #[cfg(test)]
    pub(super) fn sequence(&self, position: u32) -> u32 {
        self.tasks[position as usize].sequence
    }

    /// Records that a task was sent to one steward.
    pub fn mark_sent(&mut self, position: usize, to: Host) {
        self.tasks[position].state = Progress::Assigned(to);
        self.tasks[position].sequence += 1;
        self.may_have_started = true;
    }

    /// Whether any task has run, is running or is about to start.
    #[must_use]
    pub fn is_in_progress(&self) -> bool {
        let is_assigned = |entry: &TaskState| matches!(entry.state, Progress::Assigned(_));
        self.started || self.committed || self.tasks.iter().any(is_assigned)
    }

    /// Whether nothing of the job has run and no steward has any of its tasks. No order of it was sent to a target
    /// either.
    #[must_use]
    pub fn is_untouched(&self) -> bool {
        let is_untouched = |entry: &TaskState| {
            entry.attempts == 0 && matches!(entry.state, Progress::Unassigned | Progress::Late)
        };
        !self.started && self.tasks.iter().all(is_untouched)
    }

    /// Whether any task is assigned to a steward alone.
    #[must_use]
    pub fn is_assigned_to(&self, host: &Host) -> bool {
        self.tasks.iter().any(|entry| entry.state == Progress::Assigned(host.clone()))
    }

    /// Whether a steward has returned a task because its targets can't end it in time.
    #[must_use]
    pub fn has_declined(&self, host: &Host) -> bool {
        self.declined.contains(host)
    }

    /// All stewards that have tasks of the job, shared ones included.
    #[must_use]
    pub fn stewards(&self) -> Vec<Host> {
        let mut hosts: Vec<Host> = Vec::new();
        for entry in &self.tasks {
            let with = match &entry.state {
                Progress::Assigned(host) => std::slice::from_ref(host),
                Progress::Shared(with) => with,
                Progress::Unassigned | Progress::Late | Progress::Done => &[],
            };
            for host in with {
                if !hosts.contains(host) {
                    hosts.push(host.clone());
                }
            }
        }
        hosts
    }

    /// Applies the completion of a task and returns the job's outcome if it is decided.
    pub fn complete(&mut self, from: &Host, completion: &Completion) -> Option<Outcome> {
        let Completion { task, run, end, .. } = completion;
        if completion.generation != self.generation {
            return None;
        }
        let is_split = self.is_assigned_elsewhere(from);
        let can_go_on = self.started || self.committed || is_split;
        if *end == End::OutOfTime && !self.declined.contains(from) {
            self.declined.push(from.clone());
        }
        let is_with = |state: &Progress| match state {
            Progress::Assigned(host) => host == from,
            Progress::Shared(hosts) => hosts.contains(from),
            Progress::Unassigned | Progress::Late | Progress::Done => false,
        };
        let is_reported = |entry: &&mut TaskState| {
            (entry.step, entry.index, entry.sequence)
                == (task.step, task.index, completion.sequence)
        };
        let entry =
            self.tasks.iter_mut().find(is_reported).filter(|entry| is_with(&entry.state))?;
        let was_shared = matches!(entry.state, Progress::Shared(_));
        if let Progress::Shared(hosts) = &mut entry.state {
            hosts.retain(|host| host != from);
            if !hosts.is_empty() {
                return None;
            }
        }
        self.must_share |= *end == End::NoFastTarget;
        // A task that comes back from a queue has not used its run number.
        entry.attempts += u32::from(*run >= entry.run);
        entry.run = entry.run.max(run.saturating_add(1));
        match *end {
            End::Done => {
                entry.state = Progress::Done;
                self.started = true;
            }
            End::Failed => {
                entry.failures += 1;
                entry.state = Progress::Unassigned;
                self.started = true;
            }
            End::Lost => {
                entry.state = Progress::Unassigned;
                self.started = true;
            }
            End::NotRun | End::NoFastTarget => entry.state = Progress::Unassigned,
            End::Overloaded | End::TooLate if can_go_on => {
                entry.state = Progress::Unassigned;
                self.committed = true;
            }
            End::Overloaded | End::TooLate => entry.state = Progress::Late,
            End::OutOfTime if self.started => return Some(Outcome::Unknown),
            End::OutOfTime if is_split => entry.state = Progress::Unassigned,
            End::OutOfTime => entry.state = Progress::Late,
            End::Unresolved => return Some(Outcome::Unknown),
        }
        if entry.failures >= self.policy.max_attempts {
            return Some(Outcome::Failed);
        }
        if entry.attempts >= MAX_ATTEMPTS && entry.state == Progress::Unassigned {
            entry.state = Progress::Late;
        }
        if self.all_returned() {
            return self.resolve_late(*end, was_shared);
        }
        let all_done = self.tasks.iter().all(|entry| entry.state == Progress::Done);
        all_done.then_some(Outcome::Completed)
    }

    /// Whether any task is assigned to a steward other than `host`.
    fn is_assigned_elsewhere(&self, host: &Host) -> bool {
        self.tasks
            .iter()
            .any(|entry| matches!(&entry.state, Progress::Assigned(other) if other != host))
    }

    /// Whether a task was returned as late and no task is with a steward.
    fn all_returned(&self) -> bool {
        let is_out =
            |entry: &TaskState| matches!(entry.state, Progress::Assigned(_) | Progress::Shared(_));
        self.tasks.iter().any(|entry| entry.state == Progress::Late)
            && !self.tasks.iter().any(is_out)
    }

    /// Decides on a job whose remaining tasks were returned as late. If nothing has run, the job is
    /// refused, or sent once more if a single overloaded steward returned it. Otherwise it goes on
    /// while attempts are left.
    fn resolve_late(&mut self, end: End, was_shared: bool) -> Option<Outcome> {
        let is_single_steward = end == End::Overloaded && !was_shared;
        let resend = is_single_steward && !std::mem::replace(&mut self.was_resent, true);
        if !self.started && !resend {
            let refusal = Refusal::TooLate;
            return Some(Outcome::Refused { refusal, retry_after: LATE_RETRY_AFTER });
        }
        if self.tasks.iter().any(|entry| entry.attempts >= MAX_ATTEMPTS) {
            return Some(Outcome::Unknown);
        }
        for entry in self.tasks.iter_mut().filter(|entry| entry.state == Progress::Late) {
            entry.state = Progress::Unassigned;
        }
        None
    }
}
