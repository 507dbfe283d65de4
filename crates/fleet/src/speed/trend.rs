//! Regression of run times on declared run times, per kind.

use std::ops::AddAssign;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Forecast;

/// Fraction of its weight that an end loses with each later one: about the last 500 count.
const DECAY_PER_END: f64 = 0.002;
/// Number of ends that the initial slope counts as. It is one, which takes declared times as they are.
const SLOPE_PRIOR_WEIGHT: f64 = 60.0;
/// Number of ends that the initial mean, that of the declared times, counts as.
const MEAN_PRIOR_WEIGHT: f64 = 12.0;
/// Initial standard deviation of runs from their forecast, as a natural logarithm: declared times are
/// off by tens of per cent.
const PRIOR_DEVIATION: f64 = 0.4;
/// Distance from the mean or the forecast, as a natural logarithm, beyond which a time counts as an
/// outlier: a factor of four and a half.
const OUTLIER_DISTANCE: f64 = 1.5;
/// Smallest run time in the regression, in seconds; shorter ones are raised to it.
const MIN_RUN_SECONDS: f64 = 1e-4;

/// Longest forecast, in seconds: a thousand years, far below the maximum of `Duration`.
const MAX_RUN_SECONDS: f64 = 3.2e10;
/// Largest absolute value of each sum in a valid trend: the number of ends that count times the square
/// of the logarithm of the longest run time.
const MAX_SUM: f64 = 1e6;

/// Weighted sums over the ends of one kind, for a linear regression of the logarithm of the run time on
/// an average target on the logarithm of the declared time, both in seconds. Trends of several hosts
/// can be added.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Trend {
    #[serde(rename = "ends")]
    weight: f64,
    /// Sum of the declared times.
    declared: f64,
    /// Sum of the run times.
    took: f64,
    declared_squared: f64,
    /// Sum of the products of declared time and run time.
    product: f64,
    took_squared: f64,
}

/// Regression line, and the deviation of the ends from it.
#[derive(Clone, Copy, Debug)]
struct Line {
    /// Mean of the logarithm of the declared time.
    mean_declared: f64,
    /// Predicted logarithm of the run time at that mean.
    run_time_at_mean: f64,
    /// Slope, from 0 to 1.
    slope: f64,
    /// Standard deviation of the run times from the line.
    deviation: f64,
}

impl Line {
    /// Predicts the logarithm of the run time. Outliers are taken as declared: a job that is declared
    /// many times longer than others most likely takes that long.
    fn predict(&self, declared: f64) -> f64 {
        let distance = declared - self.mean_declared;
        if distance.abs() > OUTLIER_DISTANCE {
            declared
        } else {
            self.run_time_at_mean + distance * self.slope
        }
    }
}

impl Trend {
    /// Total weight of the ends, each at most one.
    #[must_use]
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Records the declared time of a run and its run time on an average target. Outliers are ignored by
    /// their declared time and clamped by their run time.
    pub fn learn(&mut self, declared: Duration, took: Duration) {
        let declared = log_seconds(declared);
        let line = self.line(declared);
        if (declared - line.mean_declared).abs() > OUTLIER_DISTANCE {
            return;
        }
        let expected = line.predict(declared);
        let took =
            log_seconds(took).clamp(expected - OUTLIER_DISTANCE, expected + OUTLIER_DISTANCE);
        self.decay();
        self.weight += 1.0;
        self.declared += declared;
        self.took += took;
        self.declared_squared += declared * declared;
        self.product += declared * took;
        self.took_squared += took * took;
    }

    /// Returns the forecast for a declared run time, on an average target.
    #[must_use]
    pub fn forecast(&self, declared: Duration) -> Forecast {
        let declared = log_seconds(declared);
        let line = self.line(declared);
        let median = Duration::from_secs_f64(line.predict(declared).exp().min(MAX_RUN_SECONDS));
        Forecast { median, deviation: line.deviation }
    }

    /// Whether the sums are in range. Trends of other hosts must be checked with it.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let non_negative = [self.weight, self.declared_squared, self.took_squared];
        let signed = [self.declared, self.took, self.product];
        let is_bounded = |sum: &f64| sum.abs() <= MAX_SUM;
        non_negative.iter().all(|sum| *sum >= 0.0)
            && non_negative.iter().chain(&signed).all(is_bounded)
    }

    fn decay(&mut self) {
        let factor = 1.0 - DECAY_PER_END;
        self.weight *= factor;
        self.declared *= factor;
        self.took *= factor;
        self.declared_squared *= factor;
        self.product *= factor;
        self.took_squared *= factor;
    }

    /// Returns the regression line. With few ends it stays close to the declared times.
    fn line(&self, declared: f64) -> Line {
        if self.weight < 1.0 {
            return Line {
                mean_declared: declared,
                run_time_at_mean: declared,
                slope: 1.0,
                deviation: PRIOR_DEVIATION,
            };
        }
        let (mean_declared, mean) = (self.declared / self.weight, self.took / self.weight);
        let declared_variation = (self.declared_squared - self.declared * mean_declared).max(0.0);
        let covariation = self.product - self.declared * mean;
        let run_time_variation = (self.took_squared - self.took * mean).max(0.0);
        // Without variation in the declared times the slope stays at the prior.
        let prior = SLOPE_PRIOR_WEIGHT * PRIOR_DEVIATION * PRIOR_DEVIATION;
        let slope = ((covariation + prior) / (declared_variation + prior)).clamp(0.0, 1.0);
        let residual = (run_time_variation - 2.0 * slope * covariation
            + slope * slope * declared_variation)
            .max(0.0);
        let variance = (residual + MEAN_PRIOR_WEIGHT * PRIOR_DEVIATION * PRIOR_DEVIATION)
            / (self.weight + MEAN_PRIOR_WEIGHT);
        let run_time_at_mean = mean_declared
            + (mean - mean_declared) * self.weight / (self.weight + MEAN_PRIOR_WEIGHT);
        Line { mean_declared, run_time_at_mean, slope, deviation: variance.sqrt() }
    }
}

impl AddAssign for Trend {
    fn add_assign(&mut self, other: Self) {
        self.weight += other.weight;
        self.declared += other.declared;
        self.took += other.took;
        self.declared_squared += other.declared_squared;
        self.product += other.product;
        self.took_squared += other.took_squared;
    }
}

fn log_seconds(time: Duration) -> f64 {
    time.as_secs_f64().max(MIN_RUN_SECONDS).ln()
}
