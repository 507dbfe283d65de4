//! Starts what waits, and gives back what waits in vain.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Host;

use super::Steward;
use super::finding::not_run;
use super::place::{Field, Placing, fastest};
use crate::job::{Completion, End, Reservation, Task};
use crate::lease::{Attempt, Tracker};
use crate::member::Membership;
use crate::placement::LEAST;
use crate::queue::{Binding, QueuedTask};
use crate::report::Record;
use crate::speed::Estimator;
use crate::steward::Output;

/// Steps of jobs that fit nowhere after which the rest of the line is left for later.
const FITLESS: usize = 24;
/// Time after which the line is gone through again although nothing has changed but the time: a fraction of
/// the shortest usual run.
const LOOK_EVERY: Duration = Duration::from_millis(10);
/// Wait after which a task may go to another steward that has places free: some round trips between
/// zones, and about the age of what is known of the others' loads.
const SHARE_AFTER: Duration = Duration::from_millis(25);
/// Silence after which an owner that was asked is not waited for.
const ANSWER_WITHIN: Duration = Duration::from_millis(100);
/// Shortest wait after which a task is given back as late: what comes late already was sent on
/// purpose.
const LATE_AFTER: Duration = Duration::from_millis(30);

/// What one pass over the line comes to.
#[derive(Default)]
struct Round {
    starts: Vec<(QueuedTask, Placing)>,
    bids: Vec<(Host, Reservation)>,
}

impl Round {
    fn bid(&mut self, one: &QueuedTask) {
        let QueuedTask { task, generation, sequence, .. } = one;
        let reservation =
            Reservation { task: task.clone(), generation: *generation, sequence: *sequence };
        self.bids.push((one.owner.clone(), reservation));
    }
}

impl Steward {
    /// Starts what can start, asks for what stands here and could, and returns what can't end in time any
    /// more or waits here in vain.
    pub fn dispatch(
        &mut self,
        membership: &Membership,
        speeds: &Estimator,
        now: Instant,
        out: &mut Output,
    ) {
        let is_fresh = self.looked.is_some_and(|at| now.duration_since(at) < LOOK_EVERY);
        if self.line.is_empty() || is_fresh {
            return;
        }
        self.looked = Some(now);
        self.drop_hopeless(speeds, now, out);
        self.line.sort(now);
        let Round { starts, bids } = self.place_all(membership, speeds, now);
        let mut started = HashSet::new();
        let mut jobs = HashSet::new();
        for (one, placing) in starts {
            jobs.insert((one.task.job.clone(), one.generation));
            started.insert(one.task.clone());
            self.start(&one, placing, membership, now, out);
        }
        self.line.remove(&started);
        self.line.begin(&jobs);
        let asked = bids.iter().map(|(_, reservation)| reservation.task.clone()).collect();
        self.line.ask(&asked, now);
        out.bids.extend(bids);
        self.share(membership, now, out);
    }

    /// What starts now, and where, and for which tasks that stand here there are places.
    fn place_all(&self, membership: &Membership, speeds: &Estimator, now: Instant) -> Round {
        let pool =
            self.pool(&self.capacity(&self.usable(now), speeds, now), membership, speeds, now);
        let mut field = Field::new(&self.trackers, membership, speeds, pool, self.settings, now);
        let being_stopped = self.being_stopped();
        let mut sequence = Round::default();
        // What holds for one task of a step holds for the others.
        let mut fitless = HashSet::new();
        for one in self.line.iter() {
            if fitless.len() >= FITLESS {
                break;
            }
            let step = (&one.task.job, one.task.step);
            if fitless.contains(&step) || being_stopped.contains(&one.task) {
                continue;
            }
            // What is asked for keeps its place meanwhile.
            match (field.place(one), one.binding) {
                (Some(placing), Binding::Exclusive) => sequence.starts.push((one.clone(), placing)),
                (Some(_), Binding::Shared) => sequence.bid(one),
                (Some(_), Binding::Requested(_)) => {}
                (None, _) => {
                    fitless.insert(step);
                }
            }
        }
        sequence
    }

