//! Generates loads: the jobs that arrive over time, and the targets that run them.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Spread of the width, run time and estimate of jobs, as the standard deviation of the logarithm.
const JOB_SPREAD: f64 = 0.4;
/// Spread of the run times of the tasks of one job, as the standard deviation of the logarithm.
const TASK_SPREAD: f64 = 0.15;
/// One job in this many runs [`TAIL_FACTOR`] times as long as its kind usually does, if the workload has a
/// tail.
const JOBS_PER_TAIL_JOB: u32 = 33;
/// Factor on the run time of a job in the tail of the distribution.
const TAIL_FACTOR: f64 = 7.0;
/// Factor on the longest task of a job in its objective.
pub const STRETCH: f64 = 1.6;
/// Constant part of the objective of a job.
pub const ALLOWANCE: Duration = Duration::from_millis(60);
/// Timeout of the routes, and the constant part of the time for which a caller waits.
pub const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Factor on the objective of a job in the time for which its caller waits.
const PATIENCE_FACTOR: u32 = 3;

/// A kind of job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kind {
    /// Name of the kind, and the prefix of its route.
    pub name: &'static str,
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    /// Share of this kind among all jobs.
    pub share: f64,
    /// Mean number of tasks of a job.
    pub mean_tasks: f64,
    /// Median run time of a task on an average target.
    pub median_run: Duration,
}

/// The three kinds of the simulated workload: many short tasks, long tasks, few tasks.
pub const KINDS: [Kind; 3] = [
    kind("short", 0, 0.245, 8.0, 51),
    kind("long", 0, 0.045, 4.0, 760),
    kind("narrow", 0, 0.71, 2.0, 170),
];

const fn kind(name: &'static str, priority: u32, share: f64, mean_tasks: f64, run_ms: u64) -> Kind {
    let median_run = Duration::from_millis(run_ms);
    Kind { name, priority, share, mean_tasks, median_run }
}

/// Index of the long kind in [`KINDS`].
pub const LONG_KIND: usize = 1;

/// The kinds of jobs, their sizes, and the targets that run them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Workload {
    /// The kinds, in the order of [`KINDS`].
    pub kinds: [Kind; KINDS.len()],
    /// Median CPU of a task, in thousandths of a core.
    pub median_task_cpu_millis: f64,
    /// Largest CPU of a task, in thousandths of a core.
    pub max_task_cpu_millis: f64,
    /// CPU of targets, in thousandths of a core, assigned in rotation.
    pub target_cpu_millis: [u64; 3],
    /// Factors on the run times of targets, assigned in rotation. A factor above 1 is slower than average.
    pub slowness_factors: &'static [f64],
    /// Number of consecutive targets with the same factor. The rotation of factors is then independent of
    /// that of the CPU where both have the same length.
    pub targets_per_factor: usize,
    /// Whether one job in 33 runs seven times as long.
    pub has_tail: bool,
    /// Period of the sine wave in the rate.
    pub wave_period: Duration,
}

/// The workload of the first deployments.
const PLAIN: Workload = Workload {
    kinds: KINDS,
    median_task_cpu_millis: 6_800.0,
    max_task_cpu_millis: 10_000.0,
    target_cpu_millis: [16_000, 16_000, 24_000],
    // One target in four is fast.
    slowness_factors: &[0.55, 1.2, 1.2, 1.2],
    targets_per_factor: 1,
    has_tail: true,
    wave_period: Duration::from_secs(15),
};

/// The workload of deployment C.
const DEPLOYMENT_C: Workload = Workload {
    kinds: [
        kind("short", 0, 206.0 / 843.5, 8.0, 60),
        kind("long", 2, 37.5 / 843.5, 4.0, 900),
        kind("narrow", 1, 600.0 / 843.5, 2.0, 200),
    ],
    median_task_cpu_millis: 8_000.0,
    max_task_cpu_millis: 12_000.0,
    slowness_factors: &[0.7, 0.7, 1.7],
    targets_per_factor: 3,
    has_tail: false,
    ..PLAIN
};

/// The workload of deployment W.
const DEPLOYMENT_W: Workload = Workload {
    kinds: [
        kind("short", 0, 206.0 / 843.5, 8.0, 51),
        kind("long", 2, 37.5 / 843.5, 4.0, 760),
        kind("narrow", 1, 600.0 / 843.5, 2.0, 170),
    ],
    median_task_cpu_millis: 32_000.0,
    max_task_cpu_millis: 48_000.0,
    target_cpu_millis: [64_000, 64_000, 96_000],
    slowness_factors: &[1.0, 1.0, 1.3],
    has_tail: true,
    wave_period: Duration::from_secs(17),
    ..DEPLOYMENT_C
};

/// Number of targets of the deployments C and W, over which their rates are given.
const DEPLOYMENT_TARGETS: f64 = 350.0;

