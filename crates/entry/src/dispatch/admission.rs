//! Admission: whether a job is accepted, given its predicted completion time.

use std::time::Duration;

use coltsfootshunt_core::answer::Refusal;

/// Factor on predicted waiting times. It is above 1 because a missed deadline is worse for a
/// caller than an immediate refusal.
const WAIT_SAFETY_FACTOR: f64 = 1.15;

/// Work of the job to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// The caller's timeout for the complete answer.
    pub timeout: Duration,
    /// Number of tasks.
    pub tasks: usize,
    /// Mean run time of one task.
    pub mean_run: Duration,
    /// Run time that the longest of the tasks will most likely not exceed.
    pub longest_run: Duration,
}

/// Slots available to this entry, and the work already waiting for them.
#[derive(Clone, Copy, Debug)]
pub struct Supply {
    /// Slots that waiting tasks can count on.
    pub slots: u32,
    /// Number of these slots that are free now.
    pub free_slots: u32,
    /// Sum of the expected run times of all waiting tasks.
    pub queued_work: Duration,
    /// Number of waiting tasks.
    pub queued_tasks: usize,
}

/// Accepts or refuses jobs.
pub trait Admission: Send {
    /// Predicts the time to the complete answer.
    ///
    /// # Errors
    /// [`Refusal::Late`] if the predicted time exceeds the timeout, [`Refusal::Full`] if the queue
    /// is full.
    fn admit(&self, demand: &Demand, supply: &Supply) -> Result<Duration, Refusal>;
}

/// Limit on the length of the queue.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Most tasks waiting at once.
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

/// Accepts jobs that are predicted to complete before their timeout.
#[derive(Clone, Copy, Debug, Default)]
pub struct Predicted {
    /// Limit on the queue.
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

/// Accepts every job that fits into the queue. This is the baseline for comparisons.
#[derive(Clone, Copy, Debug, Default)]
pub struct Everything {
    /// Limit on the queue.
    pub limit: Limit,
}

impl Admission for Everything {
    fn admit(&self, demand: &Demand, supply: &Supply) -> Result<Duration, Refusal> {
        self.limit.check(demand, supply)?;
        Ok(predict(demand, supply))
    }
}

/// Predicts the time until the tasks already waiting have drained and the job itself has run.
fn predict(demand: &Demand, supply: &Supply) -> Duration {
    let slots = f64::from(supply.slots.max(1));
    let tasks = demand.tasks as f64;
    let surplus = (tasks - f64::from(supply.free_slots)).max(0.0);
    let queue_wait = supply.queued_work.as_secs_f64() / slots;
    let own_wait = surplus * demand.mean_run.as_secs_f64() / slots;
    Duration::from_secs_f64((queue_wait + own_wait) * WAIT_SAFETY_FACTOR) + demand.longest_run
}
