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
    /// Declared run time of a task in the mean.
    pub run: Duration,
}

/// The users' three kinds: wide and short, long, narrow.
pub const KINDS: [Kind; 3] = [
    Kind { name: "short", share: 0.245, width: 8.0, run: Duration::from_millis(51) },
    Kind { name: "long", share: 0.045, width: 4.0, run: Duration::from_millis(760) },
    Kind { name: "narrow", share: 0.71, width: 2.0, run: Duration::from_millis(170) },
];

/// What goes on while jobs come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pattern {
    /// Its name.
    pub name: &'static str,
    /// Mean rate over what the targets can do.
    pub load: f64,
    /// Factor on the rate in the middle third.
    pub crest: f64,
    /// Share of the orders that targets leave unanswered and never carry out.
    pub unanswered: f64,
    /// Targets on which everything stands still in the middle third.
    pub hanging: usize,
}

/// The patterns that the product's policies answer.
pub const PATTERNS: [Pattern; 4] = [
    Pattern { name: "calm", load: 0.5, crest: 1.0, unanswered: 0.0, hanging: 0 },
    Pattern { name: "crest", load: 0.65, crest: 1.7, unanswered: 0.0, hanging: 0 },
    Pattern { name: "unanswered", load: 0.55, crest: 1.0, unanswered: 0.05, hanging: 0 },
    Pattern { name: "hanging", load: 0.5, crest: 1.0, unanswered: 0.0, hanging: 2 },
];

/// One job.
#[derive(Clone, Debug)]
pub struct Job {
    /// When it comes, from the start.
    pub at: Duration,
    /// Its kind, a place in [`KINDS`].
    pub kind: usize,
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
}

/// One target.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Tasks that it holds.
    pub places: usize,
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

/// Places of one target, and how run times differ: one target in four is fast.
const PLACES: usize = 2;
const SLOWNESS: [f64; 4] = [0.55, 1.2, 1.2, 1.2];

impl Load {
    /// Draws a load of a pattern on some targets.
    #[must_use]
    pub fn draw(pattern: Pattern, targets: usize, length: Duration, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let targets: Vec<Target> = (0..targets)
            .map(|number| Target {
                places: PLACES,
                slowness: SLOWNESS[number % SLOWNESS.len()],
                hangs: (1..=pattern.hanging).contains(&number),
            })
            .collect();
        let capacity: f64 =
            targets.iter().map(|target| target.places as f64 / target.slowness).sum();
        let work = |kind: &Kind| kind.share * kind.width * kind.run.as_secs_f64();
        let per_second = pattern.load * capacity / KINDS.iter().map(work).sum::<f64>();
        let mut jobs = Vec::new();
        let mut at = 0.0;
        while at < length.as_secs_f64() {
            let middle = is_middle(Duration::from_secs_f64(at), length);
            let rate = per_second * if middle { pattern.crest } else { 1.0 };
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
    let width = (KINDS[kind].width * spread(rng, ESTIMATE_SPREAD)).round().max(1.0) as usize;
    let tail = if rng.random_ratio(1, TAIL_ONE_IN) { TAIL } else { 1.0 };
    let run = KINDS[kind].run.mul_f64(spread(rng, ESTIMATE_SPREAD) * tail);
    let declared = run.mul_f64(spread(rng, ESTIMATE_SPREAD));
    let tasks = (0..width).map(|_| run.mul_f64(spread(rng, TASK_SPREAD))).collect();
    Job { at, kind, declared, tasks }
}

/// A factor from a log-normal distribution around one.
fn spread(rng: &mut StdRng, deviation: f64) -> f64 {
    // The sum of twelve uniform numbers is close to a normal one.
    let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    (normal * deviation).exp()
}