/// Mean rate of arrivals, without wave, peak and bursts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rate {
    /// The work that arrives, as a share of the capacity of all targets.
    Utilization(f64),
    /// Jobs per second for each target.
    PerTarget(f64),
}

/// A time in which more jobs of one kind arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Burst {
    /// Index of the kind.
    pub kind: usize,
    /// Start, as the time since the start of the load.
    pub start: Duration,
    /// Length.
    pub length: Duration,
    /// Factor on the rate of the kind.
    pub factor: f64,
}

const fn burst(kind: usize, start_ms: u64, length_ms: u64, factor: f64) -> Burst {
    let (start, length) = (Duration::from_millis(start_ms), Duration::from_millis(length_ms));
    Burst { kind, start, length, factor }
}

/// Rate of arrivals and faults of targets while jobs arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pattern {
    /// Name of the pattern, as given to `model --pattern`.
    pub name: &'static str,
    /// Kinds of jobs and targets.
    pub workload: Workload,
    /// Mean rate of arrivals.
    pub rate: Rate,
    /// Amplitude of a sine wave in the rate, as a share of the mean rate.
    pub wave_amplitude: f64,
    /// Factor on the rate in the middle third of the load.
    pub peak_factor: f64,
    /// Times in which more jobs of a kind arrive.
    pub bursts: &'static [Burst],
    /// Share of calls that targets neither answer nor execute.
    pub unanswered_share: f64,
    /// Number of targets on which no run progresses in the middle third of the load.
    pub hanging_targets: usize,
    /// Whether the zones are dense.
    pub is_dense: bool,
    /// Time that a host takes to handle an event.
    pub event_cost: Duration,
}

/// The load patterns for which the dispatcher has a policy.
pub const PATTERNS: [Pattern; 7] = [
    Pattern { name: "calm", rate: Rate::Utilization(0.69), ..STEADY },
    Pattern { name: "crest", rate: Rate::Utilization(0.9), peak_factor: 1.7, ..STEADY },
    Pattern { name: "high day", rate: Rate::Utilization(0.75), wave_amplitude: 0.55, ..STEADY },
    Pattern { name: "unanswered", rate: Rate::Utilization(0.76), unanswered_share: 0.05, ..STEADY },
    Pattern { name: "hanging", rate: Rate::Utilization(0.69), hanging_targets: 2, ..STEADY },
    Pattern {
        name: "worst C",
        workload: DEPLOYMENT_C,
        rate: Rate::PerTarget(1_011.0 / DEPLOYMENT_TARGETS),
        bursts: &[burst(LONG_KIND, 2_000, 6_600, 2.5), burst(0, 10_000, 3_800, 1.8)],
        is_dense: true,
        ..STEADY
    },
    Pattern {
        name: "worst W",
        workload: DEPLOYMENT_W,
        rate: Rate::PerTarget(743.0 / DEPLOYMENT_TARGETS),
        wave_amplitude: 0.55,
        // Both bursts fall on a crest of the wave.
        bursts: &[burst(LONG_KIND, 2_500, 4_000, 1.7), burst(0, 19_500, 4_000, 1.6)],
        is_dense: true,
        ..STEADY
    },
];

/// A constant rate without faults, as the base of [`PATTERNS`].
const STEADY: Pattern = Pattern {
    name: "",
    workload: PLAIN,
    rate: Rate::Utilization(0.0),
    wave_amplitude: 0.0,
    peak_factor: 1.0,
    bursts: &[],
    unanswered_share: 0.0,
    hanging_targets: 0,
    is_dense: false,
    event_cost: Duration::ZERO,
};

impl Pattern {
    /// Factor on the rate of a kind at some time.
    fn burst_factor(&self, kind: usize, at: Duration) -> f64 {
        let is_active = |burst: &&Burst| {
            burst.kind == kind && at >= burst.start && at < burst.start + burst.length
        };
        self.bursts.iter().filter(is_active).map(|burst| burst.factor).product()
    }

