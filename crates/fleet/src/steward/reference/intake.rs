//! Queues tasks that arrive from owners, or returns them at once.

use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Host;

use super::Steward;
use super::change::not_run;
use super::placer::{fastest_factor, median_factor};
use crate::job::{Assignment, Completion, End, Item, Task};
use crate::member::Membership;
use crate::queue::{Binding, QueuedTask};
use crate::report::Record;
use crate::speed::Estimator;
use crate::steward::Output;

/// Weight of one task in the moving average of a task's CPU.
const CPU_MEAN_WEIGHT: f64 = 0.02;

impl Steward {
    /// Queues the tasks of an assignment, or returns all of them as overloaded if the job would be
    /// late here and has not started.
    ///
    /// A caller's repeat may bring a task through another owner while the first owner still has it
    /// here. The repeat then replaces it.
    pub fn enqueue(
        &mut self,
        owner: &Host,
        assignment: Assignment,
        (membership, speeds): (&Membership, &Estimator),
        now: Instant,
        output: &mut Output,
    ) {
        self.last_pass_at = None;
        self.remove_superseded(owner, &assignment, output);
        let job = assignment.job.clone();
        let started = assignment.started;
        let tasks = self.queued_tasks(owner, assignment, speeds, now);
        let overload = if started { None } else { self.overload(&tasks, membership, speeds, now) };
        let Some((wait, slack)) = overload else {
            tasks.into_iter().for_each(|queued| self.queue.push(queued));
            return;
        };
        output.records.push(Record::JobReturned { job, tasks: tasks.len(), wait, slack });
        for queued in tasks {
            let (owner, completion) = not_run(queued);
            output.completions.push((owner, Completion { end: End::Overloaded, ..completion }));
        }
    }

    fn queued_tasks(
        &mut self,
        owner: &Host,
        assignment: Assignment,
        speeds: &Estimator,
        now: Instant,
    ) -> Vec<QueuedTask> {
        let objective = offset(now, assignment.objective_in_ms);
        let deadline = offset(now, assignment.deadline_in_ms);
        let fastest = fastest_factor(&self.trackers, speeds, now);
        let median = median_factor(&self.trackers, speeds, now);
        let mut tasks = Vec::with_capacity(assignment.tasks.len());
        for item in assignment.tasks {
            let task = Task { job: assignment.job.clone(), step: item.step, index: item.index };
            let millis = item.requirements.resources.cpu_millis as f64;
            let mean = self.mean_cpu_millis.get_or_insert(millis);
            *mean += (millis - *mean) * CPU_MEAN_WEIGHT;
            let forecast = speeds.forecast(&assignment.kind, item.requirements.estimate());
            tasks.push(QueuedTask {
                is_excess: false,
                task,
                owner: owner.clone(),
                generation: assignment.generation,
                kind: assignment.kind.clone(),
                service: assignment.service.clone(),
                priority: assignment.priority,
                run: item.run,
                sequence: item.sequence,
                average_run: forecast.median,
                median_run: forecast.scaled(median).median,
                fastest_run: forecast.scaled(fastest).median,
                deviation: forecast.deviation,
                width: assignment.width,
                job_started: assignment.started,
                requirements: item.requirements,
                spec: assignment.spec.clone(),
                objective,
                deadline,
                queued_at: now,
                binding: if assignment.shared { Binding::Shared } else { Binding::Exclusive },
            });
        }
        tasks
    }

    /// Removes the tasks that an assignment replaces: those of the job's other owners and
    /// generations, and those of earlier messages.
    fn remove_superseded(&mut self, owner: &Host, assignment: &Assignment, output: &mut Output) {
        let is_replaced = |queued: &QueuedTask| {
            let same =
                |item: &Item| (item.step, item.index) == (queued.task.step, queued.task.index);
            queued.task.job == assignment.job && assignment.tasks.iter().any(same)
        };
        let same_generation = |queued: &QueuedTask| {
            queued.owner == *owner && queued.generation == assignment.generation
        };
        self.queue.extract(|queued| same_generation(queued) && is_replaced(queued));
        let is_other =
            |at: &Host, generation: u64| at != owner || generation != assignment.generation;
        for queued in self.queue.extract(|queued| {
            queued.task.job == assignment.job && is_other(&queued.owner, queued.generation)
        }) {
            let (owner, completion) = not_run(queued);
            output.completions.push((owner, Completion { end: End::Unresolved, ..completion }));
        }
        for tracker in self.trackers.values_mut() {
            tracker.cancel_where(|task, attempt| {
                task.job == assignment.job && is_other(&attempt.owner, attempt.generation)
            });
        }
    }
}

/// Adds a signed number of milliseconds to `now`.
fn offset(now: Instant, by_ms: i64) -> Instant {
    let by = Duration::from_millis(by_ms.unsigned_abs());
    if by_ms >= 0 { now + by } else { now.checked_sub(by).unwrap_or(now) }
}
