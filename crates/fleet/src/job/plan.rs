//! Validated content of a job.

use std::ops::Add;
use std::sync::Arc;
use std::time::Duration;

use coltsfootshunt_core::name::Label;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Number of hexadecimal digits of a job identifier.
const ID_DIGITS: usize = 16;
/// Upper limit of declared run times, in milliseconds: thirty days, which is longer than any caller
/// waits. Sums and multiples of it don't overflow a `Duration`.
const MAX_ESTIMATE_MS: u64 = 30 * 24 * 3_600 * 1_000;
/// Maximum number of tasks of one job, the size of the largest job that the system must support.
pub const MAX_TASKS: u32 = 1_000;

/// Job identifier, chosen by the caller.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Id(Arc<str>);

impl TryFrom<&str> for Id {
    type Error = InvalidJob;

    fn try_from(text: &str) -> Result<Self, InvalidJob> {
        let digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if digits && text.len() == ID_DIGITS { Ok(Self(text.into())) } else { Err(InvalidJob::Id) }
    }
}

impl TryFrom<String> for Id {
    type Error = InvalidJob;

    fn try_from(text: String) -> Result<Self, InvalidJob> {
        Self::try_from(text.as_str())
    }
}

impl From<Id> for String {
    fn from(id: Id) -> Self {
        id.0.as_ref().into()
    }
}

/// Amounts of CPU, memory and accelerators that a task takes or a target has.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Whether each of these amounts is at least that of `demand`.
    #[must_use]
    pub fn covers(&self, demand: &Self) -> bool {
        self.cpu_millis >= demand.cpu_millis
            && self.memory_mb >= demand.memory_mb
            && self.accelerators >= demand.accelerators
    }

    /// Subtracts each amount of `demand`, down to zero.
    #[must_use]
    pub fn saturating_sub(&self, demand: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(demand.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(demand.memory_mb),
            accelerators: self.accelerators.saturating_sub(demand.accelerators),
        }
    }
}

/// Saturates, since a target may report the largest representable amount.
impl Add for Resources {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}

/// Requirements of each task of a step.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Requirements {
    /// Resources that the task takes while it runs.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// Run time declared by the caller, in milliseconds; often inaccurate.
    pub estimate_ms: u64,
    /// Label that the target must have.
    #[serde(rename = "label")]
    pub required_label: Option<Label>,
    /// Label of the rack that holds the task's data; runs elsewhere take longer.
    #[serde(rename = "rack")]
    pub preferred_rack: Option<Label>,
    /// Maximum number of tasks of the step on one target; `None` for no limit.
    #[serde(rename = "spread")]
    pub max_per_target: Option<u32>,
}

impl Requirements {
    /// Declared run time, clamped to between 1 ms and thirty days.
    #[must_use]
    pub fn estimate(&self) -> Duration {
        Duration::from_millis(self.estimate_ms.clamp(1, MAX_ESTIMATE_MS))
    }
}

/// Tasks with equal requirements.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Requirements of each task.
    pub requirements: Requirements,
    /// Indices of the earlier steps that must complete first.
    pub after: Vec<usize>,
}

/// Validated steps of a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Opaque specification, passed on to targets unchanged.
    pub spec: Arc<str>,
    /// Steps in an order in which each comes after those that it depends on.
    pub steps: Vec<Step>,
}

/// Why a job is invalid.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum InvalidJob {
    /// The identifier is malformed.
    #[display("a job's identifier has {ID_DIGITS} hexadecimal digits")]
    Id,
    /// The plan has no steps, or one of its steps has no tasks.
    #[display("a job needs a step, and a step a task")]
    Empty,
    /// The plan has too many tasks.
    #[display("a job has at most {MAX_TASKS} tasks")]
    TooWide,
    /// A step depends on itself or on a later step.
    #[display("step {step} depends on a step that does not come before it")]
    Order {
        /// Index of the step, from 0.
        step: usize,
    },
}

impl Plan {
    /// Validates the steps and creates a plan.
    ///
    /// # Errors
    /// Returns an error if there are no steps or too many tasks, if a step has no tasks, or if a
    /// step depends on a step that does not come before it.
    pub fn new(spec: Arc<str>, steps: Vec<Step>) -> Result<Self, InvalidJob> {
        if steps.is_empty() || steps.iter().any(|step| step.count == 0) {
            return Err(InvalidJob::Empty);
        }
        let tasks = steps.iter().map(|step| u64::from(step.count)).sum::<u64>();
        if tasks > u64::from(MAX_TASKS) {
            return Err(InvalidJob::TooWide);
        }
        for (number, step) in steps.iter().enumerate() {
            if step.after.iter().any(|&earlier| earlier >= number) {
                return Err(InvalidJob::Order { step: number });
            }
        }
        Ok(Self { spec, steps })
    }

    /// Declared CPU time of all tasks, in millicore-seconds.
    #[must_use]
    pub fn work(&self) -> f64 {
        let work = |step: &Step| {
            let each = step.requirements.estimate().as_secs_f64()
                * step.requirements.resources.cpu_millis as f64;
            f64::from(step.count) * each
        };
        self.steps.iter().map(work).sum()
    }

    /// Number of tasks in all steps.
    #[must_use]
    pub fn task_count(&self) -> usize {
        self.steps.iter().map(|step| step.count as usize).sum()
    }

    /// Declared run time of the critical path, which is the longest chain of dependent steps.
    #[must_use]
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin = step.after.iter().map(|&earlier| ends[earlier]).max().unwrap_or_default();
            ends.push(begin + step.requirements.estimate());
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
