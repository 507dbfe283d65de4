//! Stages of a graceful shutdown.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::submission::{Chunk, ChunkId};

use super::Exit;

/// Time after which an unacknowledged chunk of the records is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Time limits of a shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for which new work is still accepted after readiness went off, so that the load
    /// balancer notices the change.
    pub grace: Duration,
    /// Time for the whole shutdown.
    pub timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self { grace: Duration::from_secs(2), timeout: Duration::from_secs(60) }
    }
}

/// Progress of the shutdown. The process ends at `deadline`, whatever the stage.
#[derive(Debug, Default)]
pub enum Stage {
    /// No shutdown was requested.
    #[default]
    Serving,
    /// Reports that it is not ready, and still accepts new work.
    Grace {
        /// Time from which new work is refused.
        until: Instant,
        /// Time at which the process ends.
        deadline: Instant,
    },
    /// Refuses new work and finishes accepted work.
    Finishing {
        /// Time at which the process ends.
        deadline: Instant,
    },
    /// Has no work in progress and sends its records to a successor.
    HandingOver {
        /// Chunks that the successor has not acknowledged, next one first.
        chunks: VecDeque<Chunk>,
        /// Time at which the first chunk was last sent; `None` if it was not sent yet.
        sent_at: Option<Instant>,
        /// Time at which the process ends.
        deadline: Instant,
    },
    /// The process may end.
    Done(Exit),
}

impl Stage {
    /// Whether the load balancer should send callers to this entry.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        matches!(self, Self::Serving)
    }

    /// Whether new work is accepted.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        matches!(self, Self::Serving | Self::Grace { .. })
    }

    /// Starts the shutdown, or ends the process if the shutdown was requested before.
    pub fn request_stop(&mut self, limits: Limits, now: Instant) {
        *self = match self {
            Self::Serving => {
                Self::Grace { until: now + limits.grace, deadline: now + limits.timeout }
            }
            _ => Self::Done(Exit::Forced),
        };
    }

    /// Enters the next stage if the current one is complete. `is_busy` says whether accepted work
    /// is in progress; `chunks` is called when the handover begins and returns the records.
    pub fn advance(&mut self, now: Instant, is_busy: bool, chunks: impl FnOnce() -> Vec<Chunk>) {
        match self {
            Self::Grace { deadline, .. }
            | Self::Finishing { deadline }
            | Self::HandingOver { deadline, .. }
                if *deadline <= now =>
            {
                *self = Self::Done(Exit::Overdue);
            }
            Self::Grace { until, deadline } if *until <= now => {
                *self = Self::Finishing { deadline: *deadline };
            }
            Self::Finishing { deadline } if !is_busy => {
                let chunks = chunks().into();
                *self = Self::HandingOver { chunks, sent_at: None, deadline: *deadline };
            }
            Self::HandingOver { chunks, .. } if chunks.is_empty() => {
                *self = Self::Done(Exit::Clean);
            }
            _ => {}
        }
    }

    /// Chunk to send now, if any. Without a successor the remaining chunks are dropped, which ends
    /// the handover.
    pub fn next_chunk(&mut self, has_successor: bool, now: Instant) -> Option<Chunk> {
        let Self::HandingOver { chunks, sent_at, .. } = self else {
            return None;
        };
        if !has_successor {
            chunks.clear();
            return None;
        }
        if sent_at.is_some_and(|at| now.duration_since(at) < RESEND_INTERVAL) {
            return None;
        }
        *sent_at = Some(now);
        chunks.front().cloned()
    }

    /// First chunk that the successor has not acknowledged.
    #[must_use]
    pub fn first_chunk(&self) -> Option<Chunk> {
        match self {
            Self::HandingOver { chunks, .. } => chunks.front().cloned(),
            _ => None,
        }
    }

    /// Records that the successor has stored a chunk. Acknowledgements of other chunks than the
    /// first are ignored.
    pub fn acknowledge(&mut self, id: &ChunkId) {
        let Self::HandingOver { chunks, sent_at, .. } = self else {
            return;
        };
        if chunks.front().is_some_and(|chunk| chunk.id() == *id) {
            chunks.pop_front();
            *sent_at = None;
        }
    }

    /// Restarts the handover from the first chunk, for another successor.
    pub fn restart_handover(&mut self, all: impl FnOnce() -> Vec<Chunk>) {
        if let Self::HandingOver { chunks, .. } = self {
            *chunks = all().into();
        }
    }

    /// Name of the stage in a state dump.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Grace { .. } => "grace",
            Self::Finishing { .. } => "finishing",
            Self::HandingOver { .. } => "handing_over",
            Self::Done(_) => "over",
        }
    }

    /// How the process ends, once it may.
    #[must_use]
    pub fn exit(&self) -> Option<Exit> {
        match self {
            Self::Done(exit) => Some(*exit),
            _ => None,
        }
    }
}
