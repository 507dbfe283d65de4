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
    /// Places for typical tasks, free or not.
    pub places: u32,
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
        if self.load.free > 0 {
            return self.distance;
        }
        self.distance + Duration::from_millis(self.load.waits_ms[level].into())
    }

    /// Counts one more task as sent that runs for some time.
    fn take(&mut self, level: usize, run: Duration) {
        if self.load.free > 0 {
            self.load.free -= 1;
            return;
        }
        let cost = run.as_millis() as u32 / self.load.places.max(1);
        for wait in &mut self.load.waits_ms[level..] {
            *wait = wait.saturating_add(cost.max(1));
        }
    }
}

/// Assigns tasks of a job one by one, by the level of its slack and their run time; for each the
/// place of its steward in `offers`.
pub fn assign(tasks: usize, level: usize, run: Duration, offers: &mut [Offer]) -> Vec<usize> {
    let mut assigned = Vec::with_capacity(tasks);
    for _ in 0..tasks {
        let best = offers.iter().enumerate().filter(|(_, offer)| offer.load.places > 0);
        let Some((place, _)) = best.min_by_key(|(place, offer)| (offer.delay(level), *place))
        else {
            return assigned;
        };
        offers[place].take(level, run);
        assigned.push(place);
    }
    assigned
}
