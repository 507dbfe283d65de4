//! Sums over all targets. They are kept as integers, so that adding and subtracting leaves no rounding errors.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use coltsfootshunt_core::name::Host;

use super::runs::{Ends, Run};
use super::values::Values;
use crate::job::{Id, Task};
use crate::speed::reference;

/// Units of a fixed-point number.
const ONE: f64 = (1_u64 << 40) as f64;

/// Number of targets, and the sum of their speeds relative to an average target, in units of
/// 1 / [`ONE`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Speeds {
    count: u64,
    sum: i128,
}

/// Number of targets, and of fast ones among them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Counts {
    all: u64,
    fast: u64,
}

/// Targets that may get new tasks, by the resources that decide how many tasks they take.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Usable {
    by_capacity: BTreeMap<u64, Speeds>,
    by_free: BTreeMap<u64, Counts>,
}

/// Capacity of a set of targets, counted in tasks of average size.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(in super::super) struct Capacity {
    pub(in super::super) slots: u32,
    pub(in super::super) free_slots: u32,
    pub(in super::super) free_fast_slots: u32,
    /// Work done per second when all slots are taken, in millicore-seconds of an average target.
    pub(in super::super) rate: f64,
}

/// Sums over all targets.
#[derive(Clone, Debug, Default, PartialEq)]
pub(in super::super) struct Sums {
    /// All targets that may get new tasks.
    usable: Usable,
    /// Those of them in zones that this host claims.
    claimed: Usable,
    /// Slowness of all targets, in ascending order.
    slowness: Vec<f64>,
    /// Slowness of the targets of zones that are not evacuated, in ascending order.
    open_slowness: Vec<f64>,
    /// Factors of the targets of each class that may get tasks, full or not, and are not suspect; in
    /// ascending order.
    healthy: Vec<Vec<f64>>,
    /// Ends of the runs on fast targets that are not suspect.
    fast_ends: Ends,
    /// Expected ends of all runs per second, in units of 1 / [`ONE`].
    ends_per_s: i128,
    /// Number of runs that must be alone.
    isolated: usize,
    /// Runs that are not cancelled, by owner.
    owners: BTreeMap<Host, usize>,
    /// Cancelled runs, by task.
    cancelled: HashMap<Task, usize>,
    /// Rows with runs of a job, one for each run, in ascending order.
    jobs: HashMap<Id, Vec<u32>>,
}

impl Sums {
    pub(super) fn of(values: &[Values], classes: usize, now: Instant) -> Self {
        let mut sums = Self { healthy: vec![Vec::new(); classes], ..Self::default() };
        for (row, one) in values.iter().enumerate() {
            sums.slowness.push(one.score.slowness);
            if !one.is_evacuated {
                sums.open_slowness.push(one.score.slowness);
            }
            if is_healthy(one) {
                sums.healthy[one.class as usize].push(one.factor());
            }
            sums.add_room(one);
            sums.change_runs(row as u32, None, Some(one));
        }
        sums.slowness.sort_by(f64::total_cmp);
        sums.open_slowness.sort_by(f64::total_cmp);
        sums.healthy.iter_mut().for_each(|factors| factors.sort_by(f64::total_cmp));
        sums.fast_ends.advance(now);
        sums
    }

    /// Replaces the values of a target.
    pub(super) fn replace(&mut self, row: usize, old: &Values, new: &Values) {
        if old.score.slowness != new.score.slowness {
            remove_sorted(&mut self.slowness, old.score.slowness);
            insert_sorted(&mut self.slowness, new.score.slowness);
            if !new.is_evacuated {
                remove_sorted(&mut self.open_slowness, old.score.slowness);
                insert_sorted(&mut self.open_slowness, new.score.slowness);
            }
        }
        if (is_healthy(old), old.factor()) != (is_healthy(new), new.factor()) {
            let factors = &mut self.healthy[old.class as usize];
            if is_healthy(old) {
                remove_sorted(factors, old.factor());
            }
            if is_healthy(new) {
                insert_sorted(factors, new.factor());
            }
        }
        let room = |one: &Values| (one.is_ready, one.is_claimed, one.free, one.is_fast);
        if room(old) != room(new) || old.factor() != new.factor() {
            self.remove_room(old);
            self.add_room(new);
        }
        if old.runs != new.runs || old.is_awaited() != new.is_awaited() {
            self.change_runs(row as u32, Some(old), Some(new));
        }
    }

