//! Loads of stewards and the assignment of tasks.

use std::time::Duration;

use coltsfootshunt_core::name::Host;
use serde::{Deserialize, Serialize};

/// Extra expected wait for each task that was assigned beyond what was free.
const QUEUED_COST: Duration = Duration::from_millis(12);

/// What a steward says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Typical tasks that could start now.
    pub free: u32,
    /// Places for typical tasks, free or not.
    pub places: u32,
    /// Expected wait of a task that comes now, in milliseconds.
    pub wait_ms: u32,
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
    /// Expected time until a task sent now starts.
    #[must_use]
    pub fn delay(&self) -> Duration {
        if self.load.free > 0 {
            return self.distance;
        }
        self.distance + Duration::from_millis(self.load.wait_ms.into())
    }

    /// Counts one more task as sent.
    pub fn take(&mut self) {
        if self.load.free > 0 {
            self.load.free -= 1;
        } else {
            // Many places work a queue off faster.
            let cost = QUEUED_COST.as_millis() as u32 * 8 / self.load.places.clamp(1, 100);
            self.load.wait_ms = self.load.wait_ms.saturating_add(cost.max(1));
        }
    }
}

/// Assigns tasks one by one; for each the place of its steward in `offers`.
pub fn assign(tasks: usize, offers: &mut [Offer]) -> Vec<usize> {
    let mut assigned = Vec::with_capacity(tasks);
    for _ in 0..tasks {
        let best = offers.iter().enumerate().filter(|(_, offer)| offer.load.places > 0);
        let Some((place, _)) = best.min_by_key(|(place, offer)| (offer.delay(), *place)) else {
            return assigned;
        };
        offers[place].take();
        assigned.push(place);
    }
    assigned
}
