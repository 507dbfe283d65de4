//! One open job of this host's callers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Kind, Service};

use super::{Completion, End, Outcome, Plan, Refusal, Requirements, Reservation, Size};

/// Attempts of one task, whatever their ends, before it counts as too late.
const MAX_TRIES: u32 = 8;
/// Time after which a caller whose job was given back as too late may come back; crests pass in
/// seconds.
const RETRY_AFTER: Duration = Duration::from_secs(2);
/// Stands for a caller that waits for an answer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u64);

/// What a kind's route says of its jobs.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Service whose targets run it.
    pub service: Service,
    /// 0 comes first.
    pub priority: u32,
    /// Failed attempts a task may have.
    pub max_attempts: u32,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Progress {
    /// Not with any steward.
    Waiting,
    /// Given back as too late; the other tasks decide what that means.
    Late,
    /// With these stewards, of which the first that has a place for it gets it.
    Standing(Vec<Host>),
    /// With this steward alone.
    Sent(Host),
    Done,
}

#[derive(Clone, Debug)]
struct TaskState {
    step: u32,
    index: u32,
    state: Progress,
    /// Number that the next attempt may have.
    run: u32,
    /// Messages that gave it to stewards.
    sequence: u32,
    failures: u32,
    tries: u32,
}

/// One open job.
#[derive(Debug)]
pub struct Open {
    /// Its kind.
    pub kind: Kind,
    /// What it runs.
    pub plan: Arc<Plan>,
    /// Its kind's policy when it was taken.
    pub policy: Policy,
    /// Its size among jobs of its kind.
    pub size: Size,
    /// When it was taken.
    pub since: Instant,
    /// From when on its answer counts as late.
    pub objective: Instant,
    /// When its caller goes.
    pub deadline: Instant,
    /// Whether a steward may start or may have started anything of it.
    pub may_have_started: bool,
    /// Whether anything of it has run.
    pub started: bool,
    /// Whether the job goes on although a part of it was given back: other parts of it are placed.
    pub committed: bool,
    /// Number of this opening.
    pub generation: u64,
    /// Stewards on whose targets a part of it can't end in time.
    declined: Vec<Host>,
    /// Whether a steward that was too busy has given all of it back once.
    bounced: bool,
    /// Whether a steward found that only fast targets will do, and none was free there: the rest stands with
    /// several.
    pub must_share: bool,
    pub(super) request_ids: Vec<RequestId>,
    parts: Vec<TaskState>,
}

/// A task that stood with several stewards and is one's alone now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Granted {
    /// Its step.
    pub step: u32,
    /// Its number.
    pub index: u32,
    /// Lowest number of its next attempt.
    pub run: u32,
    /// Number of the message that it came with.
    pub sequence: u32,
    /// Stewards with which it stands no longer.
    pub other_stewards: Vec<Host>,
}

/// A task that may go to a steward.
#[derive(Clone, Debug)]
pub struct Ready {
    /// Place in the job.
    pub position: usize,
    /// Its step.
    pub step: u32,
    /// Its number.
    pub index: u32,
    /// Lowest number of its next attempt.
    pub run: u32,
    /// Number of the next message that gives it to stewards.
    pub sequence: u32,
    /// What it needs.
    pub requirements: Requirements,
}

impl From<Ready> for super::Item {
    fn from(Ready { step, index, run, sequence, requirements, .. }: Ready) -> Self {
        Self { step, index, run, sequence, requirements }
    }
}

impl Open {
    /// A job of which nothing has started.
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

    /// Tasks that may start now and are with no steward.
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

    /// Number of the last message that gave a task to stewards.
    #[cfg(test)]
    pub(super) fn sequence(&self, part: u32) -> u32 {
        self.parts[part as usize].sequence
    }

    /// Notes that a task went to a steward.
    pub fn mark_sent(&mut self, part: usize, to: Host) {
        self.parts[part].state = Progress::Sent(to);
        self.parts[part].sequence += 1;
        self.may_have_started = true;
    }

    /// Notes that a task stands with some stewards.
    pub fn mark_shared(&mut self, part: usize, with: Vec<Host>) {
        self.parts[part].state = Progress::Standing(with);
        self.parts[part].sequence += 1;
    }

    /// Grants a steward a task that stands with it, or one like it if another steward has that one by now.
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

    /// Whether tasks of it stand with a steward.
    #[must_use]
    pub fn is_shared_with(&self, host: &Host) -> bool {
        let with = |part: &TaskState| matches!(&part.state, Progress::Standing(hosts) if hosts.contains(host));
        self.parts.iter().any(with)
    }

    /// Takes back what stands with a steward that is gone; what stands with no other can be sent anew.
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

    /// Whether any of it has run, runs or starts at once.
    #[must_use]
    pub fn is_in_progress(&self) -> bool {
        let sent = |part: &TaskState| matches!(part.state, Progress::Sent(_));
        self.started || self.committed || self.parts.iter().any(sent)
    }

    /// Whether a steward alone has any of its tasks.
    #[must_use]
    pub fn is_assigned_to(&self, host: &Host) -> bool {
        self.parts.iter().any(|part| part.state == Progress::Sent(host.clone()))
    }

    /// Whether a steward gave a part of it back since its targets can't end it in time.
    #[must_use]
    pub fn has_declined(&self, host: &Host) -> bool {
        self.declined.contains(host)
    }

    /// Stewards that have tasks of it.
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

    /// Takes the end of a task in; the outcome, if the job has one now.
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
        // A task that goes back from a line has not used its number.
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

    /// Whether a steward other than this one has tasks of it.
    fn is_with_another(&self, than: &Host) -> bool {
        self.parts.iter().any(|part| matches!(&part.state, Progress::Sent(host) if host != than))
    }

    /// Whether some task was given back as too late and no task is with a steward.
    fn all_back(&self) -> bool {
        let with =
            |part: &TaskState| matches!(part.state, Progress::Sent(_) | Progress::Standing(_));
        self.parts.iter().any(|part| part.state == Progress::Late) && !self.parts.iter().any(with)
    }

    /// With nothing run, the job is turned away, or tried once more where one busy steward gave it back;
    /// else it goes on late, while there are tries left.
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
