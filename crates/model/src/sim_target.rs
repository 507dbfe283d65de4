//! The runs of a target, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootshunt_fleet::job::Task;
use coltsfootshunt_fleet::lease::{End, Ended, Report, Running};

/// Running tasks of a simulated target, and the ends that its lease holder has not acknowledged.
#[derive(Debug, Default)]
pub struct SimTarget {
    /// Run number and end of each running task.
    running: BTreeMap<Task, (u32, Duration)>,
    ended: Vec<Ended>,
    /// Sequence number of the last end.
    last_sequence: u64,
}

impl SimTarget {
    /// Starts a run that completes at `end`.
    pub fn start(&mut self, task: Task, run: u32, end: Duration) {
        self.running.insert(task, (run, end));
    }

    /// Stops a task if it is running.
    pub fn stop(&mut self, task: &Task) {
        if let Some((run, _)) = self.running.remove(task) {
            self.end(task.clone(), run, End::Stopped);
        }
    }

    /// Completes all runs whose end is not after `now`.
    pub fn advance(&mut self, now: Duration) {
        let is_over = |(task, (run, end)): (&Task, &(u32, Duration))| {
            (*end <= now).then(|| (task.clone(), *run))
        };
        let over: Vec<(Task, u32)> = self.running.iter().filter_map(is_over).collect();
        for (task, run) in over {
            self.running.remove(&task);
            self.end(task, run, End::Done);
        }
    }

    /// Whether there are ends after the acknowledged sequence number. Discards the ends up to it.
    pub fn has_unacknowledged(&mut self, acknowledged: u64) -> bool {
        self.ended.retain(|one| one.sequence > acknowledged);
        !self.ended.is_empty()
    }

    /// Builds the report that answers a lease renewal.
    #[must_use]
    pub fn report(&self, now: Duration) -> Report {
        let running = self.running.iter();
        let running = running.map(|(task, (run, _))| Running { task: task.clone(), run: *run });
        Report {
            clock_ms: now.as_millis() as u64,
            started_at_ms: Some(1),
            running: running.collect(),
            ended: self.ended.clone(),
            ..Report::default()
        }
    }

    fn end(&mut self, task: Task, run: u32, end: End) {
        self.last_sequence += 1;
        self.ended.push(Ended { sequence: self.last_sequence, task, run, end });
    }
}
