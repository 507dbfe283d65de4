//! Load patterns: jobs over time, and the targets that are to run them.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Spread of real run times around declared ones, as a standard deviation of the logarithm.
const ESTIMATE_SPREAD: f64 = 0.4;
/// The same for the tasks of one job among each other.
const TASK_SPREAD: f64 = 0.15;
/// One job in this many takes several times as long as declared.
const TAIL_ONE_IN: u32 = 33;
/// How many times as long.
const TAIL: f64 = 7.0;
/// Multiple of its longest task in which a job is on time.
pub const STRETCH: f64 = 1.6;
/// What a job may take beyond that.
pub const ALLOWANCE: Duration = Duration::from_millis(60);
/// How long callers wait.
pub const PATIENCE: Duration = Duration::from_millis(1_500);

/// A kind of job.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// Its share of all jobs.
    pub share: f64,
    /// Tasks of a job in the mean.
    pub width: f64,
    /// Run time of a task in the median.
    pub run: Duration,
}

/// The users' three kinds: wide and short, long, narrow.
pub const KINDS: [Kind; 3] = [
    Kind { name: "short", share: 0.245, width: 8.0, run: Duration::from_millis(51) },
    Kind { name: "long", share: 0.045, width: 4.0, run: Duration::from_millis(760) },
    Kind { name: "narrow", share: 0.71, width: 2.0, run: Duration::from_millis(170) },
];

/// Place of the long kind in [`KINDS`].
pub const LONG: usize = 1;

/// What goes on while jobs come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pattern {
    /// Its name.
    pub name: &'static str,
    /// Mean rate over what the targets can do.
    pub load: f64,
    /// Share by which the rate swings around its mean, in a wave of [`WAVE`].
    pub swing: f64,
    /// Factor on the rate in the middle third.
    pub crest: f64,
    /// Share of the orders that targets leave unanswered and never carry out.
    pub unanswered: f64,
    /// Targets on which everything stands still in the middle third.
    pub hanging: usize,
}

/// The patterns that the product's policies answer.
pub const PATTERNS: [Pattern; 5] = [
    Pattern { name: "calm", load: 0.69, ..QUIET },
    Pattern { name: "crest", load: 0.9, crest: 1.7, ..QUIET },
    Pattern { name: "high day", load: 0.75, swing: 0.55, ..QUIET },
    Pattern { name: "unanswered", load: 0.76, unanswered: 0.05, ..QUIET },
    Pattern { name: "hanging", load: 0.69, hanging: 2, ..QUIET },
];

const QUIET: Pattern =
    Pattern { name: "", load: 0.0, swing: 0.0, crest: 1.0, unanswered: 0.0, hanging: 0 };

/// One job.
#[derive(Clone, Debug)]
pub struct Job {
    /// When it comes, from the start.
    pub at: Duration,
    /// Its kind, a place in [`KINDS`].
    pub kind: usize,
    /// Thousandths of a core that each of its tasks takes.
    pub cpu_millis: u64,
    /// Declared run time of its tasks.
    pub declared: Duration,
    /// Run time of each task on an average target.
    pub tasks: Vec<Duration>,
}

impl Job {
    /// Time in which it is on time.
    #[must_use]
    pub fn objective(&self) -> Duration {
        let longest = self.tasks.iter().max().copied().unwrap_or_default();
        longest.mul_f64(STRETCH) + ALLOWANCE
    }

    /// Whether its longest task ends before its caller goes, were it started at once on the fastest target.
    #[must_use]
    pub fn is_reachable(&self) -> bool {
        let longest = self.tasks.iter().max().copied().unwrap_or_default();
        let fastest = SLOWNESS.iter().copied().fold(f64::INFINITY, f64::min);
        longest.mul_f64(fastest) < PATIENCE
    }

    /// What it takes, in thousandths of a core times seconds.
    #[must_use]
    pub fn work(&self) -> f64 {
        let run: Duration = self.tasks.iter().sum();
        run.as_secs_f64() * self.cpu_millis as f64
    }
}

/// One target.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Thousandths of a core that it has.
    pub cpu_millis: u64,
    /// Factor on run times.
    pub slowness: f64,
    /// Whether what runs there stands still in the middle third.
    pub hangs: bool,
}

