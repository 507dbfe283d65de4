//! Targets on which nothing starts: those of evacuated zones, and cold ones that have had their share.

use std::collections::{BTreeMap, BTreeSet};

use coltsfootshunt_core::name::{Host, Zone};

use super::Steward;
use super::change::not_run;
use crate::directory::{Entry, State};
use crate::evacuation::{Limit, Starts};
use crate::job::{Assignment, Completion, End, Id, Item, Task};
use crate::lease::Tracker;
use crate::member::Membership;
use crate::queue::QueuedTask;
use crate::report::Record;
use crate::steward::Output;

impl Steward {
    /// Limits the starts on cold targets.
    #[must_use]
    pub fn with_cold_limit(self, limit: Option<Limit>) -> Self {
        Self { cold_starts: limit.map(Starts::new), ..self }
    }

    /// Zones in which nothing starts.
    #[must_use]
    pub fn evacuated(&self) -> &BTreeSet<Zone> {
        &self.evacuated
    }

    /// Starts nothing more in a zone, and returns the queued tasks that no other target can take. Returns their
    /// number.
    pub fn evacuate(&mut self, zone: &Zone, membership: &Membership, output: &mut Output) -> usize {
        self.evacuated.insert(zone.clone());
        self.update_closed();
        let has_targets = self.targets.iter().any(|tracker| tracker.entry.zone == *zone);
        if !has_targets || self.queue.is_empty() {
            return 0;
        }
        let open = self.targets.iter().filter(|tracker| is_open(tracker, membership));
        let open: Vec<&Entry> = open.map(|tracker| &tracker.entry).collect();
        let returned = self.queue.extract(|queued| !open.iter().any(|entry| fits(entry, queued)));
        self.return_tasks(returned, output)
    }

    /// Returns all queued tasks if nothing can start because of evacuations, as when a zone was claimed after their
    /// arrival.
    pub fn return_stranded(&mut self, membership: &Membership, output: &mut Output) {
        if !self.queue.is_empty() && self.is_evacuated(membership) {
            let returned = self.queue.extract(|_| true);
            self.return_tasks(returned, output);
        }
    }

    /// Returns tasks to their owners because of evacuations. Returns their number.
    fn return_tasks(&mut self, returned: Vec<QueuedTask>, output: &mut Output) -> usize {
        self.last_pass_at = None;
        let count = returned.len();
        let mut jobs: BTreeMap<Id, usize> = BTreeMap::new();
        for queued in returned {
            *jobs.entry(queued.task.job.clone()).or_default() += 1;
            output.completions.push(not_run(queued));
        }
        let records = jobs.into_iter().map(|(job, tasks)| Record::TasksEvacuated { job, tasks });
        output.records.extend(records);
        count
    }

    /// Starts tasks in a zone again.
    pub fn restore(&mut self, zone: &Zone) {
        self.evacuated.remove(zone);
        self.last_pass_at = None;
        self.update_closed();
    }

    /// Whether this steward has targets and can start tasks on none of them because their zones are evacuated. Its
    /// load report says so too, so that its owners don't send the tasks again.
    pub(super) fn is_evacuated(&self, membership: &Membership) -> bool {
        !self.evacuated.is_empty()
            && self.targets.iter().any(|tracker| tracker.is_evacuated)
            && !self.targets.iter().any(|tracker| is_open(tracker, membership))
    }

    /// Updates which targets are closed. Must run when an entry or the set of evacuated zones has changed.
    pub(super) fn update_closed(&mut self) {
        for tracker in self.targets.change_all() {
            tracker.is_evacuated = self.evacuated.contains(&tracker.entry.zone);
        }
        let Some(starts) = &mut self.cold_starts else {
            return;
        };
        let is_used =
            |tracker: &&Tracker| !tracker.is_evacuated && tracker.entry.state == State::Ready;
        starts.update(self.targets.iter().filter(is_used).map(|tracker| &tracker.entry));
        for tracker in self.targets.change_all() {
            tracker.is_over_cold_limit = !starts.allows(&tracker.entry);
        }
    }
}

/// Whether tasks may start on a target once its lease allows it.
fn is_open(tracker: &Tracker, membership: &Membership) -> bool {
    !tracker.is_evacuated
        && tracker.entry.state == State::Ready
        && membership.holds(&tracker.entry.zone, &tracker.entry.name)
}

fn fits(entry: &Entry, queued: &QueuedTask) -> bool {
    entry.service == queued.service && entry.fits(&queued.requirements)
}

/// Returns an assignment to its owner because the zones of all targets are evacuated.
pub(super) fn return_evacuated(owner: &Host, assignment: Assignment, output: &mut Output) {
    let Assignment { job, generation, tasks, .. } = assignment;
    output.records.push(Record::TasksEvacuated { job: job.clone(), tasks: tasks.len() });
    output.completions.extend(tasks.into_iter().map(|item| {
        let Item { step, index, run, sequence, .. } = item;
        let task = Task { job: job.clone(), step, index };
        // The run number was not used.
        let run = run.saturating_sub(1);
        (owner.clone(), Completion { task, generation, run, sequence, end: End::NotRun })
    }));
}
