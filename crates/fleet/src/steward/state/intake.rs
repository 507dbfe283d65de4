//! Takes tasks in from their owners, or gives them back as they came.

use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Host;

use super::Steward;
use super::finding::not_run;
use super::place::{fastest, usual};
use crate::job::{Bundle, End, Ending, Part, Task};
use crate::member::Membership;
use crate::queue::{Hold, Waiting};
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
    pub fn accept(
        &mut self,
        owner: &Host,
        bundle: Bundle,
        (membership, speeds): (&Membership, &Estimator),
        now: Instant,
        out: &mut Output,
    ) {
        self.looked = None;
        self.displace(owner, &bundle, out);
        let job = bundle.job.clone();
        let begun = bundle.begun;
        let tasks = self.waiting_tasks(owner, bundle, speeds, now);
        let crowd = if begun { None } else { self.crowd(&tasks, membership, speeds, now) };
        let Some((wait, slack)) = crowd else {
            tasks.into_iter().for_each(|one| self.line.push(one));
            return;
        };
        out.notes.push(Record::JobReturned { job, tasks: tasks.len(), wait, slack });
        for one in tasks {
            let (owner, ending) = not_run(one);
            out.endings.push((owner, Ending { end: End::Crowded, ..ending }));
        }
    }

    fn waiting_tasks(
        &mut self,
        owner: &Host,
        bundle: Bundle,
        speeds: &Estimator,
        now: Instant,
    ) -> Vec<Waiting> {
        let objective = shift(now, bundle.objective_in_ms);
        let due = shift(now, bundle.due_in_ms);
        let fastest = fastest(&self.pictures, speeds, now);
        let usual = usual(&self.pictures, speeds, now);
        let mut tasks = Vec::with_capacity(bundle.parts.len());
        for part in bundle.parts {
            let task = Task { job: bundle.job.clone(), step: part.step, index: part.index };
            let millis = part.need.room.cpu_millis as f64;
            let mean = self.typical.get_or_insert(millis);
            *mean += (millis - *mean) * TYPICAL_WEIGHT;
            let forecast = speeds.forecast(&bundle.kind, part.need.estimate());
            tasks.push(Waiting {
                task,
                owner: owner.clone(),
                opening: bundle.opening,
                kind: bundle.kind.clone(),
                service: bundle.service.clone(),
                priority: bundle.priority,
                run: part.run,
                round: part.round,
                typical: forecast.median,
                usual: forecast.scaled(usual).median,
                quickest: forecast.scaled(fastest).median,
                deviation: forecast.deviation,
                width: bundle.width,
                begun: bundle.begun,
                need: part.need,
                spec: bundle.spec.clone(),
                objective,
                due,
                since: now,
                hold: if bundle.standing { Hold::Shared } else { Hold::Own },
            });
        }
        tasks
    }

    /// Takes a job's tasks from an earlier opening, or from an earlier message of the same one.
    fn displace(&mut self, owner: &Host, bundle: &Bundle, out: &mut Output) {
        let is_part = |one: &Waiting| {
            let same = |part: &Part| (part.step, part.index) == (one.task.step, one.task.index);
            one.task.job == bundle.job && bundle.parts.iter().any(same)
        };
        let again = |one: &Waiting| one.owner == *owner && one.opening == bundle.opening;
        self.line.take(|one| again(one) && is_part(one));
        let other = |at: &Host, opening: u64| at != owner || opening != bundle.opening;
        for one in
            self.line.take(|one| one.task.job == bundle.job && other(&one.owner, one.opening))
        {
            let (owner, ending) = not_run(one);
            out.endings.push((owner, Ending { end: End::Adrift, ..ending }));
        }
        for picture in self.pictures.values_mut() {
            picture.cancel_where(|task, attempt| {
                task.job == bundle.job && other(&attempt.owner, attempt.generation)
            });
        }
    }
}

/// `now`, later or earlier by some milliseconds.
fn shift(now: Instant, by_ms: i64) -> Instant {
    let by = Duration::from_millis(by_ms.unsigned_abs());
    if by_ms >= 0 { now + by } else { now.checked_sub(by).unwrap_or(now) }
}
