//! Generates loads: the jobs that arrive over time, and the targets that run them.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Spread of the width, run time and estimate of jobs, as the standard deviation of the logarithm.
const JOB_SPREAD: f64 = 0.4;
/// Spread of the run times of the tasks of one job, as the standard deviation of the logarithm.
const TASK_SPREAD: f64 = 0.15;
/// One job in this many runs [`TAIL_FACTOR`] times as long as its kind usually does.
const JOBS_PER_TAIL_JOB: u32 = 33;
/// Factor on the run time of a job in the tail of the distribution.
const TAIL_FACTOR: f64 = 7.0;
/// Factor on the longest task of a job in its objective.
pub const STRETCH: f64 = 1.6;
/// Constant part of the objective of a job.
pub const ALLOWANCE: Duration = Duration::from_millis(60);
/// Time after which a caller leaves without an answer.
pub const CALLER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A kind of job.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Name of the kind, and the prefix of its route.
    pub name: &'static str,
    /// Share of this kind among all jobs.
    pub share: f64,
    /// Mean number of tasks of a job.
    pub mean_tasks: f64,
    /// Median run time of a task on an average target.
    pub median_run: Duration,
}

/// The three kinds of the simulated workload: many short tasks, long tasks, few tasks.
pub const KINDS: [Kind; 3] = [
    Kind { name: "short", share: 0.245, mean_tasks: 8.0, median_run: Duration::from_millis(51) },
    Kind { name: "long", share: 0.045, mean_tasks: 4.0, median_run: Duration::from_millis(760) },
    Kind { name: "narrow", share: 0.71, mean_tasks: 2.0, median_run: Duration::from_millis(170) },
];

/// Index of the long kind in [`KINDS`].
pub const LONG_KIND: usize = 1;

/// Rate of arrivals and faults of targets while jobs arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pattern {
    /// Name of the pattern, as given to `model --pattern`.
    pub name: &'static str,
    /// Mean work that arrives, as a share of the capacity of all targets.
    pub utilization: f64,
    /// Amplitude of a sine wave in the rate, as a share of the mean rate. Its period is
    /// [`WAVE_PERIOD`].
    pub wave_amplitude: f64,
    /// Factor on the rate in the middle third of the load.
    pub peak_factor: f64,
    /// Share of calls that targets neither answer nor execute.
    pub unanswered_share: f64,
    /// Number of targets on which no run progresses in the middle third of the load.
    pub hanging_targets: usize,
}

/// The load patterns for which the dispatcher has a policy.
pub const PATTERNS: [Pattern; 5] = [
    Pattern { name: "calm", utilization: 0.69, ..STEADY },
    Pattern { name: "crest", utilization: 0.9, peak_factor: 1.7, ..STEADY },
    Pattern { name: "high day", utilization: 0.75, wave_amplitude: 0.55, ..STEADY },
    Pattern { name: "unanswered", utilization: 0.76, unanswered_share: 0.05, ..STEADY },
    Pattern { name: "hanging", utilization: 0.69, hanging_targets: 2, ..STEADY },
];

/// A constant rate without faults, as the base of [`PATTERNS`].
const STEADY: Pattern = Pattern {
    name: "",
    utilization: 0.0,
    wave_amplitude: 0.0,
    peak_factor: 1.0,
    unanswered_share: 0.0,
    hanging_targets: 0,
};

/// A job of a load.
#[derive(Clone, Debug)]
pub struct Job {
    /// Arrival, as the time since the start of the load.
    pub arrives_at: Duration,
    /// Index of the kind in [`KINDS`].
    pub kind: usize,
    /// CPU of each task, in thousandths of a core.
    pub cpu_millis: u64,
    /// Run time of each task that the caller estimates.
    pub estimate: Duration,
    /// Run time of each task on an average target.
    pub tasks: Vec<Duration>,
}

impl Job {
    /// Time from the arrival within which the job is on time.
    #[must_use]
    pub fn objective(&self) -> Duration {
        let longest = self.tasks.iter().max().copied().unwrap_or_default();
        longest.mul_f64(STRETCH) + ALLOWANCE
    }

    /// Whether the longest task would end before the caller leaves, if it started on arrival on the
    /// fastest target.
    #[must_use]
    pub fn is_reachable(&self) -> bool {
        let longest = self.tasks.iter().max().copied().unwrap_or_default();
        let fastest = SLOWNESS_FACTORS.iter().copied().fold(f64::INFINITY, f64::min);
        longest.mul_f64(fastest) < CALLER_TIMEOUT
    }

    /// CPU time of all tasks on an average target, in thousandths of a core times seconds.
    #[must_use]
    pub fn work(&self) -> f64 {
        let run: Duration = self.tasks.iter().sum();
        run.as_secs_f64() * self.cpu_millis as f64
    }
}

/// A target of a load.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// CPU of the target, in thousandths of a core.
    pub cpu_millis: u64,
    /// Factor on the run times of tasks. Above 1 is slower than the average target.
    pub slowness: f64,
    /// Whether no run on this target progresses in the middle third of the load.
    pub hangs: bool,
}