    /// Rate of the jobs of each kind and of all jobs, relative to the rate without bursts.
    fn relative_rates(&self, at: Duration) -> ([f64; KINDS.len()], f64) {
        let kinds = &self.workload.kinds;
        let rates = std::array::from_fn(|kind| kinds[kind].share * self.burst_factor(kind, at));
        let extra: f64 = rates.iter().zip(kinds).map(|(rate, kind)| rate - kind.share).sum();
        (rates, 1.0 + extra)
    }
}

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

    /// Time from the arrival after which the caller leaves without an answer. Callers state it.
    #[must_use]
    pub fn patience(&self) -> Duration {
        ROUTE_TIMEOUT + self.objective() * PATIENCE_FACTOR
    }

    /// Whether the longest task would end before the caller leaves, if it started on arrival on the
    /// fastest target of the workload.
    #[must_use]
    pub fn is_reachable(&self, workload: &Workload) -> bool {
        let longest = self.tasks.iter().max().copied().unwrap_or_default();
        let fastest = workload.slowness_factors.iter().copied().fold(f64::INFINITY, f64::min);
        longest.mul_f64(fastest) < self.patience()
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

/// Spread of the CPU of tasks, as the standard deviation of the logarithm.
const TASK_CPU_SPREAD: f64 = 0.2;

impl Target {
    /// Number of tasks of median CPU that fit on the target.
    fn task_slots(&self, workload: &Workload) -> f64 {
        (self.cpu_millis as f64 / workload.median_task_cpu_millis).floor()
    }
}

impl Load {
    /// Generates a load. Equal arguments give equal loads.
    #[must_use]
    pub fn generate(pattern: Pattern, targets: usize, duration: Duration, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let workload = &pattern.workload;
        let factors = workload.slowness_factors;
        let targets: Vec<Target> = (0..targets)
            .map(|number| Target {
                cpu_millis: workload.target_cpu_millis[number % workload.target_cpu_millis.len()],
                slowness: factors[number / workload.targets_per_factor % factors.len()],
                hangs: (1..=pattern.hanging_targets).contains(&number),
            })
            .collect();
        let mean_rate = mean_rate(&pattern, &targets);
        let mut jobs = Vec::new();
        let mut at = 0.0;
        while at < duration.as_secs_f64() {
            let time = Duration::from_secs_f64(at);
            let is_peak = is_middle_third(time, duration);
            let phase = at / workload.wave_period.as_secs_f64() * std::f64::consts::TAU;
            let wave = 1.0 + pattern.wave_amplitude * phase.sin();
            let rate = mean_rate * wave * if is_peak { pattern.peak_factor } else { 1.0 };
            let (_, bursts) = pattern.relative_rates(time);
            at += -(1.0 - rng.random::<f64>()).ln() / (rate * bursts);
            jobs.push(generate_job(Duration::from_secs_f64(at), &pattern, &mut rng));
        }
        Self { pattern, duration, jobs, targets }
    }
}

/// Whether a time lies in the middle third of a load.
#[must_use]
pub fn is_middle_third(at: Duration, duration: Duration) -> bool {
    at >= duration / 3 && at < duration * 2 / 3
}

/// Mean number of jobs per second.
fn mean_rate(pattern: &Pattern, targets: &[Target]) -> f64 {
    let workload = &pattern.workload;
    let utilization = match pattern.rate {
        Rate::Utilization(utilization) => utilization,
        Rate::PerTarget(rate) => return rate * targets.len() as f64,
    };
    let capacity: f64 =
        targets.iter().map(|target| target.task_slots(workload) / target.slowness).sum();
    let work = |kind: &Kind| kind.share * kind.mean_tasks * kind.median_run.as_secs_f64();
    let tail = if workload.has_tail { TAIL_FACTOR - 1.0 } else { 0.0 };
    let mean_tail = 1.0 + tail / f64::from(JOBS_PER_TAIL_JOB);
    let mean_work =
        workload.kinds.iter().map(work).sum::<f64>() * mean_tail * log_normal_mean(JOB_SPREAD);
    utilization * capacity / mean_work
}

fn generate_job(arrives_at: Duration, pattern: &Pattern, rng: &mut StdRng) -> Job {
    let Workload { kinds, median_task_cpu_millis, max_task_cpu_millis, has_tail, .. } =
        &pattern.workload;
    let (rates, all) = pattern.relative_rates(arrives_at);
    let mut left = rng.random::<f64>() * all;
    let kind = rates.iter().position(|rate| {
        left -= rate;
        left < 0.0
    });
    let kind = kind.unwrap_or(kinds.len() - 1);
    let width = log_normal(rng, JOB_SPREAD) / log_normal_mean(JOB_SPREAD);
    let width = (kinds[kind].mean_tasks * width).round().max(1.0) as usize;
    let is_tail = *has_tail && rng.random_ratio(1, JOBS_PER_TAIL_JOB);
    let tail = if is_tail { TAIL_FACTOR } else { 1.0 };
    let run = kinds[kind].median_run.mul_f64(log_normal(rng, JOB_SPREAD) * tail);
    let estimate = run.mul_f64(log_normal(rng, JOB_SPREAD));
    let tasks = (0..width).map(|_| run.mul_f64(log_normal(rng, TASK_SPREAD))).collect();
    let cpu = median_task_cpu_millis * log_normal(rng, TASK_CPU_SPREAD);
    Job { arrives_at, kind, cpu_millis: cpu.min(*max_task_cpu_millis) as u64, estimate, tasks }
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