    fn add_room(&mut self, values: &Values) {
        self.change_room(values, |speeds, counts, speed, is_fast| {
            speeds.count += 1;
            speeds.sum += speed;
            counts.all += 1;
            counts.fast += u64::from(is_fast);
        });
    }

    fn remove_room(&mut self, values: &Values) {
        self.change_room(values, |speeds, counts, speed, is_fast| {
            speeds.count -= 1;
            speeds.sum -= speed;
            counts.all -= 1;
            counts.fast -= u64::from(is_fast);
        });
    }

    fn change_room(
        &mut self,
        values: &Values,
        change: impl Fn(&mut Speeds, &mut Counts, i128, bool),
    ) {
        let Some(free) = values.free.filter(|_| values.is_ready) else {
            return;
        };
        let speed = fixed(values.factor().recip());
        let claimed = values.is_claimed.then_some(&mut self.claimed);
        for sums in [Some(&mut self.usable), claimed].into_iter().flatten() {
            let speeds = sums.by_capacity.entry(values.cpu_millis).or_default();
            let counts = sums.by_free.entry(free.cpu_millis).or_default();
            change(speeds, counts, speed, values.is_fast);
            if speeds.count == 0 {
                sums.by_capacity.remove(&values.cpu_millis);
            }
            if counts.all == 0 {
                sums.by_free.remove(&free.cpu_millis);
            }
        }
    }

    /// Replaces the runs of a target. Both lists are ordered by task.
    fn change_runs(&mut self, row: u32, old: Option<&Values>, new: Option<&Values>) {
        let was_awaited = old.is_some_and(Values::is_awaited);
        let is_awaited = new.is_some_and(Values::is_awaited);
        let mut old = old.map_or(&[][..], |values| &values.runs[..]);
        let mut new = new.map_or(&[][..], |values| &values.runs[..]);
        loop {
            match (old.split_first(), new.split_first()) {
                (Some((one, rest)), Some((other, others))) if one == other => {
                    if was_awaited && !is_awaited {
                        self.fast_ends.remove(row, one);
                    } else if !was_awaited && is_awaited {
                        self.fast_ends.insert(row, one);
                    }
                    (old, new) = (rest, others);
                }
                (Some((one, rest)), other) if other.is_none_or(|(two, _)| one.task <= two.task) => {
                    self.remove_run(row, one, was_awaited);
                    old = rest;
                }
                (_, Some((one, rest))) => {
                    self.add_run(row, one, is_awaited);
                    new = rest;
                }
                (_, None) => return,
            }
        }
    }

    fn add_run(&mut self, row: u32, run: &Run, is_awaited: bool) {
        self.ends_per_s += fixed(run.ends_per_s());
        self.isolated += usize::from(run.is_isolated);
        if run.is_cancelled {
            *self.cancelled.entry(run.task.clone()).or_default() += 1;
        } else {
            *self.owners.entry(run.owner.clone()).or_default() += 1;
        }
        let rows = self.jobs.entry(run.task.job.clone()).or_default();
        rows.insert(rows.partition_point(|one| *one < row), row);
        if is_awaited {
            self.fast_ends.insert(row, run);
        }
    }

    fn remove_run(&mut self, row: u32, run: &Run, was_awaited: bool) {
        self.ends_per_s -= fixed(run.ends_per_s());
        self.isolated -= usize::from(run.is_isolated);
        if run.is_cancelled {
            if subtract_one(self.cancelled.get_mut(&run.task)) {
                self.cancelled.remove(&run.task);
            }
        } else if subtract_one(self.owners.get_mut(&run.owner)) {
            self.owners.remove(&run.owner);
        }
        if let Some(rows) = self.jobs.get_mut(&run.task.job) {
            if let Ok(at) = rows.binary_search(&row) {
                rows.remove(at);
            }
            if rows.is_empty() {
                self.jobs.remove(&run.task.job);
            }
        }
        if was_awaited {
            self.fast_ends.remove(row, run);
        }
    }

    pub(super) fn advance(&mut self, now: Instant) {
        self.fast_ends.advance(now);
    }

    /// Ratio of the run time on the fastest targets to that on an average one; at most 1.
    pub(in super::super) fn fastest_factor(&self) -> f64 {
        fastest_factor(&self.open_slowness)
    }

