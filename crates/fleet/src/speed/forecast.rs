//! Distribution of a future run time.

use std::time::Duration;

/// Steepness of the logistic curve that best approximates the normal distribution function.
const LOGISTIC_STEEPNESS: f64 = 1.702;

/// Standard deviation between the tasks of one job, as a natural logarithm: ten to twenty per cent.
const TASK_DEVIATION: f64 = 0.15;
/// Ratio of the mean maximum of some draws from the standard normal distribution to the logarithm of
/// their number. The error is within a tenth from 2 to 30 draws.
const MEAN_MAXIMUM_FACTOR: f64 = 0.7;

/// Log-logistic distribution of a run time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Time within which half of the runs end.
    pub median: Duration,
    /// Standard deviation of the natural logarithm of the run time.
    pub deviation: f64,
}

impl Forecast {
    /// Returns the probability that the run ends within `within`. Long runs are more frequent than with
    /// a log-normal distribution.
    #[must_use]
    pub fn probability_within(&self, within: Duration) -> f64 {
        if within.is_zero() {
            return 0.0;
        }
        let median = self.median.as_secs_f64().max(f64::MIN_POSITIVE);
        let distance = (within.as_secs_f64() / median).ln() / self.deviation.max(f64::MIN_POSITIVE);
        1.0 / (1.0 + (-LOGISTIC_STEEPNESS * distance).exp())
    }

    /// Returns the forecast for the longest of `tasks` tasks of one job.
    #[must_use]
    pub fn longest_of(&self, tasks: u32) -> Self {
        self.scaled(f64::from(tasks.max(1)).powf(TASK_DEVIATION * MEAN_MAXIMUM_FACTOR))
    }

    /// Returns the probability that all tasks of a job end within `within` if they start after `waits`,
    /// in ascending order. It is the smallest over all groups of tasks that start last, each counted as
    /// starting together with its first task.
    #[must_use]
    pub fn probability_all_within(&self, waits: &[Duration], within: Duration) -> f64 {
        let probability = |(index, wait): (usize, &Duration)| {
            let remaining = u32::try_from(waits.len() - index).unwrap_or(u32::MAX);
            self.longest_of(remaining).probability_within(within.saturating_sub(*wait))
        };
        waits.iter().enumerate().map(probability).fold(1.0, f64::min)
    }

    /// Returns the forecast with the median multiplied by `factor`.
    #[must_use]
    pub fn scaled(&self, factor: f64) -> Self {
        Self { median: self.median.mul_f64(factor), ..*self }
    }
}
