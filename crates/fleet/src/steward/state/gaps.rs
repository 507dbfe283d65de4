//! How the tasks that wait influence the choice of targets in a dense zone.

use std::time::{Duration, Instant};

use crate::placement::Outlook;
use crate::queue::QueuedTask;

/// Number of tasks at the head of the queue that count as waiting. They start next; the bound keeps the cost
/// of a choice independent of the queue's length.
const MAX_WAITING: usize = 32;
/// Wait after which a target may be held for a large task. It equals the wait after which a task may go to
/// another steward.
const HOLD_AFTER: Duration = Duration::from_millis(25);
/// Number of targets of which one may be held for large tasks. A held target is partly idle.
const TARGETS_PER_HOLD: usize = 64;

/// Tasks that wait during a pass over the queue, and targets held for large ones. Without tasks, as outside of
/// dense zones, nothing is held and the tightest target is chosen.
#[derive(Default)]
pub(super) struct Gaps<'a> {
    waiting: Vec<&'a QueuedTask>,
    /// CPU of a usual task; `None` before the first one.
    usual_cpu_millis: Option<f64>,
    /// Targets held for large tasks.
    held: usize,
}

impl<'a> Gaps<'a> {
    /// Takes the tasks in the order of the queue.
    pub(super) fn new(
        queued: impl Iterator<Item = &'a QueuedTask>,
        usual_cpu_millis: Option<f64>,
    ) -> Self {
        Self { waiting: queued.take(MAX_WAITING).collect(), usual_cpu_millis, held: 0 }
    }

    /// Sizes of the other tasks that wait for the same targets.
    pub(super) fn outlook(&self, queued: &QueuedTask) -> Outlook {
        let others = self
            .waiting
            .iter()
            .filter(|one| one.service == queued.service && one.task != queued.task);
        Outlook::new(others.map(|one| one.requirements.resources.cpu_millis))
    }

    /// Records that a task no longer waits.
    pub(super) fn record_placed(&mut self, queued: &QueuedTask) {
        self.waiting.retain(|one| one.task != queued.task);
    }

    /// Whether one more of the healthy targets may be held for this task.
    pub(super) fn allows_hold(
        &self,
        queued: &QueuedTask,
        healthy: impl Fn() -> usize,
        now: Instant,
    ) -> bool {
        let cpu_millis = queued.requirements.resources.cpu_millis as f64;
        self.usual_cpu_millis.is_some_and(|usual| cpu_millis > usual)
            && !self.waiting.is_empty()
            && now.duration_since(queued.queued_at) > HOLD_AFTER
            && self.held < healthy() / TARGETS_PER_HOLD
    }

    /// Records that a target is held for a large task.
    pub(super) fn record_hold(&mut self) {
        self.held += 1;
    }
}
