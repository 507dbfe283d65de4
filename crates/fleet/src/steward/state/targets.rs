//! The targets that a steward gives orders to, in a dense table ordered by name, and the sums over
//! them.
//!
//! What placement, overload and load reports need of a target is kept as [`Values`], and the sums over
//! all targets as [`Sums`]. Trackers change through this module only, which updates both. Values that
//! depend on the time (decay of scores, leases, stuck targets) are updated at each tick, and for one
//! target whenever something happens to it. They decide where a task is to start; whether it may start
//! there is asked of the tracker itself.

mod rooms;
mod runs;
mod sums;
mod values;

use std::borrow::Cow;
use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

use coltsfootshunt_core::name::{Host, Target};

use crate::directory::Directory;
use crate::job::{Id, Task};
use crate::lease::{Attempt, Term, Tracker};
use crate::member::split::Holding;
use crate::member::{Claim, Membership};
use crate::placement::FAST_FACTOR;
use crate::speed::Estimator;

pub(super) use rooms::Rooms;
pub(super) use runs::{Ends, MIN_RUN, merge, remaining};
use sums::fastest_factor;
pub(super) use sums::{Capacity, Sums};
pub(super) use values::{Class, Values};
use values::{Classes, Score, is_claimed, is_fast_factor};

/// Relative error of limits of run times, which are rounded to nanoseconds.
const ROUNDING: f64 = 1e-6;

/// Values and sums of all targets.
#[derive(Clone, Debug)]
pub(super) struct Kept {
    values: Vec<Values>,
    classes: Classes,
    rooms: Rooms,
    sums: Sums,
    /// Claims of this host, and its share of a zone, when the values were last updated.
    claims: Vec<Claim>,
    holding: Holding,
}

/// The targets that a steward gives orders to.
#[derive(Debug, Default)]
pub(super) struct Targets {
    /// Ordered by name.
    trackers: Vec<Tracker>,
    rows: HashMap<Target, usize>,
    /// `None` from a change of the targets until the next update of all.
    kept: Option<Kept>,
}

