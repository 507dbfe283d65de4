//! A target's side, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootshunt_fleet::job::Task;
use coltsfootshunt_fleet::lease::{End, Ended, Report, Running};

/// What runs on a target and what has ended there.
#[derive(Debug, Default)]
pub struct Machine {
    running: BTreeMap<Task, (u32, Duration)>,
    ended: Vec<Ended>,
    numbers: u64,
}

impl Machine {
    /// Starts a run that ends by itself at some time.
    pub fn start(&mut self, task: Task, run: u32, end: Duration) {
        self.running.insert(task, (run, end));
    }

    /// Stops a task, if it runs.
    pub fn stop(&mut self, task: &Task) {
        if let Some((run, _)) = self.running.remove(task) {
            self.end(task.clone(), run, End::Stopped);
        }
    }

    /// Ends what has run its time.
    pub fn pass(&mut self, now: Duration) {
        let over = |(task, (run, end)): (&Task, &(u32, Duration))| {
            (*end <= now).then(|| (task.clone(), *run))
        };
        let over: Vec<(Task, u32)> = self.running.iter().filter_map(over).collect();
        for (task, run) in over {
            self.running.remove(&task);
            self.end(task, run, End::Done);
        }
    }

    /// Whether anything has ended since the end with a number; ends up to it are forgotten.
    pub fn has_news(&mut self, acknowledged: u64) -> bool {
        self.ended.retain(|one| one.sequence > acknowledged);
        !self.ended.is_empty()
    }

    /// Answer to a renewal.
    #[must_use]
    pub fn report(&self, now: Duration) -> Report {
        let running = self.running.iter();
        let running = running.map(|(task, (run, _))| Running { task: task.clone(), run: *run });
        Report {
            clock_ms: now.as_millis() as u64,
            started_at_ms: Some(1),
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }

    fn end(&mut self, task: Task, run: u32, end: End) {
        self.numbers += 1;
        self.ended.push(Ended { sequence: self.numbers, task, run, end });
    }
}
