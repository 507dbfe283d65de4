//! Starts queued tasks, and returns to their owners those that should not wait here.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Host;

use super::Steward;
use super::change::not_run;
use super::placer::{Placement, Placer, fastest_factor};
use crate::crash::{Ledger, Standing};
use crate::job::{Completion, End, Reservation, Task};
use crate::lease::{Attempt, Tracker};
use crate::member::Membership;
use crate::placement::MIN_PROBABILITY;
use crate::queue::{Binding, QueuedTask};
use crate::report::Record;
use crate::speed::Estimator;
use crate::steward::Output;

/// A pass over the queue ends when it has found no target for this many steps.
const MAX_UNPLACED_STEPS: usize = 24;
/// Time between passes over the queue while nothing changes: a fraction of the shortest usual run.
const PASS_INTERVAL: Duration = Duration::from_millis(10);
/// Wait after which a task may go to another steward with free slots. It covers a few round trips
/// between zones and is about the age of the load reports of other stewards.
const OFFLOAD_AFTER: Duration = Duration::from_millis(25);
/// How long a requested grant is waited for before the task is returned.
const GRANT_TIMEOUT: Duration = Duration::from_millis(100);
/// Shortest wait after which a task is returned as late. Tasks that arrive late were sent on
/// purpose and get this long to start.
const LATE_RETURN_AFTER: Duration = Duration::from_millis(30);

/// Result of one pass over the queue.
#[derive(Default)]
struct Pass {
    starts: Vec<(QueuedTask, Placement)>,
    grant_requests: Vec<(Host, Reservation)>,
}

impl Pass {
    fn request_grant(&mut self, queued: &QueuedTask) {
        let QueuedTask { task, generation, sequence, .. } = queued;
        let reservation =
            Reservation { task: task.clone(), generation: *generation, sequence: *sequence };
        self.grant_requests.push((queued.owner.clone(), reservation));
    }
}

impl Steward {
    /// Starts the queued tasks that can start, requests grants for shared tasks that could, and
    /// returns tasks that can no longer end in time or should wait elsewhere.
    pub fn dispatch(
        &mut self,
        (membership, speeds, crashes): (&Membership, &Estimator, &Ledger),
        now: Instant,
        output: &mut Output,
    ) {
        let is_recent = self.last_pass_at.is_some_and(|at| now.duration_since(at) < PASS_INTERVAL);
        if self.queue.is_empty() || is_recent {
            return;
        }
        self.last_pass_at = Some(now);
        self.return_infeasible(speeds, now, output);
        self.queue.sort(now);
        let Pass { starts, grant_requests } = self.place_queued((membership, speeds, crashes), now);
        let mut started = HashSet::new();
        let mut jobs = HashSet::new();
        for (queued, placement) in starts {
            if self.start(&queued, placement, membership, now, output) {
                jobs.insert((queued.task.job.clone(), queued.generation));
                started.insert(queued.task.clone());
            }
        }
        self.queue.remove(&started);
        self.queue.mark_started(&jobs);
        let requested =
            grant_requests.iter().map(|(_, reservation)| reservation.task.clone()).collect();
        self.queue.mark_requested(&requested, now);
        output.grant_requests.extend(grant_requests);
        self.offload(membership, crashes, now, output);
    }

    /// Finds targets for the queued tasks. Exclusive tasks are to start there; for shared ones a
    /// grant is to be requested.
    fn place_queued(
        &self,
        (membership, speeds, crashes): (&Membership, &Estimator, &Ledger),
        now: Instant,
    ) -> Pass {
        let pool =
            self.pool(&self.capacity(&self.usable(now), speeds, now), membership, speeds, now);
        let mut placer = Placer::new(&self.trackers, membership, speeds, pool, self.settings, now);
        let being_stopped = self.being_stopped();
        let mut pass = Pass::default();
        let mut allowance = self.suspects_allowed(now);
        // All tasks of a step have the same requirements, so one failure holds for the rest, but for those
        // that must run alone.
        let mut unplaced = HashSet::new();
        let mut blocked = HashSet::new();
        for queued in self.queue.iter() {
            if unplaced.len() >= MAX_UNPLACED_STEPS {
                break;
            }
            let isolated = match crashes.standing(&queued.task) {
                Standing::Clear => false,
                Standing::Suspect if allowance > 0 => true,
                Standing::Suspect | Standing::Pending | Standing::Poison => continue,
            };
            let step = (&queued.task.job, queued.task.step, isolated);
            let is_unplaced = unplaced.contains(&step) || blocked.contains(&step);
            if is_unplaced || being_stopped.contains(&queued.task) {
                continue;
            }
            // A task whose grant is pending keeps its slot occupied in this pass.
            let placement = placer.place(queued, isolated);
            if isolated && placement.is_some() {
                allowance -= 1;
            }
            match (placement, queued.binding) {
                (Some(placement), Binding::Exclusive) => {
                    pass.starts.push((queued.clone(), placement))
                }
                (Some(_), Binding::Shared) => pass.request_grant(queued),
                (Some(_), Binding::Requested(_)) => {}
                // Tasks of a silent owner must not end the pass for those of others.
                (None, _) if placer.is_owner_silent(queued) => {
                    blocked.insert(step);
                }
                (None, _) => {
                    unplaced.insert(step);
                }
            }
        }
        pass
    }