    /// Ratio of the run time on the median target to that on an average one.
    pub(in super::super) fn median_factor(&self) -> f64 {
        self.slowness.get(self.slowness.len() / 2).copied().unwrap_or_default().exp()
    }

    /// Factors of the targets of a class that may get tasks, full or not, and are not suspect; in
    /// ascending order.
    pub(in super::super) fn healthy(&self, class: usize) -> &[f64] {
        &self.healthy[class]
    }

    /// Ends of the runs on fast targets that are not suspect.
    pub(in super::super) fn fast_ends(&self) -> &Ends {
        &self.fast_ends
    }

    /// Expected number of runs that end per second.
    pub(in super::super) fn ends_per_s(&self) -> f64 {
        self.ends_per_s as f64 / ONE
    }

    /// Number of runs that must be alone.
    pub(in super::super) fn isolated(&self) -> usize {
        self.isolated
    }

    /// Owners of runs that are not cancelled.
    pub(in super::super) fn owners(&self) -> impl Iterator<Item = &Host> {
        self.owners.keys()
    }

    /// Whether a cancelled run of the task may be at work.
    pub(in super::super) fn is_being_stopped(&self, task: &Task) -> bool {
        !self.cancelled.is_empty() && self.cancelled.contains_key(task)
    }

    /// Tasks of which cancelled runs may be at work.
    pub(in super::super) fn being_stopped(&self) -> impl Iterator<Item = &Task> {
        self.cancelled.keys()
    }

    /// Rows with runs of a job, in ascending order.
    pub(super) fn rows_of(&self, job: &Id) -> Vec<usize> {
        let rows = self.jobs.get(job).into_iter().flatten();
        let mut rows: Vec<usize> = rows.map(|row| *row as usize).collect();
        rows.dedup();
        rows
    }

    /// Capacity of the targets that may get new tasks, or of those in claimed zones only, in tasks of
    /// this size.
    pub(super) fn capacity(&self, claimed_only: bool, task_cpu_millis: f64) -> Capacity {
        let sums = if claimed_only { &self.claimed } else { &self.usable };
        let task_cpu_millis = task_cpu_millis.max(1.0);
        let mut capacity = Capacity::default();
        // A target may report more slots than fit into the counter.
        let times = |tasks: u32, targets: u64| {
            u32::try_from(u64::from(tasks).saturating_mul(targets)).unwrap_or(u32::MAX)
        };
        for (cpu_millis, Speeds { count, sum }) in &sums.by_capacity {
            let slots = (*cpu_millis as f64 / task_cpu_millis).floor();
            capacity.slots = capacity.slots.saturating_add(times(slots as u32, *count));
            capacity.rate += slots * task_cpu_millis * (*sum as f64 / ONE);
        }
        let first = task_cpu_millis as u64;
        for (cpu_millis, Counts { all, fast }) in sums.by_free.range(first..) {
            let free = (*cpu_millis as f64 / task_cpu_millis) as u32;
            capacity.free_slots = capacity.free_slots.saturating_add(times(free, *all));
            let fast = times(free, *fast);
            capacity.free_fast_slots = capacity.free_fast_slots.saturating_add(fast);
        }
        capacity
    }
}

/// Ratio of the run time on the fastest targets to that on an average one; at most 1. `slowness` is in ascending order.
pub(super) fn fastest_factor(slowness: &[f64]) -> f64 {
    reference::of_sorted_logarithms(slowness).map_or(1.0, |factor| factor.min(1.0))
}

/// Whether tasks may be placed on a target, full or not, and it is not suspect.
fn is_healthy(values: &Values) -> bool {
    values.is_usable() && !values.is_suspect()
}

fn fixed(value: f64) -> i128 {
    (value * ONE) as i128
}

fn insert_sorted(sorted: &mut Vec<f64>, value: f64) {
    let at = sorted.partition_point(|one| one.total_cmp(&value).is_lt());
    sorted.insert(at, value);
}

fn remove_sorted(sorted: &mut Vec<f64>, value: f64) {
    if let Ok(at) = sorted.binary_search_by(|one| one.total_cmp(&value)) {
        sorted.remove(at);
    }
}

/// Subtracts one; returns whether nothing is left.
fn subtract_one(count: Option<&mut usize>) -> bool {
    count.is_some_and(|count| {
        *count -= 1;
        *count == 0
    })
}
