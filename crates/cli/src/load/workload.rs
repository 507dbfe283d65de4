//! Arrivals, drawn before the run so that each policy meets the same ones.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::error::Problem;

/// One class of work.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Kind of its tasks.
    pub kind: String,
    /// Median run time, in milliseconds.
    pub median_ms: f64,
    /// Spread of the logarithm of run times.
    pub sigma: f64,
    /// Part among all jobs, against the other classes.
    pub weight: f64,
    /// Tasks in a job.
    pub width: usize,
}

impl TryFrom<&str> for Class {
    type Error = Problem;

    fn try_from(text: &str) -> Result<Self, Problem> {
        let wrong = || Problem::Mix { text: text.to_owned() };
        let parts: Vec<_> = text.split(':').collect();
        let [kind, median_ms, sigma, weight, width] = parts[..] else {
            return Err(wrong());
        };
        let number = |text: &str| text.parse::<f64>().map_err(|_| wrong());
        Ok(Self {
            kind: kind.to_owned(),
            median_ms: number(median_ms)?,
            sigma: number(sigma)?,
            weight: number(weight)?,
            width: width.parse().map_err(|_| wrong())?,
        })
    }
}

impl Class {
    /// Mean work of one job, in milliseconds of one slot.
    #[must_use]
    pub fn work_ms(&self) -> f64 {
        self.median_ms * (self.sigma * self.sigma / 2.0).exp() * self.width as f64
    }
}

/// A swing of demand.
#[derive(Clone, Copy, Debug)]
pub struct Crest {
    /// Rate against the usual one.
    pub factor: f64,
    /// When it begins.
    pub from: Duration,
    /// How long it lasts.
    pub lasts: Duration,
}

/// What arrives.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Classes of work.
    pub mix: Vec<Class>,
    /// Mean work that arrives in each second, against all slots.
    pub load: f64,
    /// Usual rate of jobs, if it is not to follow from the load.
    pub rate: Option<f64>,
    /// Slots of all targets.
    pub slots: usize,
    /// Length of the run.
    pub lasts: Duration,
    /// A swing of demand.
    pub crest: Option<Crest>,
    /// Seed of the draws.
    pub seed: u64,
}

/// One job.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it is sent.
    pub at: Duration,
    /// Its class's place in the mix.
    pub class: usize,
    /// Run time of each task, in milliseconds.
    pub tasks_ms: Vec<f64>,
}

impl Shape {
    /// Draws all arrivals.
    #[must_use]
    pub fn draw(&self) -> Vec<Arrival> {
        let mut random = StdRng::seed_from_u64(self.seed);
        let rate = self.jobs_per_second();
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        loop {
            at += exponential(&mut random) / (rate * self.factor(at));
            if at >= self.lasts.as_secs_f64() {
                return arrivals;
            }
            let class = self.pick(&mut random);
            let tasks_ms = self.mix[class].draw(&mut random);
            arrivals.push(Arrival { at: Duration::from_secs_f64(at), class, tasks_ms });
        }
    }

    /// Usual rate of jobs.
    #[must_use]
    pub fn jobs_per_second(&self) -> f64 {
        if let Some(rate) = self.rate {
            return rate;
        }
        let weight: f64 = self.mix.iter().map(|class| class.weight).sum();
        let work: f64 = self.mix.iter().map(|class| class.weight * class.work_ms()).sum();
        self.load * self.slots as f64 * 1e3 / (work / weight)
    }

    fn factor(&self, at: f64) -> f64 {
        match self.crest {
            Some(crest) => {
                let from = crest.from.as_secs_f64();
                let inside = at >= from && at < from + crest.lasts.as_secs_f64();
                if inside { crest.factor } else { 1.0 }
            }
            None => 1.0,
        }
    }

    fn pick(&self, random: &mut StdRng) -> usize {
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
    fn draw(&self, random: &mut StdRng) -> Vec<f64> {
        (0..self.width).map(|_| self.median_ms * (self.sigma * normal(random)).exp()).collect()
    }
}

fn exponential(random: &mut StdRng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

/// A standard normal draw, by Box and Muller's transform.
fn normal(random: &mut StdRng) -> f64 {
    let radius = (2.0 * exponential(random)).sqrt();
    radius * (std::f64::consts::TAU * random.random::<f64>()).cos()
}
