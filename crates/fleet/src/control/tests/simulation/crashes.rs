//! Targets that crash, and tasks that crash each target that starts them.

use std::collections::{BTreeMap, BTreeSet};

use coltsfootshunt_core::name::Target;
use rand::Rng;

use super::{SimEvent, Simulation};
use crate::job::Task;
use crate::lease::{Call, Rejection, Response};

/// Crashes under one task after which further starts are counted.
const COUNTED_CRASHES: u32 = 3;
/// Number of starts after [`COUNTED_CRASHES`] that breaks the rule on poison tasks.
const FORBIDDEN_STARTS: u32 = 3;
/// Time for which a target that crashed under a poison task is down, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 2_000..4_000;

/// Tasks that crash their targets, and the crashes under all tasks.
#[derive(Default)]
pub(super) struct Count {
    /// Tasks that crash each target that starts them, with the time from the start to the crash in
    /// milliseconds. Those with a time of 0 crash the target before it responds.
    poison: BTreeMap<Task, u64>,
    /// Number of targets that have crashed while they ran the task.
    under: BTreeMap<Task, u32>,
    /// Starts of a task after [`COUNTED_CRASHES`].
    late_starts: BTreeMap<Task, u32>,
    /// Whether targets that crashed under a poison task are back under another name.
    pub(super) are_renamed: bool,
    /// Tasks that ran on a target when a poison one crashed it.
    neighbours: BTreeSet<Task>,
}

impl Simulation {
    /// Makes a task crash each target this long after its start there.
    pub(in crate::control::tests) fn make_poison(&mut self, task: Task, after_ms: u64) {
        self.crashes.poison.insert(task, after_ms);
    }

    /// Number of targets that have crashed while they ran the task.
    pub(in crate::control::tests) fn crashes_under(&self, task: &Task) -> u32 {
        self.crashes.under.get(task).copied().unwrap_or_default()
    }

    /// Number of tasks that were lost because a poison one crashed their target.
    pub(in crate::control::tests) fn lost_neighbours(&self) -> usize {
        self.crashes.neighbours.len()
    }

    /// Crashes a target, which starts again at `starts_ms`.
    pub(super) fn crash_for(&mut self, name: &Target, starts_ms: u64) {
        if let Some(target) = self.targets.get_mut(name) {
            for task in target.running.keys() {
                *self.crashes.under.entry(task.clone()).or_default() += 1;
            }
            target.crash(starts_ms);
        }
    }

    /// Crashes a target if it still runs a poison task.
    pub(super) fn crash_poisoned(&mut self, name: &Target) {
        let Some(target) = self.targets.get(name) else {
            return;
        };
        let is_poison = |task: &&Task| self.crashes.poison.contains_key(*task);
        let running: Vec<&Task> = target.running.keys().collect();
        if running.iter().any(is_poison) {
            let neighbours =
                running.iter().filter(|task| !is_poison(task)).map(|task| (*task).clone());
            let neighbours: Vec<Task> = neighbours.collect();
            self.crashes.neighbours.extend(neighbours);
            let down_ms = self.rng.random_range(DOWN_MS);
            let starts_ms = self.now_ms() + down_ms;
            self.crash_for(name, starts_ms);
            if self.crashes.are_renamed
                && let Some(mut target) = self.targets.remove(name)
            {
                target.entry.name = Target::try_from(format!("{name}-{starts_ms}")).unwrap();
                self.targets.insert(target.entry.name.clone(), target);
            }
        }
    }

    /// Lets targets that crash under a poison task come back under another name.
    pub(in crate::control::tests) fn rename_crashed_targets(&mut self) {
        self.crashes.are_renamed = true;
    }

    /// Response to a call to a target that is back under another name.
    pub(super) fn answer_under_other_name(&self, call: &Call) -> Response {
        let now_ms = self.now_ms();
        let mut others = self.targets.values();
        let is_up = others.any(|one| one.entry.address == call.address && !one.is_down(now_ms));
        if is_up { Response::Rejected(Rejection::OtherIncarnation) } else { Response::NotSent }
    }

    /// Counts the start of a task and lets it crash its target if it is poison. Returns whether the target
    /// crashes before it responds.
    pub(super) fn record_start(&mut self, task: &Task, target: &Target) -> bool {
        if self.crashes_under(task) >= COUNTED_CRASHES {
            let starts = self.crashes.late_starts.entry(task.clone()).or_default();
            *starts += 1;
            if *starts == FORBIDDEN_STARTS {
                let now_ms = self.now_ms();
                let crashes = self.crashes_under(task);
                let violation = format!("{now_ms} ms: {task} starts after {crashes} crashes");
                self.violations.push(violation);
            }
        }
        match self.crashes.poison.get(task).copied() {
            None => false,
            Some(0) => {
                self.crash_poisoned(target);
                true
            }
            Some(after_ms) => {
                self.schedule(after_ms, SimEvent::Crash(target.clone()));
                false
            }
        }
    }
}
