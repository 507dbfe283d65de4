//! Admission: whether a job is let in, by its predicted finish.

use std::time::Duration;

use coltsfootshunt_core::answer::Refusal;

/// Factor on predicted waits: a broken promise costs more than a refusal at once.
const HEADROOM: f64 = 1.15;

/// What a job asks for.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Time allowed to the whole answer.
    pub timeout: Duration,
    /// Number of tasks.
    pub tasks: usize,
    /// Mean run time of one task.
    pub mean_run: Duration,
    /// Run time that the longest of the tasks most likely stays under.
    pub longest_run: Duration,
}

/// What there is to serve it.
#[derive(Clone, Copy, Debug)]
pub struct Supply {
    /// Slots that this entry's work can count on.
    pub slots: u32,
    /// Slots of those that are free now.
    pub free_slots: u32,
    /// Run time of all tasks that wait.
    pub queued_work: Duration,
    /// Number of tasks that wait.
    pub queued_tasks: usize,
}

/// Lets jobs in or refuses them.
pub trait Admission: Send {
    /// Predicted time to the whole answer.
    ///
    /// # Errors
    /// [`Refusal::Late`] where that is over the deadline, [`Refusal::Full`] where the queue is.
    fn admit(&self, demand: &Demand, supply: &Supply) -> Result<Duration, Refusal>;
}

/// Bound of the queue.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Most waiting tasks.
    pub max_tasks: usize,
}

impl Default for Limit {
    fn default() -> Self {
        Self { max_tasks: 200_000 }
    }
}

impl Limit {
    fn check(self, demand: &Demand, supply: &Supply) -> Result<(), Refusal> {
        if supply.queued_tasks + demand.tasks > self.max_tasks {
            Err(Refusal::Full)
        } else {
            Ok(())
        }
    }
}

/// By predicted finish.
#[derive(Clone, Copy, Debug, Default)]
pub struct Predicted {
    /// Bound of the queue.
    pub limit: Limit,
}

impl Admission for Predicted {
    fn admit(&self, demand: &Demand, supply: &Supply) -> Result<Duration, Refusal> {
        self.limit.check(demand, supply)?;
        let predicted = predict(demand, supply);
        if predicted > demand.timeout {
            let predicted_ms = u64::try_from(predicted.as_millis()).unwrap_or(u64::MAX);
            return Err(Refusal::Late { predicted_ms });
        }
        Ok(predicted)
    }
}

/// All that fits the queue; the baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct Everything {
    /// Bound of the queue.
    pub limit: Limit,
}

impl Admission for Everything {
    fn admit(&self, demand: &Demand, supply: &Supply) -> Result<Duration, Refusal> {
        self.limit.check(demand, supply)?;
        Ok(predict(demand, supply))
    }
}

/// Time for the queue to drain to this job, then for the job itself.
fn predict(demand: &Demand, supply: &Supply) -> Duration {
    let slots = f64::from(supply.slots.max(1));
    let tasks = demand.tasks as f64;
    let surplus = (tasks - f64::from(supply.free_slots)).max(0.0);
    let wait = supply.queued_work.as_secs_f64() / slots;
    let spread = surplus * demand.mean_run.as_secs_f64() / slots;
    Duration::from_secs_f64((wait + spread) * HEADROOM) + demand.longest_run
}
