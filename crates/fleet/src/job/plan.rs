//! What a job asks for, checked.

use std::ops::Add;
use std::sync::Arc;
use std::time::Duration;

use coltsfootshunt_core::name::Label;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Digits of a job's identifier.
const ID_DIGITS: usize = 16;
/// Longest declared run time that counts, in milliseconds: thirty days, longer than any caller waits. Sums
/// and multiples of it stay far below what times can hold.
const MAX_ESTIMATE_MS: u64 = 30 * 24 * 3_600 * 1_000;
/// Most tasks of one job; the brief's largest job.
pub const MAX_TASKS: u32 = 1_000;

/// Identifier that the caller chose for its job.
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

/// Processors, memory and accelerators: what a task takes or a target has.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub cpu_millis: u64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Whether all of `part` fits into this.
    #[must_use]
    pub fn covers(&self, part: &Self) -> bool {
        self.cpu_millis >= part.cpu_millis
            && self.memory_mb >= part.memory_mb
            && self.accelerators >= part.accelerators
    }

    /// What is left once `part` is taken; nothing below zero.
    #[must_use]
    pub fn saturating_sub(&self, part: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(part.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(part.memory_mb),
            accelerators: self.accelerators.saturating_sub(part.accelerators),
        }
    }
}

/// A target may say that it has the largest number there is: a sum beyond that stays there.
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

/// What each task of a step needs of its target.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Requirements {
    /// Room that the task takes while it runs.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// Declared run time, in milliseconds; often far off.
    pub estimate_ms: u64,
    /// Label that the target must have.
    #[serde(rename = "label")]
    pub required_label: Option<Label>,
    /// Rack near the task's data.
    #[serde(rename = "rack")]
    pub preferred_rack: Option<Label>,
    /// Most tasks of the step on one target.
    #[serde(rename = "spread")]
    pub max_per_target: Option<u32>,
}

impl Requirements {
    /// Declared run time.
    #[must_use]
    pub fn estimate(&self) -> Duration {
        Duration::from_millis(self.estimate_ms.clamp(1, MAX_ESTIMATE_MS))
    }
}

/// Tasks of one shape.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What each task needs.
    pub requirements: Requirements,
    /// Earlier steps that must have ended first.
    pub after: Vec<usize>,
}

/// A job's work, checked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Passed on to targets as it is.
    pub spec: Arc<str>,
    /// The steps, each after those that it depends on.
    pub steps: Vec<Step>,
}

/// Why a job can't be taken.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum InvalidJob {
    /// The identifier has another form.
    #[display("a job's identifier has {ID_DIGITS} hexadecimal digits")]
    Id,
    /// There is nothing to run.
    #[display("a job needs a step, and a step a task")]
    Empty,
    /// Too many tasks.
    #[display("a job has at most {MAX_TASKS} tasks")]
    TooWide,
    /// A step depends on itself or a later one.
    #[display("step {step} depends on a step that does not come before it")]
    Order {
        /// Number of the step, from 0.
        step: usize,
    },
}

impl Plan {
    /// A checked plan.
    ///
    /// # Errors
    /// See [`Invalid`].
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

    /// Declared work, in thousandths of a core times seconds.
    #[must_use]
    pub fn work(&self) -> f64 {
        let work = |step: &Step| {
            let each = step.requirements.estimate().as_secs_f64()
                * step.requirements.resources.cpu_millis as f64;
            f64::from(step.count) * each
        };
        self.steps.iter().map(work).sum()
    }

    /// Number of tasks.
    #[must_use]
    pub fn task_count(&self) -> usize {
        self.steps.iter().map(|step| step.count as usize).sum()
    }

    /// Declared run time of the longest chain of steps.
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
