//! Orders of queued tasks.

use std::fmt::Debug;
use std::time::Instant;

/// What an order knows about a queued task or a job that arrives.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Priority of the kind; 0 is the highest.
    pub priority: u32,
    /// Whether any task of the job has started.
    pub is_started: bool,
    /// Whether the job is expected to miss its objective.
    pub is_late: bool,
    /// Whether the job exceeds the usual share of its kind.
    pub is_excess: bool,
    /// Latest start with which the job should still meet its objective.
    pub latest_start: Instant,
    /// Time after which the job's answer counts as late.
    pub objective: Instant,
}

/// Sort key of a queued task. The lowest goes first.
pub type Rank = (u8, u32, Instant);

/// An order of queued tasks.
pub trait Order: Debug + Send + Sync {
    /// Position of a queued task. A long task should run on a fast target only.
    fn rank(&self, queued: &Class, is_long: bool) -> Rank;

    /// Whether a queued task takes room before a job that arrives now and has not started.
    fn is_ahead(&self, queued: &Class, arriving: &Class) -> bool;
}

/// Started jobs first, then those with the least slack, then late ones by priority.
#[derive(Clone, Copy, Debug)]
pub struct LeastSlack;

impl Order for LeastSlack {
    fn rank(&self, queued: &Class, is_long: bool) -> Rank {
        match (is_long, queued.is_started, queued.is_late) {
            (true, true, _) => (0, 0, queued.latest_start),
            (false, true, _) => (1, 0, queued.latest_start),
            (true, false, false) => (2, 0, queued.latest_start),
            (false, false, false) => (3, 0, queued.latest_start),
            (_, false, true) => (4, queued.priority, queued.objective),
        }
    }

    fn is_ahead(&self, queued: &Class, arriving: &Class) -> bool {
        queued.is_started || !queued.is_late && queued.latest_start <= arriving.latest_start
    }
}

/// Started jobs first, then the usual share of each kind by priority, then what exceeds it, then late jobs.
///
/// Long work within the usual share of its kind keeps its place ahead of other work whatever its priority:
/// it can use the fast targets only, while other work has all of them.
#[derive(Clone, Copy, Debug)]
pub struct Importance;

impl Order for Importance {
    fn rank(&self, queued: &Class, is_long: bool) -> Rank {
        let Class { priority, latest_start, .. } = *queued;
        match (queued.is_started, queued.is_late, queued.is_excess) {
            (true, _, _) => (u8::from(!is_long), 0, latest_start),
            (false, true, _) => (5, priority, queued.objective),
            (false, false, true) => (4, priority, latest_start),
            (false, false, false) if is_long => (2, 0, latest_start),
            (false, false, false) => (3, priority, latest_start),
        }
    }

    fn is_ahead(&self, queued: &Class, arriving: &Class) -> bool {
        let position = |class: &Class| (class.is_excess, class.priority, class.latest_start);
        queued.is_started || !queued.is_late && position(queued) <= position(arriving)
    }
}
