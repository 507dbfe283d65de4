//! Selection of the order at one steward.

use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Kind;

use super::{Arrivals, Class, Importance, LeastSlack, Order};
use crate::queue::SLACK_LEVELS_MS;
use crate::routing::Load;

/// Number of times that a task passes the control thread until its owner knows of its end: when it arrives
/// and when the target reports the end.
const PASSES: u32 = 2;
/// Standing backlog above which a steward returns jobs that are not long. With twice that, a job of median
/// length of the shorter kinds is just on time. Half of these limits cost more jobs than they saved where the
/// control thread was only a little behind.
const MAX_BACKLOG: Duration = Duration::from_millis(40);
/// The same for jobs of the highest priority within the usual share of their kind.
const MAX_BACKLOG_FOR_IMPORTANT: Duration = Duration::from_millis(60);
/// The same for long jobs. They have more slack, and few events for their work.
const MAX_BACKLOG_FOR_LONG: Duration = Duration::from_millis(100);
/// Number of slack levels up to the one of long jobs, which wait for fast targets and not behind other work.
const LEVELS_WITH_BOUND: usize = 4;
/// Multiple of the slack of a level that no job of the level can wait.
const LATE_FACTOR: u32 = 2;
/// Time over which the lowest backlog counts as standing. A process that has used up its share of the
/// processor for a scheduling period of 100 ms has a backlog that is gone in the next one.
const STANDING_TIME: Duration = Duration::from_millis(100);

/// The lowest backlog in the present and the last period: what is left when the short ones are gone.
#[derive(Debug, Default)]
struct Standing {
    since: Option<Instant>,
    present: Duration,
    last: Duration,
}

impl Standing {
    fn update(&mut self, age: Duration, now: Instant) {
        if self.since.is_none_or(|since| now.duration_since(since) >= STANDING_TIME) {
            self.last = if self.since.is_some() { self.present } else { Duration::ZERO };
            (self.since, self.present) = (Some(now), age);
        }
        self.present = self.present.min(age);
    }

    fn lowest(&self) -> Duration {
        self.present.min(self.last)
    }
}

/// State of a steward that decides which order applies.
#[derive(Debug, Default)]
pub struct Policy {
    arrivals: Arrivals,
    /// Whether this steward serves a dense zone. The order is [`LeastSlack`] elsewhere.
    is_dense: bool,
    /// Whether more tasks waited at the last pass over the queue than could start in time.
    is_crowded: bool,
    /// Time that events wait for the control thread, as far as it counts as a wait of tasks.
    backlog: Duration,
    /// Whether the control thread is too far behind for any new task.
    is_behind: bool,
    standing: Standing,
}

impl Policy {
    /// Sets whether this steward serves a dense zone.
    pub fn set_dense(&mut self, is_dense: bool) {
        self.is_dense = is_dense;
        self.is_crowded &= is_dense;
    }

    /// Whether this steward serves a dense zone.
    #[must_use]
    pub fn is_dense(&self) -> bool {
        self.is_dense
    }

    /// Sets the age of the oldest event that waits, the part of it that counts as a wait of tasks, and whether
    /// that leaves no room for new tasks.
    pub fn set_backlog(
        &mut self,
        age: Duration,
        (backlog, is_behind): (Duration, bool),
        now: Instant,
    ) {
        (self.backlog, self.is_behind) = (backlog, is_behind);
        self.standing.update(age, now);
    }

    /// Records whether more tasks wait than can start in time.
    pub fn set_crowded(&mut self, is_crowded: bool) {
        self.is_crowded = is_crowded;
    }

    /// Whether more tasks waited at the last pass over the queue than could start in time.
    #[must_use]
    pub fn is_crowded(&self) -> bool {
        self.is_crowded
    }

    /// Expected wait of a new task because of the control thread.
    #[must_use]
    pub fn backlog(&self) -> Duration {
        if self.is_dense { self.backlog * PASSES } else { Duration::ZERO }
    }

    /// Whether the control thread is too far behind for a job that arrives. Each job that is taken adds some
    /// events for each task, while one that is returned costs a single one.
    #[must_use]
    pub fn sheds(&self, arriving: &Class, is_long: bool) -> bool {
        let is_important = arriving.priority == 0 && !arriving.is_excess;
        let limit = match (is_long, is_important) {
            (true, _) => MAX_BACKLOG_FOR_LONG,
            (false, true) => MAX_BACKLOG_FOR_IMPORTANT,
            (false, false) => MAX_BACKLOG,
        };
        self.is_dense && self.standing.lowest() > limit
    }

    /// The order that applies.
    #[must_use]
    pub fn order(&self) -> &'static dyn Order {
        if self.is_crowded { &Importance } else { &LeastSlack }
    }

    /// Records a job that arrives, and returns whether it exceeds the usual share of its kind.
    pub fn record_arrival(
        &mut self,
        kind: (&Kind, u32),
        work: f64,
        slack_level: usize,
        now: Instant,
    ) -> bool {
        self.is_dense && self.arrivals.record(kind, work, slack_level, now)
    }

    /// The job that a slack level of the load report stands for: one of the kind that usually arrives most
    /// often with that slack. Owners know nothing else of what waits here, and this is where most of their
    /// jobs with that slack would be queued.
    #[must_use]
    pub fn typical_class(&self, slack_level: usize, now: Instant) -> Class {
        // The last part of a millisecond belongs to the level, since slack is counted in whole ones.
        let slack = Duration::from_millis(SLACK_LEVELS_MS[slack_level].into())
            + Duration::from_nanos(999_999);
        let priority = self.is_crowded.then(|| self.arrivals.typical_priority(slack_level, now));
        Class {
            priority: priority.flatten().unwrap_or(u32::MAX),
            is_started: false,
            is_late: false,
            is_excess: false,
            latest_start: now + slack,
            objective: now + slack,
        }
    }

    /// Adds the backlog of the control thread to a load report. A steward that is far behind reports no free
    /// slots, so that owners send to others. At the slack levels of jobs that it would return, it reports a
    /// wait beyond their slack: a message that only brings a job back costs as much as one that is of use.
    #[must_use]
    pub fn with_backlog(&self, mut load: Load, now: Instant) -> Load {
        if !self.is_dense {
            return load;
        }
        let backlog_ms = u32::try_from(self.backlog().as_millis()).unwrap_or(u32::MAX);
        load.waits_ms = load.waits_ms.map(|wait| wait.saturating_add(backlog_ms));
        if self.is_behind {
            (load.free_slots, load.free_fast_slots) = (0, 0);
        }
        for (level, wait) in load.waits_ms.iter_mut().enumerate().take(LEVELS_WITH_BOUND) {
            let priority = self.arrivals.typical_priority(level, now).unwrap_or(u32::MAX);
            let typical = Class { priority, ..self.typical_class(level, now) };
            if self.sheds(&typical, false) {
                *wait = (*wait).max(SLACK_LEVELS_MS[level].saturating_mul(LATE_FACTOR));
            }
        }
        load
    }
}
