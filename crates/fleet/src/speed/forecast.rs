//! A run time that is not known yet.

use std::time::Duration;

/// Steepness of the logistic curve that comes closest to a normal distribution's.
const STEEPNESS: f64 = 1.702;

/// Deviation of the tasks of one job among each other, as a natural logarithm: ten to twenty per cent.
const UNEVEN: f64 = 0.15;
/// Mean of the largest of some draws from a normal distribution over the logarithm of their number; within
/// a tenth from 2 to 30.
const LARGEST: f64 = 0.7;

/// What is expected of a run time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Half of the runs end within it.
    pub median: Duration,
    /// Deviation of the run time's natural logarithm.
    pub deviation: f64,
}

impl Forecast {
    /// Chance, from 0 to 1, that a run with this median ends within some time.
    ///
    /// Its distribution is log-logistic: long runs are more frequent than a normal one would have them.
    #[must_use]
    pub fn probability_within(&self, within: Duration) -> f64 {
        if within.is_zero() {
            return 0.0;
        }
        let median = self.median.as_secs_f64().max(f64::MIN_POSITIVE);
        let distance = (within.as_secs_f64() / median).ln() / self.deviation.max(f64::MIN_POSITIVE);
        1.0 / (1.0 + (-STEEPNESS * distance).exp())
    }

    /// The longest of the runs of so many tasks of one job.
    #[must_use]
    pub fn longest_of(&self, tasks: u32) -> Self {
        self.scaled(f64::from(tasks.max(1)).powf(UNEVEN * LARGEST))
    }

    /// Chance, from 0 to 1, that all tasks of a job end within some time if they start after these waits, the
    /// shortest first: that of the tasks that start last, however many are counted as such.
    #[must_use]
    pub fn probability_all_within(&self, waits: &[Duration], within: Duration) -> f64 {
        let chance = |(place, wait): (usize, &Duration)| {
            let last = u32::try_from(waits.len() - place).unwrap_or(u32::MAX);
            self.longest_of(last).probability_within(within.saturating_sub(*wait))
        };
        waits.iter().enumerate().map(chance).fold(1.0, f64::min)
    }

    /// The same run on a target that takes this many times as long.
    #[must_use]
    pub fn scaled(&self, factor: f64) -> Self {
        Self { median: self.median.mul_f64(factor), ..*self }
    }
}