    /// Tasks of which an earlier attempt is still being stopped.
    fn being_stopped(&self) -> HashSet<&Task> {
        let attempts = self.trackers.values().flat_map(Tracker::attempts);
        attempts.filter(|(_, attempt)| attempt.cancelled).map(|(task, _)| task).collect()
    }

    /// Starts a task, unless an earlier start of this pass has extended the target's lease too far for
    /// it. Returns whether it was started.
    fn start(
        &mut self,
        queued: &QueuedTask,
        placement: Placement,
        membership: &Membership,
        now: Instant,
        output: &mut Output,
    ) -> bool {
        let Placement { target, expected, fastest_run, isolated } = placement;
        let owner_heard_at = membership.last_word(&queued.owner, now).unwrap_or(now);
        let silence = now.duration_since(owner_heard_at);
        let is_heard =
            |tracker: &&mut Tracker| tracker.max_silence(now).is_some_and(|max| silence <= max);
        let Some(tracker) = self.trackers.get_mut(&target).filter(is_heard) else {
            return false;
        };
        let mut attempt = Attempt::new(
            queued.owner.clone(),
            queued.kind.clone(),
            queued.run,
            queued.requirements.resources,
            now,
        );
        attempt.generation = queued.generation;
        attempt.sequence = queued.sequence;
        attempt.estimate = queued.requirements.estimate();
        attempt.expected = expected;
        attempt.objective = queued.objective;
        attempt.deadline = queued.deadline;
        attempt.owner_heard_at = owner_heard_at;
        attempt.isolated = isolated;
        output.records.push(Record::TaskStarted {
            task: queued.task.clone(),
            run: queued.run,
            target,
            cpu_millis: queued.requirements.resources.cpu_millis,
            waited: now.duration_since(queued.queued_at),
            expected,
            fastest_run,
            isolated,
        });
        output.calls.push(tracker.start(&queued.task, queued.spec.clone(), attempt, now));
        true
    }

    /// Returns tasks that should not wait here. These are short tasks for which another steward may
    /// have a free slot, long tasks (the owner then queues them at several stewards), and tasks
    /// whose grant request timed out.
    fn offload(
        &mut self,
        membership: &Membership,
        crashes: &Ledger,
        now: Instant,
        output: &mut Output,
    ) {
        let being_stopped: HashSet<Task> = self.being_stopped().into_iter().cloned().collect();
        let elsewhere = membership.alive().filter(|peer| peer.serves_targets());
        // Only half of the free slots are counted, since other stewards may see the same ones.
        let mut free =
            elsewhere.map(|peer| u64::from(peer.heartbeat.load.free_slots)).sum::<u64>() / 2;
        let returned = self.queue.extract(|queued| match queued.binding {
            Binding::Shared => false,
            Binding::Requested(at) => now.duration_since(at) > GRANT_TIMEOUT,
            // A target is being cleared for it here.
            Binding::Exclusive if crashes.standing(&queued.task) != Standing::Clear => false,
            Binding::Exclusive if queued.is_long(now) => !being_stopped.contains(&queued.task),
            Binding::Exclusive => {
                let offloads = now.duration_since(queued.queued_at) > OFFLOAD_AFTER && free > 0;
                free -= u64::from(offloads);
                offloads
            }
        });
        for queued in returned {
            let is_long = queued.is_exclusive() && queued.is_long(now);
            return_task(queued, if is_long { End::NoFastTarget } else { End::NotRun }, now, output);
        }
    }

    /// Returns tasks that would end after the caller's deadline even on the fastest target, and
    /// tasks of jobs that have waited until they are late without a start.
    fn return_infeasible(&mut self, speeds: &Estimator, now: Instant, output: &mut Output) {
        let fastest = fastest_factor(&self.trackers, speeds, now);
        let end = |queued: &QueuedTask| {
            let probability = queued.probability_in_time(
                queued.average_run.mul_f64(fastest),
                Duration::ZERO,
                now,
            );
            let waited = now.duration_since(queued.queued_at) > LATE_RETURN_AFTER;
            match (
                probability < MIN_PROBABILITY,
                !queued.job_started && queued.is_late(now) && waited,
            ) {
                (true, _) => Some(End::OutOfTime),
                (false, true) => Some(End::TooLate),
                (false, false) => None,
            }
        };
        for queued in self.queue.extract(|queued| end(queued).is_some()) {
            let end = end(&queued).unwrap_or(End::TooLate);
            return_task(queued, end, now, output);
        }
    }
}

/// Returns a queued task to its owner.
fn return_task(queued: QueuedTask, end: End, now: Instant, output: &mut Output) {
    output.records.push(Record::TaskReturned {
        task: queued.task.clone(),
        end,
        waited: now.duration_since(queued.queued_at),
        fastest_run: queued.fastest_run,
        remaining: queued.deadline.saturating_duration_since(now),
    });
    let (owner, completion) = not_run(queued);
    output.completions.push((owner, Completion { end, ..completion }));
}
