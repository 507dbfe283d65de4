//! What declared run times of a kind are worth.

use std::ops::AddAssign;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Forecast;

/// Weight that an end loses with each later one: about the last 500 count.
const FORGET: f64 = 0.002;
/// Ends that the slope of one stands for, with which a trend begins: declared times as they are.
const TRUST_SLOPE: f64 = 60.0;
/// Ends that the unchanged mean stands for.
const TRUST_MEAN: f64 = 12.0;
/// Deviation of runs around their forecast before any has ended, as a natural logarithm: declared times
/// are off by tens of per cent.
const DEVIATION: f64 = 0.4;
/// Distance, as a natural logarithm, from which a declared time or a run is none of the usual ones: four
/// and a half times.
const FAR: f64 = 1.5;
/// Shortest run time that counts, in seconds.
const SHORTEST: f64 = 1e-4;

/// Longest run time that counts, in seconds: a thousand years, far below what times can hold.
const LONGEST: f64 = 3.2e10;
/// Bound of each sum either way: the ends that count times the square of the longest run time's logarithm.
const LARGEST_SUM: f64 = 1e6;

/// Sums over ends of one kind, of logarithms of seconds: of the declared time, and of the run time on an
/// average target. Sums of several hosts add up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Trend {
    #[serde(rename = "ends")]
    weight: f64,
    declared: f64,
    took: f64,
    declared_squared: f64,
    product: f64,
    took_squared: f64,
}

/// A straight line, and how far ends are from it.
#[derive(Clone, Copy, Debug)]
struct Line {
    /// Mean logarithm of the declared time.
    center: f64,
    /// Logarithm of the run time there.
    height: f64,
    slope: f64,
    deviation: f64,
}

impl Line {
    /// Expected logarithm of the run time. Times far from the usual are taken at their word: a job that is
    /// declared many times longer than others most likely is.
    fn at(&self, declared: f64) -> f64 {
        let distance = declared - self.center;
        if distance.abs() > FAR { declared } else { self.height + distance * self.slope }
    }
}

impl Trend {
    /// Weight of the ends that count.
    #[must_use]
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Learns from a run of a declared time that took so long on an average target.
    pub fn learn(&mut self, declared: Duration, took: Duration) {
        let declared = logarithm(declared);
        let line = self.line(declared);
        if (declared - line.center).abs() > FAR {
            return;
        }
        let expected = line.at(declared);
        let took = logarithm(took).clamp(expected - FAR, expected + FAR);
        self.fade();
        self.weight += 1.0;
        self.declared += declared;
        self.took += took;
        self.declared_squared += declared * declared;
        self.product += declared * took;
        self.took_squared += took * took;
    }

    /// Forecast for a declared run time, on an average target.
    #[must_use]
    pub fn forecast(&self, declared: Duration) -> Forecast {
        let declared = logarithm(declared);
        let line = self.line(declared);
        let median = Duration::from_secs_f64(line.at(declared).exp().min(LONGEST));
        Forecast { median, deviation: line.deviation }
    }

    /// Whether ends can have made it; another host's word may be odd.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let squares = [self.weight, self.declared_squared, self.took_squared];
        let sums = [self.declared, self.took, self.product];
        let is_bounded = |sum: &f64| sum.abs() <= LARGEST_SUM;
        squares.iter().all(|sum| *sum >= 0.0) && squares.iter().chain(&sums).all(is_bounded)
    }

    fn fade(&mut self) {
        let left = 1.0 - FORGET;
        self.weight *= left;
        self.declared *= left;
        self.took *= left;
        self.declared_squared *= left;
        self.product *= left;
        self.took_squared *= left;
    }

    /// The line through the ends, drawn towards declared times as they are while ends are few.
    fn line(&self, declared: f64) -> Line {
        if self.weight < 1.0 {
            return Line { center: declared, height: declared, slope: 1.0, deviation: DEVIATION };
        }
        let (center, mean) = (self.declared / self.weight, self.took / self.weight);
        let spread = (self.declared_squared - self.declared * center).max(0.0);
        let common = self.product - self.declared * mean;
        let scatter = (self.took_squared - self.took * mean).max(0.0);
        // Where all declare the same there is nothing to draw a slope from.
        let prior = TRUST_SLOPE * DEVIATION * DEVIATION;
        let slope = ((common + prior) / (spread + prior)).clamp(0.0, 1.0);
        let left = (scatter - 2.0 * slope * common + slope * slope * spread).max(0.0);
        let variance = (left + TRUST_MEAN * DEVIATION * DEVIATION) / (self.weight + TRUST_MEAN);
        let height = center + (mean - center) * self.weight / (self.weight + TRUST_MEAN);
        Line { center, height, slope, deviation: variance.sqrt() }
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

fn logarithm(time: Duration) -> f64 {
    time.as_secs_f64().max(SHORTEST).ln()
}