impl Targets {
    /// All targets, by name.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Tracker> + Clone {
        self.trackers.iter()
    }

    /// Number of targets.
    pub(super) fn len(&self) -> usize {
        self.trackers.len()
    }

    /// The tracker of a row.
    pub(super) fn row(&self, row: usize) -> &Tracker {
        &self.trackers[row]
    }

    /// The row of a target.
    pub(super) fn find(&self, target: &Target) -> Option<usize> {
        self.rows.get(target).copied()
    }

    /// Adds the directory's targets in claimed zones and removes all others. A target with running
    /// tasks is kept until it is idle.
    pub(super) fn sync(
        &mut self,
        directory: &Directory,
        membership: &Membership,
        term: Term,
        now: Instant,
    ) {
        self.kept = None;
        let mut added = Vec::new();
        for entry in directory.iter().filter(|entry| membership.holds(&entry.zone, &entry.name)) {
            match self.rows.get(&entry.name) {
                Some(row) => self.trackers[*row].update(entry, directory.read_at()),
                None => {
                    let mut tracker = Tracker::new(entry.clone(), term, now);
                    tracker.update(entry, directory.read_at());
                    added.push(tracker);
                }
            }
        }
        let count = self.trackers.len();
        self.trackers.retain(|tracker| {
            let is_claimed = membership.holds(&tracker.entry.zone, &tracker.entry.name)
                && directory.get(&tracker.entry.name).is_some();
            is_claimed || !tracker.is_idle()
        });
        if added.is_empty() && self.trackers.len() == count {
            return;
        }
        self.trackers.append(&mut added);
        self.trackers.sort_by(|one, other| one.entry.name.cmp(&other.entry.name));
        let names = self.trackers.iter().map(|tracker| tracker.entry.name.clone());
        self.rows = names.enumerate().map(|(row, name)| (name, row)).collect();
    }

    /// Changes any number of trackers; the values are updated by the next [`Self::refresh`].
    pub(super) fn change_all(&mut self) -> impl Iterator<Item = &mut Tracker> {
        self.kept = None;
        self.trackers.iter_mut()
    }

    /// Updates the values and sums of all targets.
    pub(super) fn refresh(&mut self, membership: &Membership, speeds: &Estimator, now: Instant) {
        #[cfg(debug_assertions)]
        if let Some(kept) = &self.kept {
            kept.check(now);
        }
        self.kept = Some(Kept::of(&self.trackers, membership, speeds, now));
    }

    /// Updates all values and sums if targets or claims have changed since.
    pub(super) fn ensure(&mut self, membership: &Membership, speeds: &Estimator, now: Instant) {
        match &mut self.kept {
            Some(kept) if kept.is_current(membership) => kept.sums.advance(now),
            _ => self.refresh(membership, speeds, now),
        }
    }

    /// The values and sums, computed from scratch if targets or claims have changed since.
    pub(super) fn kept(
        &self,
        membership: &Membership,
        speeds: &Estimator,
        now: Instant,
    ) -> Cow<'_, Kept> {
        match &self.kept {
            Some(kept) if kept.is_current(membership) => Cow::Borrowed(kept),
            _ => Cow::Owned(Kept::of(&self.trackers, membership, speeds, now)),
        }
    }

    /// Changes a tracker and updates its values, but for the score.
    pub(super) fn change<R>(
        &mut self,
        row: usize,
        now: Instant,
        change: impl FnOnce(&mut Tracker) -> R,
    ) -> R {
        let result = change(&mut self.trackers[row]);
        // A report may show that another entry counts.
        let entry = &self.trackers[row].entry;
        self.kept = self.kept.take().filter(|kept| kept.class_of(row).includes(entry));
        if let Some(kept) = &mut self.kept {
            kept.sums.advance(now);
            let fastest = kept.sums.fastest_factor();
            let values = kept.values[row].updated(&self.trackers[row], fastest, now);
            kept.replace(row, values);
        }
        result
    }

    /// Updates the score of a target.
    pub(super) fn update_score(&mut self, row: usize, speeds: &Estimator, now: Instant) {
        let score = Score::of(&self.trackers[row], speeds, now);
        if let Some(kept) = &mut self.kept {
            kept.set_score(row, score);
        }
    }

    /// Marks matching attempts of a job as cancelled. Returns whether it has attempts.
    pub(super) fn cancel_job(
        &mut self,
        job: &Id,
        predicate: impl Fn(&Task, &Attempt) -> bool,
    ) -> bool {
        let rows = match &self.kept {
            Some(kept) => kept.sums.rows_of(job),
            None => (0..self.trackers.len()).collect(),
        };
        let mut has_attempts = false;
        for row in rows {
            let tracker = &mut self.trackers[row];
            has_attempts |= tracker.attempts().any(|(task, _)| task.job == *job);
            tracker.cancel_where(|task, attempt| task.job == *job && predicate(task, attempt));
            self.update_runs(row);
        }
        has_attempts
    }

    /// Marks all attempts of an owner as cancelled. Returns their jobs.
    pub(super) fn cancel_owner(&mut self, owner: &Host) -> Vec<Id> {
        let is_owned = |attempt: &Attempt| attempt.owner == *owner;
        let mut jobs = Vec::new();
        for row in 0..self.trackers.len() {
            let tracker = &mut self.trackers[row];
            let own = tracker.attempts().filter(|(_, attempt)| is_owned(attempt));
            let count = jobs.len();
            jobs.extend(own.map(|(task, _)| task.job.clone()));
            if jobs.len() > count {
                tracker.cancel_where(|_, attempt| is_owned(attempt));
                self.update_runs(row);
            }
        }
        jobs
    }

    /// Whether a cancelled attempt of a job may run.
    pub(super) fn has_cancelled(&self, job: &Id) -> bool {
        match &self.kept {
            Some(kept) => kept.sums.being_stopped().any(|task| task.job == *job),
            None => {
                let mut attempts = self.trackers.iter().flat_map(Tracker::attempts);
                attempts.any(|(task, attempt)| attempt.cancelled && task.job == *job)
            }
        }
    }

    /// Owners of attempts that are not cancelled.
    pub(super) fn owners(&self) -> BTreeSet<Host> {
        if let Some(kept) = &self.kept {
            return kept.sums.owners().cloned().collect();
        }
        let attempts = self.trackers.iter().flat_map(Tracker::attempts);
        let attempts = attempts.filter(|(_, attempt)| !attempt.cancelled);
        attempts.map(|(_, attempt)| attempt.owner.clone()).collect()
    }

    /// Updates what is kept of a target's runs, after a change that leaves its resources alone.
    fn update_runs(&mut self, row: usize) {
        if let Some(kept) = &mut self.kept {
            let values = kept.values[row].with_runs(&self.trackers[row]);
            kept.replace(row, values);
        }
    }
}

