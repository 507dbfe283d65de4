//! Loads of stewards and the assignment of tasks.

use std::time::Duration;

use coltsfootshunt_core::name::Host;
use serde::{Deserialize, Serialize};

use crate::queue::SLACK_LEVELS_MS;

/// What a steward says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Typical tasks that could start now.
    pub free: u32,
    /// Typical tasks that could start now on fast targets.
    pub free_fast: u32,
    /// Places for typical tasks on fast targets, free or not.
    pub places_fast: u32,
    /// Expected wait of a task for which only fast targets will do, once none of these places is free, in
    /// milliseconds.
    pub fast_wait_ms: u32,
    /// Places for typical tasks, free or not.
    pub places: u32,
    /// Run time on the fastest target in thousandths of that on an average one; 0 if not known.
    pub fastest_permille: u32,
    /// Ends that can be expected in a second of what runs now.
    pub turnover: u32,
    /// Expected wait of a task that comes now, in milliseconds, by the level of its slack.
    pub waits_ms: [u32; SLACK_LEVELS_MS.len()],
}

/// A steward that can be reached.
#[derive(Clone, Debug)]
pub struct Offer {
    /// The steward.
    pub host: Host,
    /// Way there and back.
    pub distance: Duration,
    /// Its load, less what was sent since.
    pub load: Load,
}

impl Offer {
    /// Expected time until a task sent now starts, by the level of its slack.
    #[must_use]
    pub fn delay(&self, level: usize) -> Duration {
        if self.load.free > 0 { self.distance } else { self.wait(level) }
    }

    fn wait(&self, level: usize) -> Duration {
        self.distance + Duration::from_millis(self.load.waits_ms[level].into())
    }

    /// What a task loses there: its delay, that until a fast place is free if only such will do.
    fn cost(&self, task: &Shape) -> Duration {
        if task.is_long { self.fast_delay() } else { self.delay(task.level) }
    }

    /// Expected time until a task for fast targets, sent now, starts.
    #[must_use]
    pub fn fast_delay(&self) -> Duration {
        let wait = if self.load.free_fast > 0 { 0 } else { self.load.fast_wait_ms };
        self.distance + Duration::from_millis(wait.into())
    }

    /// What a job loses whose tasks all go there: the delay of the last one to start.
    fn cost_of_all(&self, tasks: usize, task: &Shape) -> Duration {
        let behind = tasks.saturating_sub(self.load.free as usize) as u32;
        // What starts at once makes way for the rest, too.
        let free = f64::from(self.load.free) / task.run.as_secs_f64().max(1e-3);
        let turnover = (f64::from(self.load.turnover) + free).max(1.0);
        let turns = Duration::from_secs_f64(f64::from(behind) / turnover);
        if behind == 0 { self.cost(task) } else { self.wait(task.level) + turns }
    }

    /// Counts one more task as sent that runs for some time.
    fn take(&mut self, task: &Shape) {
        if task.is_long {
            return self.take_fast(task);
        }
        if self.load.free > 0 {
            self.load.free -= 1;
            self.load.free_fast = self.load.free_fast.min(self.load.free);
            return;
        }
        let cost = task.run.as_millis() as u32 / self.load.places.max(1);
        for wait in &mut self.load.waits_ms[task.level..] {
            *wait = wait.saturating_add(cost.max(1));
        }
    }

    /// Counts one more task as sent for which only fast targets will do.
    fn take_fast(&mut self, task: &Shape) {
        self.load.free = self.load.free.saturating_sub(1);
        if self.load.free_fast > 0 {
            self.load.free_fast -= 1;
            return;
        }
        let run = task.run.as_millis() as u32 * self.load.fastest_permille / 1_000;
        let cost = run / self.load.places_fast.max(1);
        self.load.fast_wait_ms = self.load.fast_wait_ms.saturating_add(cost.max(1));
    }
}

/// What the tasks of a job are like.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Time to the job's latest start.
    pub slack: Duration,
    /// Level of the slack.
    pub level: usize,
    /// Expected run time on an average target.
    pub run: Duration,
    /// Whether only fast targets will do.
    pub is_long: bool,
}

/// Assigns the tasks of a job; for each the place of its steward in `offers`.
///
/// Tasks go one by one to where they cost least. Where places are free for too few of them, all go to
/// one steward if it should start the last of them in time: it finishes what it begins, and can turn
/// the job away as a whole.
pub fn assign(tasks: usize, shape: &Shape, offers: &mut [Offer]) -> Vec<usize> {
    let free: usize = offers.iter().map(|offer| offer.load.free as usize).sum();
    let mut serving = offers.iter().filter(|offer| offer.load.places > 0);
    // Places on fast targets are few: long work takes them wherever they are.
    let all = !shape.is_long
        && free < tasks
        && serving.any(|offer| offer.cost_of_all(tasks, shape) <= shape.slack);
    let mut assigned = Vec::with_capacity(tasks);
    while assigned.len() < tasks {
        let serving = offers.iter().enumerate().filter(|(_, offer)| offer.load.places > 0);
        let cost = |offer: &Offer| {
            if all { offer.cost_of_all(tasks, shape) } else { offer.cost(shape) }
        };
        let Some((place, _)) = serving.min_by_key(|(place, offer)| (cost(offer), *place)) else {
            return assigned;
        };
        let count = if all { tasks } else { 1 };
        (0..count).for_each(|_| offers[place].take(shape));
        assigned.extend(std::iter::repeat_n(place, count));
    }
    assigned
}