/// Jobs generated from a pattern, and the targets that run them.
#[derive(Clone, Debug)]
pub struct Load {
    /// Pattern from which the load was generated.
    pub pattern: Pattern,
    /// Time during which jobs arrive.
    pub duration: Duration,
    /// The jobs, in order of arrival.
    pub jobs: Vec<Job>,
    /// The targets that run the jobs.
    pub targets: Vec<Target>,
}

/// Median CPU of a task, in thousandths of a core.
const MEDIAN_TASK_CPU_MILLIS: f64 = 6_800.0;
/// Spread of the CPU of tasks, as the standard deviation of the logarithm.
const TASK_CPU_SPREAD: f64 = 0.2;
/// Largest CPU of a task, in thousandths of a core.
const MAX_TASK_CPU_MILLIS: f64 = 10_000.0;
/// CPU of targets, in thousandths of a core, assigned in rotation.
const TARGET_CPU_MILLIS: [u64; 3] = [16_000, 16_000, 24_000];
/// Factors on the run times of targets, assigned in rotation: one target in four is fast.
pub const SLOWNESS_FACTORS: [f64; 4] = [0.55, 1.2, 1.2, 1.2];
/// Period of the sine wave in the rate.
pub const WAVE_PERIOD: Duration = Duration::from_secs(15);

impl Target {
    /// Number of tasks of median CPU that fit on the target.
    fn task_slots(&self) -> f64 {
        (self.cpu_millis as f64 / MEDIAN_TASK_CPU_MILLIS).floor()
    }
}

impl Load {
    /// Generates a load. Equal arguments give equal loads.
    #[must_use]
    pub fn generate(pattern: Pattern, targets: usize, duration: Duration, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let targets: Vec<Target> = (0..targets)
            .map(|number| Target {
                cpu_millis: TARGET_CPU_MILLIS[number % TARGET_CPU_MILLIS.len()],
                slowness: SLOWNESS_FACTORS[number % SLOWNESS_FACTORS.len()],
                hangs: (1..=pattern.hanging_targets).contains(&number),
            })
            .collect();
        let capacity: f64 =
            targets.iter().map(|target| target.task_slots() / target.slowness).sum();
        let work = |kind: &Kind| kind.share * kind.mean_tasks * kind.median_run.as_secs_f64();
        let mean_tail = 1.0 + (TAIL_FACTOR - 1.0) / f64::from(JOBS_PER_TAIL_JOB);
        let mean_work =
            KINDS.iter().map(work).sum::<f64>() * mean_tail * log_normal_mean(JOB_SPREAD);
        let mean_rate = pattern.utilization * capacity / mean_work;
        let mut jobs = Vec::new();
        let mut at = 0.0;
        while at < duration.as_secs_f64() {
            let is_peak = is_middle_third(Duration::from_secs_f64(at), duration);
            let phase = at / WAVE_PERIOD.as_secs_f64() * std::f64::consts::TAU;
            let wave = 1.0 + pattern.wave_amplitude * phase.sin();
            let rate = mean_rate * wave * if is_peak { pattern.peak_factor } else { 1.0 };
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            jobs.push(generate_job(Duration::from_secs_f64(at), &mut rng));
        }
        Self { pattern, duration, jobs, targets }
    }
}

/// Whether a time lies in the middle third of a load.
#[must_use]
pub fn is_middle_third(at: Duration, duration: Duration) -> bool {
    at >= duration / 3 && at < duration * 2 / 3
}

fn generate_job(arrives_at: Duration, rng: &mut StdRng) -> Job {
    let mut left = rng.random::<f64>();
    let kind = KINDS.iter().position(|kind| {
        left -= kind.share;
        left < 0.0
    });
    let kind = kind.unwrap_or(KINDS.len() - 1);
    let width = log_normal(rng, JOB_SPREAD) / log_normal_mean(JOB_SPREAD);
    let width = (KINDS[kind].mean_tasks * width).round().max(1.0) as usize;
    let tail = if rng.random_ratio(1, JOBS_PER_TAIL_JOB) { TAIL_FACTOR } else { 1.0 };
    let run = KINDS[kind].median_run.mul_f64(log_normal(rng, JOB_SPREAD) * tail);
    let estimate = run.mul_f64(log_normal(rng, JOB_SPREAD));
    let tasks = (0..width).map(|_| run.mul_f64(log_normal(rng, TASK_SPREAD))).collect();
    let cpu = (MEDIAN_TASK_CPU_MILLIS * log_normal(rng, TASK_CPU_SPREAD)).min(MAX_TASK_CPU_MILLIS);
    Job { arrives_at, kind, cpu_millis: cpu as u64, estimate, tasks }
}

/// Mean of the distribution of [`log_normal`].
fn log_normal_mean(deviation: f64) -> f64 {
    (deviation * deviation / 2.0).exp()
}

/// Draws from a log-normal distribution with median 1.
fn log_normal(rng: &mut StdRng, deviation: f64) -> f64 {
    // The sum of twelve uniform variables approximates a normal distribution with variance 1.
    let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    (normal * deviation).exp()
}