impl Kept {
    fn of(trackers: &[Tracker], membership: &Membership, speeds: &Estimator, now: Instant) -> Self {
        let (classes, rows) = Classes::of(trackers.iter().map(|tracker| &tracker.entry));
        let scores: Vec<Score> =
            trackers.iter().map(|tracker| Score::of(tracker, speeds, now)).collect();
        let open = trackers.iter().zip(&scores).filter(|(tracker, _)| !tracker.is_evacuated);
        let mut open: Vec<f64> = open.map(|(_, score)| score.slowness).collect();
        open.sort_unstable_by(f64::total_cmp);
        let fastest = fastest_factor(&open);
        let values = trackers.iter().zip(rows).zip(scores).map(|((tracker, class), score)| {
            let is_claimed = is_claimed(&tracker.entry, membership);
            Values::new(tracker, (class, score, is_claimed), fastest, now)
        });
        let values: Vec<Values> = values.collect();
        let sums = Sums::of(&values, classes.all.len(), now);
        let rooms = Rooms::new(values.iter().map(Values::room));
        Self {
            values,
            classes,
            rooms,
            sums,
            claims: membership.claims.clone(),
            holding: membership.shares.holding(),
        }
    }

    /// Whether this host gives orders to the same targets as at the last update.
    fn is_current(&self, membership: &Membership) -> bool {
        self.claims == membership.claims && self.holding == membership.shares.holding()
    }

    /// What is kept of each target.
    pub(super) fn values(&self) -> &[Values] {
        &self.values
    }

    /// The classes of targets.
    pub(super) fn classes(&self) -> &[Class] {
        &self.classes.all
    }

    fn class_of(&self, row: usize) -> &Class {
        &self.classes.all[self.values[row].class as usize]
    }

    /// Free CPU of the targets that may get new tasks.
    pub(super) fn rooms(&self) -> &Rooms {
        &self.rooms
    }

    /// Sums over all targets.
    pub(super) fn sums(&self) -> &Sums {
        &self.sums
    }

    /// Capacity of the targets that may get new tasks, or of those in claimed zones only, in tasks of
    /// average size. Before the first task a target is taken to have two slots.
    pub(super) fn capacity(&self, claimed_only: bool, mean_cpu_millis: Option<f64>) -> Capacity {
        if let Some(mean) = mean_cpu_millis {
            return self.sums.capacity(claimed_only, mean);
        }
        let counted = self.values.iter().filter(|one| one.is_claimed || !claimed_only);
        let mut sum = Capacity::default();
        for one in counted.filter(|one| one.is_ready) {
            let Some(free) = one.free else {
                continue;
            };
            let task_cpu_millis = (one.cpu_millis as f64 / 2.0).max(1.0);
            let slots = (one.cpu_millis as f64 / task_cpu_millis).floor();
            sum.slots = sum.slots.saturating_add(slots as u32);
            sum.rate += slots * task_cpu_millis / one.factor();
            let free = (free.cpu_millis as f64 / task_cpu_millis) as u32;
            sum.free_slots = sum.free_slots.saturating_add(free);
            if one.is_fast {
                sum.free_fast_slots = sum.free_fast_slots.saturating_add(free);
            }
        }
        sum
    }

    fn replace(&mut self, row: usize, values: Values) {
        self.sums.replace(row, &self.values[row], &values);
        self.rooms.set(row, values.room());
        self.values[row] = values;
    }

    fn set_score(&mut self, row: usize, score: Score) {
        if self.values[row].score == score {
            return;
        }
        let before = self.sums.fastest_factor();
        let mut values = self.values[row].clone();
        values.score = score;
        self.replace(row, values);
        let fastest = self.sums.fastest_factor();
        let rows = if fastest == before { row..row + 1 } else { 0..self.values.len() };
        let low = before.min(fastest) * FAST_FACTOR * (1.0 - ROUNDING);
        let high = before.max(fastest) * FAST_FACTOR * (1.0 + ROUNDING);
        // Of the others, only targets between the two limits can become fast or slow.
        let may_change = |one: &usize| {
            let factor = self.values[*one].factor();
            *one == row || (low..=high).contains(&factor)
        };
        let rows: Vec<usize> = rows.filter(may_change).collect();
        for row in rows {
            let is_fast = is_fast_factor(self.values[row].factor(), fastest);
            if is_fast != self.values[row].is_fast {
                let values = Values { is_fast, ..self.values[row].clone() };
                self.replace(row, values);
            }
        }
    }

    /// Compares the sums with those computed from scratch.
    #[cfg(debug_assertions)]
    fn check(&self, now: Instant) {
        let mut kept = self.sums.clone();
        kept.advance(now);
        let sums = Sums::of(&self.values, self.classes.all.len(), now);
        assert_eq!(kept, sums, "the kept sums differ from those computed from scratch");
        let fastest = self.sums.fastest_factor();
        let is_right = |one: &Values| one.is_fast == is_fast_factor(one.factor(), fastest);
        assert!(self.values.iter().all(is_right), "a target is counted as fast or slow by mistake");
        let rooms = Rooms::new(self.values.iter().map(Values::room));
        assert_eq!(self.rooms, rooms, "the kept free CPU differs from that of the targets");
    }
}
