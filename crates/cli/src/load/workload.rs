//! Generates the arrivals before the run, so that each policy is measured with the same jobs.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::error::Error;

/// A class of jobs with one kind and one distribution of run times.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Kind of the jobs.
    pub kind: String,
    /// Median run time of a task, in milliseconds.
    pub median_ms: f64,
    /// Standard deviation of the logarithm of run times.
    pub sigma: f64,
    /// Relative frequency of the class among all jobs.
    pub weight: f64,
    /// Number of tasks in a job.
    pub width: usize,
}

impl TryFrom<&str> for Class {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self, Error> {
        let invalid = || Error::InvalidClass { text: text.to_owned() };
        let parts: Vec<_> = text.split(':').collect();
        let [kind, median_ms, sigma, weight, width] = parts[..] else {
            return Err(invalid());
        };
        let number = |text: &str| text.parse::<f64>().map_err(|_| invalid());
        Ok(Self {
            kind: kind.to_owned(),
            median_ms: number(median_ms)?,
            sigma: number(sigma)?,
            weight: number(weight)?,
            width: width.parse().map_err(|_| invalid())?,
        })
    }
}

impl Class {
    /// Mean slot time of a job, in milliseconds.
    #[must_use]
    pub fn work_ms(&self) -> f64 {
        self.median_ms * (self.sigma * self.sigma / 2.0).exp() * self.width as f64
    }
}

/// A period with a higher or lower rate of arrivals.
#[derive(Clone, Copy, Debug)]
pub struct Peak {
    /// Factor on the base rate.
    pub factor: f64,
    /// Start, as the time since the start of the run.
    pub start: Duration,
    /// Length of the period.
    pub duration: Duration,
}

/// Parameters of the generated arrivals.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Classes of jobs.
    pub mix: Vec<Class>,
    /// Mean work that arrives, as a share of the capacity of all slots. Without effect if `rate` is
    /// set.
    pub load: f64,
    /// Base rate in jobs per second. `None` derives it from `load`.
    pub rate: Option<f64>,
    /// Number of slots of all targets.
    pub slots: usize,
    /// Duration of the run.
    pub duration: Duration,
    /// Period with a different rate, if any.
    pub peak: Option<Peak>,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// A job to be sent.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Intended send time, as the time since the start of the run.
    pub at: Duration,
    /// Index of the class in [`Workload::mix`].
    pub class: usize,
    /// Run time of each task, in milliseconds.
    pub tasks_ms: Vec<f64>,
}

impl Workload {
    /// Generates all arrivals, in order of their send times.
    #[must_use]
    pub fn generate(&self) -> Vec<Arrival> {
        let mut random = StdRng::seed_from_u64(self.seed);
        let rate = self.jobs_per_second();
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        loop {
            at += exponential(&mut random) / (rate * self.rate_factor(at));
            if at >= self.duration.as_secs_f64() {
                return arrivals;
            }
            let class = self.draw_class(&mut random);
            let tasks_ms = self.mix[class].draw_tasks_ms(&mut random);
            arrivals.push(Arrival { at: Duration::from_secs_f64(at), class, tasks_ms });
        }
    }

    /// Base rate, in jobs per second.
    #[must_use]
    pub fn jobs_per_second(&self) -> f64 {
        if let Some(rate) = self.rate {
            return rate;
        }
        let weight: f64 = self.mix.iter().map(|class| class.weight).sum();
        let work: f64 = self.mix.iter().map(|class| class.weight * class.work_ms()).sum();
        self.load * self.slots as f64 * 1e3 / (work / weight)
    }

    fn rate_factor(&self, at: f64) -> f64 {
        match self.peak {
            Some(peak) => {
                let start = peak.start.as_secs_f64();
                let is_inside = at >= start && at < start + peak.duration.as_secs_f64();
                if is_inside { peak.factor } else { 1.0 }
            }
            None => 1.0,
        }
    }

    fn draw_class(&self, random: &mut StdRng) -> usize {
        let weight: f64 = self.mix.iter().map(|class| class.weight).sum();
        let mut left = random.random::<f64>() * weight;
        for (index, class) in self.mix.iter().enumerate() {
            left -= class.weight;
            if left < 0.0 {
                return index;
            }
        }
        self.mix.len() - 1
    }
}

impl Class {
    fn draw_tasks_ms(&self, random: &mut StdRng) -> Vec<f64> {
        (0..self.width).map(|_| self.median_ms * (self.sigma * normal(random)).exp()).collect()
    }
}

/// Draws from an exponential distribution with mean 1.
fn exponential(random: &mut StdRng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

/// Draws from the standard normal distribution, by the Box-Muller transform.
fn normal(random: &mut StdRng) -> f64 {
    let radius = (2.0 * exponential(random)).sqrt();
    radius * (std::f64::consts::TAU * random.random::<f64>()).cos()
}
