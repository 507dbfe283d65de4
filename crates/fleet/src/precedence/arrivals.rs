//! Arrivals of each kind: its usual share, and what exceeds it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Kind;

use crate::queue::SLACK_LEVELS_MS;

/// Time constant of the usual rate of a kind.
const USUAL_TIME: Duration = Duration::from_secs(10);
/// Time constant of the current rate of a kind.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Multiple of the usual rate up to which arrivals count as usual. Rates over half a second vary by about a
/// third of their mean.
const MAX_USUAL_FACTOR: f64 = 1.5;
/// Time from the first arrival of a kind until its usual rate is known.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// Sum of amounts that decays over time.
#[derive(Clone, Copy, Debug)]
struct Sum {
    value: f64,
    updated_at: Instant,
}

impl Sum {
    fn new(now: Instant) -> Self {
        Self { value: 0.0, updated_at: now }
    }

    /// The sum, decayed to `now`.
    fn at(&self, now: Instant, time: Duration) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.value * (-elapsed.div_duration_f64(time)).exp()
    }

    fn add(&mut self, amount: f64, now: Instant, time: Duration) {
        *self = Self { value: self.at(now, time) + amount, updated_at: now };
    }
}

/// Arrivals of one kind.
#[derive(Debug)]
struct Rates {
    first_at: Instant,
    priority: u32,
    /// Work that counted as usual, over the long and the short time.
    usual: Sum,
    current: Sum,
    /// Number of jobs at each slack level, over the long time.
    levels: [Sum; SLACK_LEVELS_MS.len()],
}

impl Rates {
    fn new(priority: u32, now: Instant) -> Self {
        let sum = Sum::new(now);
        Self { first_at: now, priority, usual: sum, current: sum, levels: [sum; _] }
    }

    /// Work per second that usually arrives. The sum has not reached its final value in the first seconds.
    fn usual_rate(&self, now: Instant) -> f64 {
        let known = now.saturating_duration_since(self.first_at).div_duration_f64(USUAL_TIME);
        self.usual.at(now, USUAL_TIME) / USUAL_TIME.as_secs_f64() / (1.0 - (-known).exp())
    }
}

/// Arrivals of all kinds at one steward.
#[derive(Debug, Default)]
pub struct Arrivals {
    kinds: BTreeMap<Kind, Rates>,
}

impl Arrivals {
    /// Records a job that arrives. Returns whether those before it have used up 1.5 times the usual rate of
    /// its kind.
    ///
    /// Only what counts as usual changes the usual rate, so that a burst of some seconds does not become
    /// usual, while a lasting change does.
    pub fn record(
        &mut self,
        (kind, priority): (&Kind, u32),
        work: f64,
        slack_level: usize,
        now: Instant,
    ) -> bool {
        if !self.kinds.contains_key(kind) {
            self.kinds.insert(kind.clone(), Rates::new(priority, now));
        }
        let Some(rates) = self.kinds.get_mut(kind) else {
            return false;
        };
        rates.priority = priority;
        rates.levels[slack_level].add(1.0, now, USUAL_TIME);
        let is_known = now.duration_since(rates.first_at) >= SETTLING_TIME;
        // The job's own work is left out: otherwise the largest jobs would exceed the share first.
        let rate = rates.current.at(now, BURST_TIME) / BURST_TIME.as_secs_f64();
        if is_known && rate > rates.usual_rate(now) * MAX_USUAL_FACTOR {
            return true;
        }
        rates.usual.add(work, now, USUAL_TIME);
        rates.current.add(work, now, BURST_TIME);
        false
    }

    /// Priority of the kind that usually arrives most often with some slack; `None` if no kind does.
    #[must_use]
    pub fn typical_priority(&self, slack_level: usize, now: Instant) -> Option<u32> {
        let count = |rates: &Rates| rates.levels[slack_level].at(now, USUAL_TIME);
        let most = self.kinds.values().max_by(|one, other| count(one).total_cmp(&count(other)))?;
        (count(most) > 0.0).then_some(most.priority)
    }
}
