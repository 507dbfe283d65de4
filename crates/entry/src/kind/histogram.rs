//! Histogram of the run times of one kind, in which old runs lose weight.

use std::time::Duration;

/// Upper bound of the first bucket, in microseconds.
const FIRST_BOUND_US: f64 = 500.0;
/// Ratio between the upper bounds of adjacent buckets.
const BOUND_RATIO: f64 = 1.2;
/// Number of buckets. The upper bound of the last one is more than an hour.
const BUCKETS: usize = 90;
/// Total weight above which all counts are halved, so that the histogram follows changes in the
/// run time.
const MAX_TOTAL: f64 = 2_000.0;
/// Weight of the configured run time, in runs.
const CONFIGURED_WEIGHT: f64 = 3.0;

/// Weighted histogram of run times.
#[derive(Clone, Debug)]
pub struct Histogram {
    counts: [f64; BUCKETS],
    total: f64,
    sum_us: f64,
}

impl Histogram {
    /// Creates a histogram that contains only the configured run time.
    #[must_use]
    pub fn new(configured: Duration) -> Self {
        let mut histogram = Self { counts: [0.0; BUCKETS], total: 0.0, sum_us: 0.0 };
        histogram.add(configured, CONFIGURED_WEIGHT);
        histogram
    }

    /// Records the time of one run.
    pub fn record(&mut self, time: Duration) {
        self.add(time, 1.0);
        if self.total > MAX_TOTAL {
            self.halve();
        }
    }

    /// Mean run time.
    #[must_use]
    pub fn mean(&self) -> Duration {
        micros(self.sum_us / self.total)
    }

    /// Upper bound of the run times at `quantile`, which ranges from 0 to 1.
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

    /// The same quantile of the longest of `count` independent runs.
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

/// Index of the bucket for a run time in microseconds.
fn bucket(us: f64) -> usize {
    let steps = (us / FIRST_BOUND_US).max(1.0).ln() / BOUND_RATIO.ln();
    (steps.ceil() as usize).min(BUCKETS - 1)
}

/// Upper bound of a bucket, in microseconds.
fn bound_us(bucket: usize) -> f64 {
    FIRST_BOUND_US * BOUND_RATIO.powi(i32::try_from(bucket).unwrap_or(i32::MAX))
}

fn micros(us: f64) -> Duration {
    Duration::from_secs_f64(us / 1e6)
}
