//! Attempts at a target.

use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Kind};

use crate::job::Room;
use crate::lease::Token;

/// Whose orders the target takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Not this host's.
    Free,
    /// A renewal with a new token is under way.
    Claiming(Token),
    /// This host's, as far as it knows.
    Held(Token),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Status {
    /// The start is not answered.
    Sent,
    /// It ran at this time of the target's clock, in milliseconds.
    Running(u64),
}

/// An attempt of a task at the target.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Number of the attempt.
    pub run: u32,
    /// Who wants it.
    pub owner: Host,
    /// The owner's opening of the job.
    pub generation: u64,
    /// Number of the message that the task came with.
    pub sequence: u32,
    /// Its kind.
    pub kind: Kind,
    /// Room that it takes.
    pub resources: Room,
    /// Declared run time.
    pub estimate: Duration,
    /// Expected run time here.
    pub expected: Duration,
    /// When the start was sent.
    pub sent_at: Instant,
    /// Moment from which its job is late.
    pub objective: Instant,
    /// When its caller goes.
    pub deadline: Instant,
    /// When its owner was last heard while it was wanted.
    pub owner_heard_at: Instant,
    /// Whether nobody wants it any more.
    pub cancelled: bool,
    /// Whether it is to be stopped so that its task can start elsewhere.
    pub recalled: bool,
    pub(super) status: Status,
    pub(super) token: Token,
    pub(super) stop_sent_at: Option<Instant>,
}

/// An attempt that another host started.
#[derive(Clone, Copy, Debug)]
pub(super) struct Orphan {
    pub(super) run: u32,
    pub(super) stop_sent_at: Option<Instant>,
}

impl Attempt {
    /// An attempt that is about to be sent.
    #[must_use]
    pub fn new(owner: Host, kind: Kind, run: u32, resources: Room, sent_at: Instant) -> Self {
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
            cancelled: false,
            recalled: false,
            status: Status::Sent,
            token: Token::default(),
            stop_sent_at: None,
        }
    }
}
