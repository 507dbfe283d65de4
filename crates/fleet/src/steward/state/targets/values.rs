//! What is kept of each target.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Label, Service};

use super::runs::Run;
use crate::directory::{self, Entry};
use crate::job::Resources;
use crate::lease::Tracker;
use crate::member::Membership;
use crate::placement::is_fast;
use crate::speed::Estimator;
use crate::steward::state::overdue::is_stuck;

/// What decides which tasks a target may run at all. Most targets share it with others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(in super::super) struct Class {
    pub(in super::super) service: Service,
    pub(in super::super) labels: Vec<Label>,
    pub(in super::super) capacity: Resources,
}

impl Class {
    pub(super) fn includes(&self, entry: &Entry) -> bool {
        self.service == entry.service
            && self.labels == entry.labels
            && self.capacity == entry.capacity
    }
}

/// Classes of all targets.
#[derive(Clone, Debug, Default)]
pub(super) struct Classes {
    pub(super) all: Vec<Class>,
}

impl Classes {
    /// Returns the classes of these entries and the class of each.
    pub(super) fn of<'a>(entries: impl Iterator<Item = &'a Entry>) -> (Self, Vec<u32>) {
        let mut known: HashMap<(&Service, &[Label], [u64; 3]), u32> = HashMap::new();
        let mut classes = Self::default();
        let class = |entry: &'a Entry| {
            let Entry { service, labels, capacity, .. } = entry;
            let amounts = [capacity.cpu_millis, capacity.memory_mb, capacity.accelerators];
            *known.entry((service, labels, amounts)).or_insert_with(|| {
                let (service, labels) = (service.clone(), labels.clone());
                classes.all.push(Class { service, labels, capacity: *capacity });
                (classes.all.len() - 1) as u32
            })
        };
        let rows = entries.map(class).collect();
        (classes, rows)
    }
}

/// Speed and reliability of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Score {
    pub(super) slowness: f64,
    pub(super) is_failing: bool,
    /// Ratio of its run times to those of an average target.
    pub(super) factor: f64,
}

impl Score {
    pub(super) fn of(tracker: &Tracker, speeds: &Estimator, now: Instant) -> Self {
        let (slowness, is_failing) = speeds.score_of(&tracker.entry.name, now);
        Self { slowness, is_failing, factor: slowness.exp() }
    }
}

/// What is kept of one target.
#[derive(Clone, Debug, PartialEq)]
pub(in super::super) struct Values {
    /// Index of its class.
    pub(in super::super) class: u32,
    pub(super) cpu_millis: u64,
    pub(super) score: Score,
    /// Whether its speed is that of the fastest target, or nearly so.
    pub(super) is_fast: bool,
    pub(super) is_stuck: bool,
    /// Whether it accepts new work and is not closed.
    pub(super) is_ready: bool,
    /// Whether its zone is evacuated. It stays so until the values of all targets are updated.
    pub(super) is_evacuated: bool,
    /// Whether this host claims its zone.
    pub(super) is_claimed: bool,
    /// Free resources; `None` if no task may start.
    pub(in super::super) free: Option<Resources>,
    /// Whether nothing runs there.
    pub(in super::super) is_idle: bool,
    /// Longest silence of an owner whose tasks may start; `None` if no task may start.
    pub(in super::super) max_silence: Option<Duration>,
    pub(in super::super) runs: Vec<Run>,
}

impl Values {
    pub(super) fn new(
        tracker: &Tracker,
        (class, score, is_claimed): (u32, Score, bool),
        fastest: f64,
        now: Instant,
    ) -> Self {
        Self {
            class,
            cpu_millis: tracker.entry.capacity.cpu_millis,
            score,
            is_fast: is_fast_factor(score.factor, fastest),
            is_stuck: is_stuck(tracker, now),
            is_ready: tracker.entry.state == directory::State::Ready && !tracker.is_closed(),
            is_evacuated: tracker.is_evacuated,
            is_claimed,
            free: tracker.available(now),
            is_idle: tracker.is_idle(),
            max_silence: tracker.max_silence(now),
            runs: tracker.attempts().map(|(task, attempt)| Run::new(task, attempt)).collect(),
        }
    }

    /// Values after something happened to the tracker; class, claim and score stay.
    pub(super) fn updated(&self, tracker: &Tracker, fastest: f64, now: Instant) -> Self {
        Self::new(tracker, (self.class, self.score, self.is_claimed), fastest, now)
    }

    /// Values after attempts were marked as cancelled.
    pub(super) fn with_runs(&self, tracker: &Tracker) -> Self {
        let runs = tracker.attempts().map(|(task, attempt)| Run::new(task, attempt));
        Self { runs: runs.collect(), ..self.clone() }
    }

    /// Ratio of its run times to those of an average target.
    pub(in super::super) fn factor(&self) -> f64 {
        self.score.factor
    }

    /// Whether it tends to fail or its runs are long overdue.
    pub(in super::super) fn is_suspect(&self) -> bool {
        self.score.is_failing || self.is_stuck
    }

    /// Whether tasks of this steward's queue may start there.
    pub(in super::super) fn is_usable(&self) -> bool {
        self.is_ready && self.is_claimed
    }

    /// Whether its runs are among those whose ends long tasks wait for.
    pub(super) fn is_awaited(&self) -> bool {
        self.is_ready && self.is_fast && !self.is_suspect()
    }

    /// Free CPU for tasks of this steward's queue.
    pub(super) fn room(&self) -> Option<u64> {
        self.free.filter(|_| self.is_usable()).map(|free| free.cpu_millis)
    }

    /// Whether a task may start whose owner was heard this long ago.
    pub(in super::super) fn allows_silence(&self, silence: Duration) -> bool {
        self.max_silence.is_some_and(|max| silence <= max)
    }
}

/// Whether a target with this factor is fast, given that of the fastest one.
pub(super) fn is_fast_factor(factor: f64, fastest: f64) -> bool {
    is_fast(Duration::from_secs_f64(factor), Duration::from_secs_f64(fastest))
}

/// Whether this host may start tasks on the targets of the entry's zone.
pub(super) fn is_claimed(entry: &Entry, membership: &Membership) -> bool {
    membership.holds(&entry.zone, &entry.name)
}
