//! Takes tasks in from their owners, or gives them back as they came.

use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Host;

use super::Steward;
use super::finding::not_run;
use super::place::{fastest, usual};
use crate::job::{Assignment, Completion, End, Item, Task};
use crate::member::Membership;
use crate::queue::{Binding, QueuedTask};
use crate::report::Record;
use crate::speed::Estimator;
use crate::steward::Output;

/// Weight of one task in the running mean of what a task takes.
const TYPICAL_WEIGHT: f64 = 0.02;

impl Steward {
    /// Takes tasks in for their owner.
    ///
    /// A caller's repeat may bring a task here through another owner while the first one still has
    /// it here: the repeat takes its place.
    pub fn enqueue(
        &mut self,
        owner: &Host,
        assignment: Assignment,
        (membership, speeds): (&Membership, &Estimator),
        now: Instant,
        out: &mut Output,
    ) {
        self.looked = None;
        self.displace(owner, &assignment, out);
        let job = assignment.job.clone();
        let started = assignment.started;
        let tasks = self.waiting_tasks(owner, assignment, speeds, now);
        let crowd = if started { None } else { self.crowd(&tasks, membership, speeds, now) };
        let Some((wait, slack)) = crowd else {
            tasks.into_iter().for_each(|one| self.line.push(one));
            return;
        };
        out.notes.push(Record::JobReturned { job, tasks: tasks.len(), wait, slack });
        for one in tasks {
            let (owner, completion) = not_run(one);
            out.completions.push((owner, Completion { end: End::Overloaded, ..completion }));
        }
    }

    fn waiting_tasks(
        &mut self,
        owner: &Host,
        assignment: Assignment,
        speeds: &Estimator,
        now: Instant,
    ) -> Vec<QueuedTask> {
        let objective = shift(now, assignment.objective_in_ms);
        let deadline = shift(now, assignment.deadline_in_ms);
        let fastest = fastest(&self.trackers, speeds, now);
        let usual = usual(&self.trackers, speeds, now);
        let mut tasks = Vec::with_capacity(assignment.tasks.len());
        for part in assignment.tasks {
            let task = Task { job: assignment.job.clone(), step: part.step, index: part.index };
            let millis = part.requirements.resources.cpu_millis as f64;
            let mean = self.typical.get_or_insert(millis);
            *mean += (millis - *mean) * TYPICAL_WEIGHT;
            let forecast = speeds.forecast(&assignment.kind, part.requirements.estimate());
            tasks.push(QueuedTask {
                task,
                owner: owner.clone(),
                generation: assignment.generation,
                kind: assignment.kind.clone(),
                service: assignment.service.clone(),
                priority: assignment.priority,
                run: part.run,
                sequence: part.sequence,
                typical: forecast.median,
                usual: forecast.scaled(usual).median,
                quickest: forecast.scaled(fastest).median,
                deviation: forecast.deviation,
                width: assignment.width,
                started: assignment.started,
                requirements: part.requirements,
                spec: assignment.spec.clone(),
                objective,
                deadline,
                since: now,
                binding: if assignment.shared { Binding::Shared } else { Binding::Exclusive },
            });
        }
        tasks
    }

    /// Takes a job's tasks from an earlier opening, or from an earlier message of the same one.
    fn displace(&mut self, owner: &Host, assignment: &Assignment, out: &mut Output) {
        let is_part = |one: &QueuedTask| {
            let same = |part: &Item| (part.step, part.index) == (one.task.step, one.task.index);
            one.task.job == assignment.job && assignment.tasks.iter().any(same)
        };
        let again =
            |one: &QueuedTask| one.owner == *owner && one.generation == assignment.generation;
        self.line.take(|one| again(one) && is_part(one));
        let other = |at: &Host, generation: u64| at != owner || generation != assignment.generation;
        for one in self
            .line
            .take(|one| one.task.job == assignment.job && other(&one.owner, one.generation))
        {
            let (owner, completion) = not_run(one);
            out.completions.push((owner, Completion { end: End::Unresolved, ..completion }));
        }
        for picture in self.trackers.values_mut() {
            picture.cancel_where(|task, attempt| {
                task.job == assignment.job && other(&attempt.owner, attempt.generation)
            });
        }
    }
}

/// `now`, later or earlier by some milliseconds.
fn shift(now: Instant, by_ms: i64) -> Instant {
    let by = Duration::from_millis(by_ms.unsigned_abs());
    if by_ms >= 0 { now + by } else { now.checked_sub(by).unwrap_or(now) }
}
