//! Run times of one kind, as a histogram that forgets slowly.

use std::time::Duration;

/// Upper bound of the first bucket, in microseconds.
const FIRST_US: f64 = 500.0;
/// Ratio between the bounds of neighbouring buckets.
const GROWTH: f64 = 1.2;
/// Number of buckets; the last bound is over an hour.
const BUCKETS: usize = 90;
/// Weight at which all counts are halved, so that drift shows.
const HALVE_AT: f64 = 2_000.0;
/// Weight of the operator's declared time, in runs.
const DECLARED_WEIGHT: f64 = 3.0;

/// Learned run times.
#[derive(Clone, Debug)]
pub struct Histogram {
    counts: [f64; BUCKETS],
    total: f64,
    sum_us: f64,
}

impl Histogram {
    /// Starts from the declared time.
    #[must_use]
    pub fn new(declared: Duration) -> Self {
        let mut profile = Self { counts: [0.0; BUCKETS], total: 0.0, sum_us: 0.0 };
        profile.add(declared, DECLARED_WEIGHT);
        profile
    }

    /// Takes in the time of one run.
    pub fn record(&mut self, time: Duration) {
        self.add(time, 1.0);
        if self.total > HALVE_AT {
            self.halve();
        }
    }

    /// Mean run time.
    #[must_use]
    pub fn mean(&self) -> Duration {
        micros(self.sum_us / self.total)
    }

    /// The run time that a share `quantile` (0 to 1) of runs stays under.
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> Duration {
        let wanted = self.total * quantile;
        let mut seen = 0.0;
        for (bucket, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= wanted && *count > 0.0 {
                return micros(bound_us(bucket));
            }
        }
        micros(bound_us(BUCKETS - 1))
    }

    /// The run time that the longest of `count` runs stays under with a probability of `quantile`.
    #[must_use]
    pub fn quantile_of_max(&self, quantile: f64, count: usize) -> Duration {
        self.quantile(quantile.powf(1.0 / count.max(1) as f64))
    }

    fn add(&mut self, time: Duration, weight: f64) {
        let us = time.as_secs_f64() * 1e6;
        self.counts[bucket(us)] += weight;
        self.total += weight;
        self.sum_us += us * weight;
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2.0;
        }
        self.total /= 2.0;
        self.sum_us /= 2.0;
    }
}

fn bucket(us: f64) -> usize {
    let steps = (us / FIRST_US).max(1.0).ln() / GROWTH.ln();
    (steps.ceil() as usize).min(BUCKETS - 1)
}

fn bound_us(bucket: usize) -> f64 {
    FIRST_US * GROWTH.powi(i32::try_from(bucket).unwrap_or(i32::MAX))
}

fn micros(us: f64) -> Duration {
    Duration::from_secs_f64(us / 1e6)
}
