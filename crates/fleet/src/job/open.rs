//! State of one open job.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Kind, Service};

use super::{Completion, End, Outcome, Plan, Refusal, Requirements, Reservation, Size};

/// Attempts of one task, however they end, after which it counts as late.
const MAX_TRIES: u32 = 8;
/// Retry delay for a caller whose job was returned as late; load peaks pass in seconds.
const RETRY_AFTER: Duration = Duration::from_secs(2);
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
    Waiting,
    /// Returned as late. Whether the job is refused or goes on depends on its other tasks.
    Late,
    /// Queued at these stewards; the first one with a free slot gets it.
    Standing(Vec<Host>),
    /// Assigned to this steward alone.
    Sent(Host),
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
    tries: u32,
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
    pub since: Instant,
    /// Time after which the answer counts as late.
    pub objective: Instant,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
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
    bounced: bool,
    /// Whether a steward had no free fast target for a task that needs one. The remaining tasks are
    /// then queued at several stewards.
    pub must_share: bool,
    pub(super) request_ids: Vec<RequestId>,
    parts: Vec<TaskState>,
}

/// A shared task that has been granted to one steward.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Granted {
    /// Index of the step in the plan, from 0.
    pub step: u32,
    /// Index of the task within the step, from 0.
    pub index: u32,
    /// Lowest run number that the next attempt may use.
    pub run: u32,
    /// Sequence number of the message that carried the task.
    pub sequence: u32,
    /// The other stewards at which the task was queued.
    pub other_stewards: Vec<Host>,
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
    /// Creates a job of which no task has started. `since`, `objective` and the deadline are the
    /// times of admission, of lateness and of the caller's departure.
    #[must_use]
    pub fn new(
        kind: Kind,
        plan: Arc<Plan>,
        policy: Policy,
        (since, objective, deadline): (Instant, Instant, Instant),
        size: Size,
    ) -> Self {
        let mut parts = Vec::new();
        for (step, shape) in (0..).zip(&plan.steps) {
            parts.extend((0..shape.count).map(|index| TaskState {
                step,
                index,
                state: Progress::Waiting,
                run: 1,
                sequence: 0,
                failures: 0,
                tries: 0,
            }));
        }
        Self {
            kind,
            plan,
            policy,
            size,
            since,
            objective,
            deadline,
            may_have_started: false,
            started: false,
            committed: false,
            generation: 0,
            declined: Vec::new(),
            bounced: false,
            must_share: false,
            request_ids: Vec::new(),
            parts,
        }
    }

    /// Tasks that are with no steward and whose preceding steps have completed.
    #[must_use]
    pub fn ready(&self) -> Vec<Ready> {
        let done = self.steps_done();
        let eligible =
            |step: u32| self.plan.steps[step as usize].after.iter().all(|&earlier| done[earlier]);
        let waiting = self.parts.iter().enumerate();
        waiting
            .filter(|(_, part)| part.state == Progress::Waiting && eligible(part.step))
            .map(|(place, part)| Ready {
                position: place,
                step: part.step,
                index: part.index,
                run: part.run,
                sequence: part.sequence + 1,
                requirements: self.plan.steps[part.step as usize].requirements.clone(),
            })
            .collect()
    }

    fn steps_done(&self) -> Vec<bool> {
        let mut done = vec![true; self.plan.steps.len()];
        for part in self.parts.iter().filter(|part| part.state != Progress::Done) {
            done[part.step as usize] = false;
        }
        done
    }

    /// Sequence number of the last message that handed a task to stewards.
    #[cfg(test)]
    pub(super) fn sequence(&self, part: u32) -> u32 {
        self.parts[part as usize].sequence
    }

    /// Records that a task was sent to one steward.
    pub fn mark_sent(&mut self, part: usize, to: Host) {
        self.parts[part].state = Progress::Sent(to);
        self.parts[part].sequence += 1;
        self.may_have_started = true;
    }

    /// Records that a task was queued at several stewards.
    pub fn mark_shared(&mut self, part: usize, with: Vec<Host>) {
        self.parts[part].state = Progress::Standing(with);
        self.parts[part].sequence += 1;
    }

    /// Grants a steward the shared task that it requests, or another shared task of the same step
    /// if the requested one has gone to another steward. Returns `None` if there is neither.
    pub fn grant(
        &mut self,
        to: &Host,
        Reservation { task, sequence, .. }: &Reservation,
    ) -> Option<Granted> {
        let alike = |part: &TaskState| {
            let reservations =
                matches!(&part.state, Progress::Standing(hosts) if hosts.contains(to));
            reservations && part.step == task.step
        };
        let same = |part: &TaskState| {
            (part.index, part.sequence) == (task.index, *sequence) && alike(part)
        };
        let place = self.parts.iter().position(same).or(self.parts.iter().position(alike))?;
        let part = &mut self.parts[place];
        let state = std::mem::replace(&mut part.state, Progress::Sent(to.clone()));
        self.may_have_started = true;
        let Progress::Standing(mut other_stewards) = state else {
            return None;
        };
        other_stewards.retain(|host| host != to);
        let TaskState { step, index, run, sequence, .. } = *part;
        Some(Granted { step, index, run, sequence, other_stewards })
    }

    /// Whether any shared task of the job is queued at a steward.
    #[must_use]
    pub fn is_shared_with(&self, host: &Host) -> bool {
        let with = |part: &TaskState| matches!(&part.state, Progress::Standing(hosts) if hosts.contains(host));
        self.parts.iter().any(with)
    }

    /// Removes a lost steward from all shared tasks. Tasks that are queued at no other steward can
    /// be sent again.
    pub fn remove_steward(&mut self, host: &Host) {
        for part in &mut self.parts {
            if let Progress::Standing(hosts) = &mut part.state {
                hosts.retain(|other| other != host);
                if hosts.is_empty() {
                    part.state = Progress::Waiting;
                }
            }
        }
    }

    /// Whether any task has run, is running or is about to start.
    #[must_use]
    pub fn is_in_progress(&self) -> bool {
        let sent = |part: &TaskState| matches!(part.state, Progress::Sent(_));
        self.started || self.committed || self.parts.iter().any(sent)
    }

    /// Whether any task is assigned to a steward alone.
    #[must_use]
    pub fn is_assigned_to(&self, host: &Host) -> bool {
        self.parts.iter().any(|part| part.state == Progress::Sent(host.clone()))
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
        for part in &self.parts {
            let with = match &part.state {
                Progress::Sent(host) => std::slice::from_ref(host),
                Progress::Standing(with) => with,
                Progress::Waiting | Progress::Late | Progress::Done => &[],
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
        let split = self.is_with_another(from);
        let goes_on = self.started || self.committed || split;
        if *end == End::OutOfTime && !self.declined.contains(from) {
            self.declined.push(from.clone());
        }
        let is_with = |state: &Progress| match state {
            Progress::Sent(host) => host == from,
            Progress::Standing(hosts) => hosts.contains(from),
            Progress::Waiting | Progress::Late | Progress::Done => false,
        };
        let same = |part: &&mut TaskState| {
            (part.step, part.index, part.sequence) == (task.step, task.index, completion.sequence)
        };
        let part = self.parts.iter_mut().find(same).filter(|part| is_with(&part.state))?;
        let stood = matches!(part.state, Progress::Standing(_));
        if let Progress::Standing(hosts) = &mut part.state {
            hosts.retain(|host| host != from);
            if !hosts.is_empty() {
                return None;
            }
        }
        self.must_share |= *end == End::NoFastTarget;
        // A task that comes back from a queue has not used its run number.
        part.tries += u32::from(*run >= part.run);
        part.run = part.run.max(run.saturating_add(1));
        match *end {
            End::Done => {
                part.state = Progress::Done;
                self.started = true;
            }
            End::Failed => {
                part.failures += 1;
                part.state = Progress::Waiting;
                self.started = true;
            }
            End::Lost => {
                part.state = Progress::Waiting;
                self.started = true;
            }
            End::NotRun | End::NoFastTarget => part.state = Progress::Waiting,
            End::Overloaded | End::TooLate if goes_on => {
                part.state = Progress::Waiting;
                self.committed = true;
            }
            End::Overloaded | End::TooLate => part.state = Progress::Late,
            End::OutOfTime if self.started => return Some(Outcome::Unknown),
            End::OutOfTime if split => part.state = Progress::Waiting,
            End::OutOfTime => part.state = Progress::Late,
            End::Unresolved => return Some(Outcome::Unknown),
        }
        if part.failures >= self.policy.max_attempts {
            return Some(Outcome::Failed);
        }
        if part.tries >= MAX_TRIES && part.state == Progress::Waiting {
            part.state = Progress::Late;
        }
        if self.all_back() {
            return self.settle_late(*end, stood);
        }
        let whole = self.parts.iter().all(|part| part.state == Progress::Done);
        whole.then_some(Outcome::Completed)
    }

    /// Whether any task is assigned to a steward other than `than`.
    fn is_with_another(&self, than: &Host) -> bool {
        self.parts.iter().any(|part| matches!(&part.state, Progress::Sent(host) if host != than))
    }

    /// Whether a task was returned as late and no task is with a steward.
    fn all_back(&self) -> bool {
        let with =
            |part: &TaskState| matches!(part.state, Progress::Sent(_) | Progress::Standing(_));
        self.parts.iter().any(|part| part.state == Progress::Late) && !self.parts.iter().any(with)
    }

    /// Decides on a job whose remaining tasks were returned as late. If nothing has run, the job is
    /// refused, or sent once more if a single overloaded steward returned it. Otherwise it goes on
    /// while attempts are left.
    fn settle_late(&mut self, end: End, stood: bool) -> Option<Outcome> {
        let is_one = end == End::Overloaded && !stood;
        let again = is_one && !std::mem::replace(&mut self.bounced, true);
        if !self.started && !again {
            let refusal = Refusal::TooLate;
            return Some(Outcome::Refused { refusal, retry_after: RETRY_AFTER });
        }
        if self.parts.iter().any(|part| part.tries >= MAX_TRIES) {
            return Some(Outcome::Unknown);
        }
        for part in self.parts.iter_mut().filter(|part| part.state == Progress::Late) {
            part.state = Progress::Waiting;
        }
        None
    }
}
