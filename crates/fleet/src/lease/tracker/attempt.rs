//! Attempts at a target, and the state of the claim on it.

use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Kind};

use crate::job::Resources;
use crate::lease::Token;

/// State of this host's claim on a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// This host has no claim on the target.
    Free,
    /// A renewal with this new token is pending.
    Claiming(Token),
    /// The target accepted this token, and no rejection has been seen since.
    Held(Token),
}

/// Whether the target has confirmed the start of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Status {
    /// The start was sent and not confirmed.
    Sent,
    /// The attempt was running at this time of the target's clock, in milliseconds.
    Running(u64),
}

/// An attempt of a task at a target.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Run number; each attempt of a task has a higher one than those before.
    pub run: u32,
    /// Host that owns the job.
    pub owner: Host,
    /// Generation of the job at its owner; a job that is resent after its end gets a new one.
    pub generation: u64,
    /// Sequence number of the owner's message that assigned the task.
    pub sequence: u32,
    /// Kind of the job.
    pub kind: Kind,
    /// Resources that the attempt uses.
    pub resources: Resources,
    /// Run time that the caller declared.
    pub estimate: Duration,
    /// Expected run time at this target.
    pub expected: Duration,
    /// When the start was sent.
    pub sent_at: Instant,
    /// Instant until which the job counts as on time.
    pub objective: Instant,
    /// Instant at which the caller stops waiting.
    pub deadline: Instant,
    /// Time of the owner's last word before the attempt was cancelled.
    pub owner_heard_at: Instant,
    /// Unix time of the start of the target that runs it, in milliseconds.
    pub started_at_ms: u64,
    /// Whether no other attempt of this host has been at the target with it.
    pub alone: bool,
    /// Whether no other attempt may start at the target while it runs.
    pub isolated: bool,
    /// Whether its result is no longer needed, so that it must be stopped.
    pub cancelled: bool,
    /// Whether it must be stopped so that its task can start elsewhere.
    pub recalled: bool,
    pub(super) status: Status,
    /// Token of the start order.
    pub(super) token: Token,
    /// When the last stop was sent.
    pub(super) stop_sent_at: Option<Instant>,
}

/// An attempt that another host started.
#[derive(Clone, Copy, Debug)]
pub(super) struct Orphan {
    pub(super) run: u32,
    /// When the last stop was sent.
    pub(super) stop_sent_at: Option<Instant>,
}

impl Attempt {
    /// Creates an attempt whose start is sent at `sent_at`. The other fields have neutral values.
    #[must_use]
    pub fn new(owner: Host, kind: Kind, run: u32, resources: Resources, sent_at: Instant) -> Self {
        Self {
            run,
            owner,
            generation: 0,
            sequence: 0,
            kind,
            resources,
            estimate: Duration::ZERO,
            expected: Duration::ZERO,
            sent_at,
            objective: sent_at,
            deadline: sent_at,
            owner_heard_at: sent_at,
            started_at_ms: 0,
            alone: true,
            isolated: false,
            cancelled: false,
            recalled: false,
            status: Status::Sent,
            token: Token::default(),
            stop_sent_at: None,
        }
    }
}