/// A drawn load.
#[derive(Clone, Debug)]
pub struct Load {
    /// What was drawn.
    pub pattern: Pattern,
    /// How long jobs come.
    pub length: Duration,
    /// The jobs, in order of time.
    pub jobs: Vec<Job>,
    /// The targets.
    pub targets: Vec<Target>,
}

/// Thousandths of a core that a task takes in the mean, and their spread as [`ESTIMATE_SPREAD`].
const TASK_CPU: f64 = 6_800.0;
const CPU_SPREAD: f64 = 0.2;
/// Most thousandths of a core that a task takes.
const MAX_CPU: f64 = 10_000.0;
/// Thousandths of a core of targets, in turn.
const ROOMS: [u64; 3] = [16_000, 16_000, 24_000];
/// Factors on run times of targets, in turn: one target in four is fast.
pub const SLOWNESS: [f64; 4] = [0.55, 1.2, 1.2, 1.2];
/// Period of the wave in which the rate swings.
pub const WAVE: Duration = Duration::from_secs(15);

impl Target {
    /// Tasks of the usual size that it holds.
    fn places(&self) -> f64 {
        (self.cpu_millis as f64 / TASK_CPU).floor()
    }
}

impl Load {
    /// Draws a load of a pattern on some targets.
    #[must_use]
    pub fn draw(pattern: Pattern, targets: usize, length: Duration, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let targets: Vec<Target> = (0..targets)
            .map(|number| Target {
                cpu_millis: ROOMS[number % ROOMS.len()],
                slowness: SLOWNESS[number % SLOWNESS.len()],
                hangs: (1..=pattern.hanging).contains(&number),
            })
            .collect();
        let capacity: f64 = targets.iter().map(|target| target.places() / target.slowness).sum();
        let work = |kind: &Kind| kind.share * kind.width * kind.run.as_secs_f64();
        let tail = 1.0 + (TAIL - 1.0) / f64::from(TAIL_ONE_IN);
        let mean = KINDS.iter().map(work).sum::<f64>() * tail * mean_of_spread(ESTIMATE_SPREAD);
        let per_second = pattern.load * capacity / mean;
        let mut jobs = Vec::new();
        let mut at = 0.0;
        while at < length.as_secs_f64() {
            let middle = is_middle(Duration::from_secs_f64(at), length);
            let turn = at / WAVE.as_secs_f64() * std::f64::consts::TAU;
            let swing = 1.0 + pattern.swing * turn.sin();
            let rate = per_second * swing * if middle { pattern.crest } else { 1.0 };
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            jobs.push(job(Duration::from_secs_f64(at), &mut rng));
        }
        Self { pattern, length, jobs, targets }
    }
}

/// Whether a moment lies in the middle third.
#[must_use]
pub fn is_middle(at: Duration, length: Duration) -> bool {
    at >= length / 3 && at < length * 2 / 3
}

fn job(at: Duration, rng: &mut StdRng) -> Job {
    let mut left = rng.random::<f64>();
    let kind = KINDS.iter().position(|kind| {
        left -= kind.share;
        left < 0.0
    });
    let kind = kind.unwrap_or(KINDS.len() - 1);
    let width = spread(rng, ESTIMATE_SPREAD) / mean_of_spread(ESTIMATE_SPREAD);
    let width = (KINDS[kind].width * width).round().max(1.0) as usize;
    let tail = if rng.random_ratio(1, TAIL_ONE_IN) { TAIL } else { 1.0 };
    let run = KINDS[kind].run.mul_f64(spread(rng, ESTIMATE_SPREAD) * tail);
    let declared = run.mul_f64(spread(rng, ESTIMATE_SPREAD));
    let tasks = (0..width).map(|_| run.mul_f64(spread(rng, TASK_SPREAD))).collect();
    let cpu = (TASK_CPU * spread(rng, CPU_SPREAD)).min(MAX_CPU);
    Job { at, kind, cpu_millis: cpu as u64, declared, tasks }
}

/// Mean of [`spread`].
fn mean_of_spread(deviation: f64) -> f64 {
    (deviation * deviation / 2.0).exp()
}

/// A factor from a log-normal distribution with median one.
fn spread(rng: &mut StdRng, deviation: f64) -> f64 {
    // The sum of twelve uniform numbers is close to a normal one.
    let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    (normal * deviation).exp()
}
