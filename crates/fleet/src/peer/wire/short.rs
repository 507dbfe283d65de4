//! Messages in the short form: arrays of values, in the order of the fields.

use std::sync::Arc;

use coltsfootshunt_core::name::{Kind, Service, Target, Zone};
use serde::{Deserialize, Serialize};

use crate::job::{self, Assignment, Completion, End, Id, Requirements, Task};
use crate::lease::{Suffix, Token};
use crate::member::{Claim, Echo, Heartbeat};
use crate::peer::Message;
use crate::queue::SLACK_LEVELS_MS;
use crate::routing::{self, MAX_END_TIMES};

/// A message in the short form.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Item {
    /// A heartbeat: its status if that has changed, load, stamp and echo. Without a load it has the default one, as
    /// on hosts that are no steward.
    #[serde(rename = "h")]
    Heartbeat(Option<Status>, Option<Load>, Option<u64>, Option<Echo>),
    #[serde(rename = "c")]
    Completed(Vec<Ended>, Load),
    #[serde(rename = "r")]
    Run(Run),
    /// A message that has no shorter form.
    #[serde(rename = "m")]
    Other(Message),
}

/// The part of a [`Heartbeat`] that seldom changes: claims, busy targets, flags, version of the configuration,
/// highest token, suffix of tokens, and time until the next heartbeat.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub(in crate::peer) struct Status(
    Vec<(Zone, Token)>,
    Vec<Target>,
    Flags,
    u64,
    Token,
    Option<Suffix>,
    Option<u32>,
);

/// A heartbeat says that its status has not changed, and the one before is not known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct UnknownStatus;

/// Flags of one bit each.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
struct Flags(u8);

/// A [`routing::Load`], without the absent end times.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Load(u32, u32, u32, Ends, u32, u32, u32, [u32; SLACK_LEVELS_MS.len()]);

/// Times until runs end, in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(try_from = "Vec<u32>", into = "Vec<u32>")]
struct Ends([Option<u32>; MAX_END_TIMES]);

/// A [`Completion`]: job, step, index, generation, run, sequence and end.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Ended(Id, u32, u32, u64, u32, u32, End);

/// An [`Assignment`]: job, generation, kind, service, priority, specification, time until the objective and the
/// deadline, width, flags, echo and tasks.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Run(
    Id,
    u64,
    Kind,
    Service,
    u32,
    Arc<str>,
    i64,
    i64,
    u32,
    Flags,
    Option<Echo>,
    Vec<Group>,
);

/// Consecutive tasks of one step with equal requirements: index, run and sequence of each.
#[derive(Debug, Serialize, Deserialize)]
struct Group(u32, Requirements, Vec<(u32, u32, u32)>);

impl Item {
    /// Encodes a message. `status` is that of the last heartbeat before it in the session.
    pub(super) fn new(message: &Message, status: &mut Option<Status>) -> Self {
        match message {
            Message::Heartbeat(heartbeat) => {
                let current = Status::from(heartbeat);
                let is_changed = status.as_ref() != Some(&current);
                let has_load = heartbeat.load != routing::Load::default();
                let load = has_load.then(|| (&heartbeat.load).into());
                *status = Some(current.clone());
                let changed = is_changed.then_some(current);
                Self::Heartbeat(changed, load, heartbeat.stamp_ms, heartbeat.echo)
            }
            Message::Completed(completions, load) => {
                Self::Completed(completions.iter().map(Ended::from).collect(), load.into())
            }
            Message::Run(assignment) => Self::Run(assignment.into()),
            other => Self::Other(other.clone()),
        }
    }

    /// Decodes the message. `status` is that of the last heartbeat before it in the session.
    pub(super) fn into_message(
        self,
        status: &mut Option<Status>,
    ) -> Result<Message, UnknownStatus> {
        Ok(match self {
            Self::Heartbeat(changed, load, stamp_ms, echo) => {
                *status = changed.or_else(|| status.take());
                let mut heartbeat = Heartbeat::from(status.clone().ok_or(UnknownStatus)?);
                heartbeat.load = load.map(routing::Load::from).unwrap_or_default();
                Message::Heartbeat(Heartbeat { stamp_ms, echo, ..heartbeat })
            }
            Self::Completed(ended, load) => {
                let completions = ended.into_iter().map(Completion::from).collect();
                Message::Completed(completions, load.into())
            }
            Self::Run(run) => Message::Run(run.into()),
            Self::Other(message) => message,
        })
    }
}

impl Flags {
    /// Flags whose first one is the lowest bit.
    fn new<const N: usize>(flags: [bool; N]) -> Self {
        Self(flags.iter().rev().fold(0, |bits, flag| bits << 1 | u8::from(*flag)))
    }

    /// The flag at this position; `false` if the sender is of a version that lacks it.
    fn get(self, position: usize) -> bool {
        self.0 >> position & 1 != 0
    }
}

