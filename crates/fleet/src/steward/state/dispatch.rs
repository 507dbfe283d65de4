//! Starts queued tasks, and returns to their owners those that should not wait here.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Host;

use super::Steward;
use super::change::not_run;
use super::gaps::Gaps;
use super::placer::{Placement, Placer};
use super::pool::FastPool;
use crate::crash::{Ledger, Standing};
use crate::directory::{self, Entry};
use crate::job::{Completion, End, Reservation, Resources};
use crate::lease::Attempt;
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
        self.targets.ensure(membership, speeds, now);
        self.return_infeasible((membership, speeds), now, output);
        self.sort_queue((membership, speeds), now, output);
        let Pass { starts, grant_requests } = self.place_queued((membership, speeds, crashes), now);
        let mut started = HashSet::new();
        let mut jobs = HashSet::new();
        // Free resources of the targets of this pass, as their trackers state them before the first start.
        let mut free = HashMap::new();
        for (queued, placement) in starts {
            let row = placement.row;
            let free = free.entry(row).or_insert_with(|| self.free(row, membership, now));
            if self.start(&queued, (placement, free), membership, now, output) {
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
        self.offload((membership, speeds, crashes), now, output);
    }

    /// Finds targets for the queued tasks. Exclusive tasks are to start there; for shared ones a
    /// grant is to be requested.
    fn place_queued(
        &self,
        (membership, speeds, crashes): (&Membership, &Estimator, &Ledger),
        now: Instant,
    ) -> Pass {
        let kept = self.targets.kept(membership, speeds, now);
        let pool =
            FastPool::new(&kept, &kept.capacity(false, self.mean_cpu_millis), membership, now);
        let gaps = if self.precedence.is_dense() {
            Gaps::new(self.queue.iter(), self.mean_cpu_millis)
        } else {
            Gaps::default()
        };
        let targets = (&self.targets, &*kept);
        let mut placer = Placer::new(targets, membership, (pool, gaps), self.settings, now);
        let mut pass = Pass::default();
        let mut allowance = self.suspects_allowed(&kept, now);
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
            if is_unplaced || kept.sums().is_being_stopped(&queued.task) {
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

    /// Free resources of a target by its tracker; `None` if no task may start.
    fn free(&self, row: usize, membership: &Membership, now: Instant) -> Option<Resources> {
        let tracker = self.targets.row(row);
        let Entry { name, state, zone, .. } = &tracker.entry;
        let is_usable = *state == directory::State::Ready && membership.holds(zone, name);
        tracker.available(now).filter(|_| is_usable)
    }

    /// Starts a task, unless an earlier start of this pass has extended the target's lease too far for
    /// it, or the target has changed since its values were updated. Returns whether it was started.
    fn start(
        &mut self,
        queued: &QueuedTask,
        (placement, free): (Placement, &mut Option<Resources>),
        membership: &Membership,
        now: Instant,
        output: &mut Output,
    ) -> bool {
        let Placement { target, row, expected, fastest_run, isolated } = placement;
        let owner_heard_at = membership.last_word(&queued.owner, now).unwrap_or(now);
        let silence = now.duration_since(owner_heard_at);
        let tracker = self.targets.row(row);
        let resources = &queued.requirements.resources;
        let allows_silence = tracker.max_silence(now).is_some_and(|max| silence <= max);
        let left = free.filter(|free| {
            free.covers(resources) && allows_silence && (!isolated || tracker.is_idle())
        });
        let Some(left) = left else {
            return false;
        };
        *free = (!isolated).then(|| left.saturating_sub(resources));
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
        let spec = queued.spec.clone();
        output.calls.push(
            self.targets
                .change(row, now, |tracker| tracker.start(&queued.task, spec, attempt, now)),
        );
        if let Some(starts) = &mut self.cold_starts {
            let entry = &self.targets.row(row).entry;
            starts.record(entry);
            let is_over_cold_limit = !starts.allows(entry);
            self.targets
                .change(row, now, |tracker| tracker.is_over_cold_limit = is_over_cold_limit);
            *free = free.filter(|_| !is_over_cold_limit);
        }
        true
    }

    /// Returns tasks that should not wait here. These are short tasks for which another steward may
    /// have a free slot, long tasks (the owner then queues them at several stewards), and tasks
    /// whose grant request timed out.
    fn offload(
        &mut self,
        (membership, speeds, crashes): (&Membership, &Estimator, &Ledger),
        now: Instant,
        output: &mut Output,
    ) {
        let kept = self.targets.kept(membership, speeds, now);
        let sums = kept.sums();
        let elsewhere = membership.alive().filter(|peer| peer.serves_targets());
        // Only half of the free slots are counted, since other stewards may see the same ones.
        let mut free =
            elsewhere.map(|peer| u64::from(peer.heartbeat.load.free_slots)).sum::<u64>() / 2;
        let returned = self.queue.extract(|queued| match queued.binding {
            Binding::Shared => false,
            Binding::Requested(at) => now.duration_since(at) > GRANT_TIMEOUT,
            // A target is being cleared for it here.
            Binding::Exclusive if crashes.standing(&queued.task) != Standing::Clear => false,
            Binding::Exclusive if queued.is_long(now) => !sums.is_being_stopped(&queued.task),
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
    fn return_infeasible(
        &mut self,
        (membership, speeds): (&Membership, &Estimator),
        now: Instant,
        output: &mut Output,
    ) {
        let fastest = self.targets.kept(membership, speeds, now).sums().fastest_factor();
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
pub(super) fn return_task(queued: QueuedTask, end: End, now: Instant, output: &mut Output) {
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