    /// Tasks of which an earlier attempt is still being stopped.
    fn being_stopped(&self) -> HashSet<&Task> {
        let attempts = self.trackers.values().flat_map(Tracker::attempts);
        attempts.filter(|(_, attempt)| attempt.cancelled).map(|(task, _)| task).collect()
    }

    fn start(
        &mut self,
        one: &QueuedTask,
        placing: Placing,
        membership: &Membership,
        now: Instant,
        out: &mut Output,
    ) {
        let Placing { target, expected, best } = placing;
        let Some(picture) = self.trackers.get_mut(&target) else {
            return;
        };
        let mut attempt = Attempt::new(
            one.owner.clone(),
            one.kind.clone(),
            one.run,
            one.requirements.resources,
            now,
        );
        attempt.generation = one.generation;
        attempt.sequence = one.sequence;
        attempt.estimate = one.requirements.estimate();
        attempt.expected = expected;
        attempt.objective = one.objective;
        attempt.deadline = one.deadline;
        attempt.owner_heard_at = membership.last_heard(&one.owner, now).unwrap_or(now);
        out.notes.push(Record::TaskStarted {
            task: one.task.clone(),
            run: one.run,
            target,
            cpu_millis: one.requirements.resources.cpu_millis,
            waited: now.duration_since(one.since),
            expected,
            fastest_run: best,
        });
        out.calls.push(picture.start(&one.task, one.spec.clone(), attempt, now));
    }

    /// Returns tasks that have waited here while another steward has places free, long work that can't start
    /// here so that it stands with several, and what an owner is silent about.
    fn share(&mut self, membership: &Membership, now: Instant, out: &mut Output) {
        let being_stopped: HashSet<Task> = self.being_stopped().into_iter().cloned().collect();
        let elsewhere = membership.alive().filter(|peer| !peer.heartbeat.claims.is_empty());
        // Others may see the same places.
        let mut free =
            elsewhere.map(|peer| u64::from(peer.heartbeat.load.free_slots)).sum::<u64>() / 2;
        let shared = self.line.take(|one| match one.binding {
            Binding::Shared => false,
            Binding::Requested(at) => now.duration_since(at) > ANSWER_WITHIN,
            Binding::Exclusive if one.is_long(now) => !being_stopped.contains(&one.task),
            Binding::Exclusive => {
                let goes = now.duration_since(one.since) > SHARE_AFTER && free > 0;
                free -= u64::from(goes);
                goes
            }
        });
        for one in shared {
            let is_long = one.is_own() && one.is_long(now);
            give_back(one, if is_long { End::NoFastTarget } else { End::NotRun }, now, out);
        }
    }

    /// Returns tasks that would end after their caller has gone even on the fastest target, and
    /// those of jobs that have waited until they are late and of which nothing has started.
    fn drop_hopeless(&mut self, speeds: &Estimator, now: Instant, out: &mut Output) {
        let fastest = fastest(&self.trackers, speeds, now);
        let end = |one: &QueuedTask| {
            let chance = one.chance(one.typical.mul_f64(fastest), Duration::ZERO, now);
            let waited = now.duration_since(one.since) > LATE_AFTER;
            match (chance < LEAST, !one.started && one.is_late(now) && waited) {
                (true, _) => Some(End::OutOfTime),
                (false, true) => Some(End::TooLate),
                (false, false) => None,
            }
        };
        for one in self.line.take(|one| end(one).is_some()) {
            let why = end(&one).unwrap_or(End::TooLate);
            give_back(one, why, now, out);
        }
    }
}

/// Returns a task that waited to its owner.
fn give_back(one: QueuedTask, end: End, now: Instant, out: &mut Output) {
    out.notes.push(Record::TaskReturned {
        task: one.task.clone(),
        end,
        waited: now.duration_since(one.since),
        fastest_run: one.quickest,
        remaining: one.deadline.saturating_duration_since(now),
    });
    let (owner, completion) = not_run(one);
    out.completions.push((owner, Completion { end, ..completion }));
}
