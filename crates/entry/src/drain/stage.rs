//! Stages of a planned stop.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::submission::{Chunk, ChunkId};

use super::Exit;

/// Time before a part of the records is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(500);

/// Times of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time in which new work is still taken after readiness went off, for the balancer to notice.
    pub grace: Duration,
    /// Time for the whole stop.
    pub timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self { grace: Duration::from_secs(2), timeout: Duration::from_secs(60) }
    }
}

/// Where the stop stands.
#[derive(Debug, Default)]
pub enum Stage {
    /// No stop was asked for.
    #[default]
    Serving,
    /// Not ready any more; new work is still taken.
    Grace {
        /// When new work is refused.
        until: Instant,
        /// When the process ends in any case.
        deadline: Instant,
    },
    /// New work is refused; accepted work goes on.
    Finishing {
        /// When the process ends in any case.
        deadline: Instant,
    },
    /// Nothing is in progress; records go to the successor.
    HandingOver {
        /// Parts that the successor has not taken yet.
        parts: VecDeque<Chunk>,
        /// When the first of them was last sent.
        sent: Option<Instant>,
        /// When the process ends in any case.
        deadline: Instant,
    },
    /// The process may end.
    Over(Exit),
}

impl Stage {
    /// Whether the balancer should send callers here.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        matches!(self, Self::Serving)
    }

    /// Whether new work is taken.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        matches!(self, Self::Serving | Self::Grace { .. })
    }

    /// A signal to stop came.
    pub fn request_stop(&mut self, limits: Limits, now: Instant) {
        *self = match self {
            Self::Serving => {
                Self::Grace { until: now + limits.grace, deadline: now + limits.timeout }
            }
            _ => Self::Over(Exit::Forced),
        };
    }

    /// Goes on to the next stage if it is time. `busy` says whether accepted work is in progress,
    /// `parts` gives the records once it is not.
    pub fn advance(&mut self, now: Instant, busy: bool, parts: impl FnOnce() -> Vec<Chunk>) {
        match self {
            Self::Grace { deadline, .. }
            | Self::Finishing { deadline }
            | Self::HandingOver { deadline, .. }
                if *deadline <= now =>
            {
                *self = Self::Over(Exit::Overdue);
            }
            Self::Grace { until, deadline } if *until <= now => {
                *self = Self::Finishing { deadline: *deadline };
            }
            Self::Finishing { deadline } if !busy => {
                let parts = parts().into();
                *self = Self::HandingOver { parts, sent: None, deadline: *deadline };
            }
            Self::HandingOver { parts, .. } if parts.is_empty() => *self = Self::Over(Exit::Clean),
            _ => {}
        }
    }

    /// The part to send now. With no peer to send it to, the hand-over ends.
    pub fn next_chunk(&mut self, has_successor: bool, now: Instant) -> Option<Chunk> {
        let Self::HandingOver { parts, sent, .. } = self else {
            return None;
        };
        if !has_successor {
            parts.clear();
            return None;
        }
        if sent.is_some_and(|at| now.duration_since(at) < RESEND_AFTER) {
            return None;
        }
        *sent = Some(now);
        parts.front().cloned()
    }

    /// The part that goes first.
    #[must_use]
    pub fn first_chunk(&self) -> Option<Chunk> {
        match self {
            Self::HandingOver { parts, .. } => parts.front().cloned(),
            _ => None,
        }
    }

    /// The successor took a part.
    pub fn acknowledge(&mut self, key: ChunkId) {
        let Self::HandingOver { parts, sent, .. } = self else {
            return;
        };
        if parts.front().is_some_and(|part| part.id() == key) {
            parts.pop_front();
            *sent = None;
        }
    }

    /// The successor can't be reached; the records start over with another one.
    pub fn restart_handover(&mut self, all: impl FnOnce() -> Vec<Chunk>) {
        if let Self::HandingOver { parts, .. } = self {
            *parts = all().into();
        }
    }

    /// Name of the stage, as a dump shows it.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Grace { .. } => "grace",
            Self::Finishing { .. } => "finishing",
            Self::HandingOver { .. } => "handing_over",
            Self::Over(_) => "over",
        }
    }

    /// How the process ends, once it may.
    #[must_use]
    pub fn exit(&self) -> Option<Exit> {
        match self {
            Self::Over(exit) => Some(*exit),
            _ => None,
        }
    }
}