impl From<&Heartbeat> for Status {
    fn from(heartbeat: &Heartbeat) -> Self {
        let claims = heartbeat.claims.iter().map(|claim| (claim.zone.clone(), claim.token));
        Self(
            claims.collect(),
            heartbeat.busy_targets.clone(),
            Flags::new([
                heartbeat.is_stopping,
                heartbeat.knows_targets,
                heartbeat.shares_records,
                heartbeat.lacks_store,
                heartbeat.reads_zones,
            ]),
            heartbeat.config_version,
            heartbeat.highest_token,
            heartbeat.token_suffix,
            heartbeat.next_in_ms,
        )
    }
}

impl From<Status> for Heartbeat {
    /// A heartbeat with this status, the default load, and no stamp.
    fn from(status: Status) -> Self {
        let Status(claims, busy_targets, flags, version, highest, suffix, next) = status;
        Self {
            claims: claims.into_iter().map(|(zone, token)| Claim { zone, token }).collect(),
            busy_targets,
            is_stopping: flags.get(0),
            load: routing::Load::default(),
            config_version: version,
            knows_targets: flags.get(1),
            shares_records: flags.get(2),
            lacks_store: flags.get(3),
            reads_zones: flags.get(4),
            highest_token: highest,
            token_suffix: suffix,
            next_in_ms: next,
            stamp_ms: None,
            echo: None,
        }
    }
}

impl From<&routing::Load> for Load {
    fn from(load: &routing::Load) -> Self {
        Self(
            load.free_slots,
            load.free_fast_slots,
            load.queued_long,
            Ends(load.fast_ends_ms),
            load.slots,
            load.fastest_permille,
            load.completions_per_s,
            load.waits_ms,
        )
    }
}

impl From<Load> for routing::Load {
    fn from(load: Load) -> Self {
        let Load(free, free_fast, long, Ends(ends), slots, fastest, completions, waits) = load;
        Self {
            free_slots: free,
            free_fast_slots: free_fast,
            queued_long: long,
            fast_ends_ms: ends,
            slots,
            fastest_permille: fastest,
            completions_per_s: completions,
            waits_ms: waits,
        }
    }
}

impl From<Ends> for Vec<u32> {
    fn from(Ends(ends): Ends) -> Self {
        ends.into_iter().flatten().collect()
    }
}

impl TryFrom<Vec<u32>> for Ends {
    type Error = TooManyEnds;

    fn try_from(times: Vec<u32>) -> Result<Self, Self::Error> {
        let mut ends = [None; MAX_END_TIMES];
        if times.len() > ends.len() {
            return Err(TooManyEnds);
        }
        for (end, time) in ends.iter_mut().zip(times) {
            *end = Some(time);
        }
        Ok(Self(ends))
    }
}

/// A load has more end times than a host sends.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
#[display("a load has more than {MAX_END_TIMES} end times")]
pub(super) struct TooManyEnds;

impl From<&Completion> for Ended {
    fn from(completion: &Completion) -> Self {
        let Completion { task, generation, run, sequence, end } = completion;
        Self(task.job.clone(), task.step, task.index, *generation, *run, *sequence, *end)
    }
}

impl From<Ended> for Completion {
    fn from(Ended(job, step, index, generation, run, sequence, end): Ended) -> Self {
        Self { task: Task { job, step, index }, generation, run, sequence, end }
    }
}

impl From<&Assignment> for Run {
    fn from(assignment: &Assignment) -> Self {
        let mut groups: Vec<Group> = Vec::new();
        for item in &assignment.tasks {
            let row = (item.index, item.run, item.sequence);
            match groups.last_mut() {
                Some(Group(step, requirements, rows))
                    if (*step, &*requirements) == (item.step, &item.requirements) =>
                {
                    rows.push(row);
                }
                _ => groups.push(Group(item.step, item.requirements.clone(), vec![row])),
            }
        }
        Self(
            assignment.job.clone(),
            assignment.generation,
            assignment.kind.clone(),
            assignment.service.clone(),
            assignment.priority,
            assignment.spec.clone(),
            assignment.objective_in_ms,
            assignment.deadline_in_ms,
            assignment.width,
            Flags::new([assignment.started, assignment.shared]),
            assignment.echo,
            groups,
        )
    }
}

impl From<Run> for Assignment {
    fn from(run: Run) -> Self {
        let Run(
            job,
            generation,
            kind,
            service,
            priority,
            spec,
            objective,
            deadline,
            width,
            flags,
            echo,
            groups,
        ) = run;
        let tasks = groups.into_iter().flat_map(|Group(step, requirements, rows)| {
            rows.into_iter().map(move |(index, run, sequence)| job::Item {
                step,
                index,
                run,
                sequence,
                requirements: requirements.clone(),
            })
        });
        Self {
            tasks: tasks.collect(),
            job,
            generation,
            kind,
            service,
            priority,
            spec,
            objective_in_ms: objective,
            deadline_in_ms: deadline,
            width,
            started: flags.get(0),
            shared: flags.get(1),
            echo,
        }
    }
}
