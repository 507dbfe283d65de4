//! State of a steward and its entry points.

mod change;
mod closed;
mod dispatch;
mod gaps;
mod intake;
mod load;
mod overdue;
mod placer;
mod pool;
mod precedence;
mod suspects;
mod targets;

use std::collections::BTreeSet;
use std::time::{Instant, SystemTime};

use coltsfootshunt_core::name::{Host, Target, Zone};

use super::{Output, Settings};
use crate::directory::{self, Entry};
use crate::evacuation;
use crate::job::{Completion, End, Grant, Id, Reservation};
use crate::lease::{Attempt, Call, Change, Evidence, Issuer, Order, Phase, Response, Tracker};
use crate::member::Membership;
use crate::precedence::Policy;
use crate::queue::Queue;
use crate::report::Record;
use crate::speed::Estimator;

use change::{completion, loss, not_run, record, update_speeds};
use overdue::is_hung;
use suspects::Suspects;
use targets::Targets;

/// An attempt is recalled, to run elsewhere, only if more than this share of its expected run time
/// is left before its deadline. The share is below 1 because predictions are medians.
const RECALL_RUN_SHARE: f64 = 0.6;

/// The targets that a host gives orders to, and the queue of tasks for them.
#[derive(Debug)]
pub struct Steward {
    settings: Settings,
    targets: Targets,
    queue: Queue,
    /// Moving average of a task's CPU, in thousandths of a core; `None` before the first task.
    mean_cpu_millis: Option<f64>,
    suspects: Suspects,
    precedence: Policy,
    /// Time of the last pass over the queue; `None` if something has changed since.
    last_pass_at: Option<Instant>,
    /// Zones in which nothing starts.
    evacuated: BTreeSet<Zone>,
    /// Starts on cold targets; none if these are not limited.
    cold_starts: Option<evacuation::Starts>,
}

impl Steward {
    /// Creates a steward with no targets and an empty queue.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            targets: Targets::default(),
            queue: Queue::default(),
            mean_cpu_millis: None,
            suspects: Suspects::default(),
            precedence: Policy::default(),
            last_pass_at: None,
            evacuated: BTreeSet::new(),
            cold_starts: None,
        }
    }

    /// Whether the queue is empty and all targets are idle.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.targets.iter().all(Tracker::is_idle)
    }

    /// All targets, by name.
    pub fn trackers(&self) -> impl Iterator<Item = &Tracker> {
        self.targets.iter()
    }

    /// The state of a target to which this host gives orders, if it does.
    #[must_use]
    pub fn tracker(&self, target: &Target) -> Option<&Tracker> {
        self.targets.find(target).map(|row| self.targets.row(row))
    }

    /// Whether this host gives orders to a target.
    #[must_use]
    pub fn has_target(&self, target: &Target) -> bool {
        self.targets.find(target).is_some()
    }

    /// Owners of queued and running tasks, some of them repeatedly. The owner of a cancelled task no longer
    /// waits for it.
    pub fn owners(&self) -> impl Iterator<Item = Host> {
        let queued = self.queue.iter().map(|queued| queued.owner.clone());
        queued.chain(self.targets.owners())
    }

    /// Number of queued tasks.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Targets that still run tasks and that this host does not hold.
    #[must_use]
    pub fn busy_unclaimed(&self, membership: &Membership) -> Vec<Target> {
        let is_busy_unclaimed =
            |tracker: &&Tracker| !is_held(tracker, membership) && !tracker.is_idle();
        self.targets
            .iter()
            .filter(is_busy_unclaimed)
            .map(|tracker| tracker.entry.name.clone())
            .collect()
    }

    /// Adds the directory's targets that this host holds and removes all others. A target with running
    /// tasks is kept until it is idle.
    pub fn sync(
        &mut self,
        directory: &directory::Directory,
        membership: &Membership,
        now: Instant,
    ) {
        self.targets.sync(directory, membership, self.settings.term, now);
        self.update_closed();
    }

    /// Cancels one generation of a job: its queued tasks are removed, and its attempts are stopped.
    pub fn cancel(&mut self, owner: &Host, job: &Id, generation: u64) {
        self.last_pass_at = None;
        self.queue.cancel(owner, job, generation);
        self.targets.cancel_job(job, |_, attempt| {
            attempt.owner == *owner && attempt.generation == generation
        });
    }

    /// Cancels a job, whoever owns it. Returns whether it has tasks here.
    pub fn cancel_job(&mut self, job: &Id) -> bool {
        let queued = self.queue.extract(|queued| queued.task.job == *job);
        let has_attempts = self.targets.cancel_job(job, |_, _| true);
        if has_attempts || !queued.is_empty() {
            self.last_pass_at = None;
        }
        has_attempts || !queued.is_empty()
    }

    /// Applies an owner's grants. Grants for tasks that are no longer queued here are returned as
    /// not run.
    pub fn apply_grants(
        &mut self,
        owner: &Host,
        grants: &[Grant],
        now: Instant,
        output: &mut Output,
    ) {
        self.last_pass_at = None;
        for grant in grants {
            let Grant { task, generation, sequence, run, .. } = grant.clone();
            if let Some(after) = self.queue.grant(owner, grant, now) {
                output.records.push(Record::TaskGranted { task, after });
                continue;
            }
            let run = run.saturating_sub(1);
            let completion = Completion { task, generation, run, sequence, end: End::NotRun };
            output.completions.push((owner.clone(), completion));
        }
    }

    /// Removes shared tasks that the owner has granted to other stewards.
    pub fn withdraw(&mut self, owner: &Host, reservations: &[Reservation]) {
        self.last_pass_at = None;
        self.queue.withdraw(owner, reservations);
    }

    /// Cancels all tasks of an owner. Returns its jobs of which attempts may run.
    pub fn drop_owner(&mut self, owner: &Host) -> BTreeSet<Id> {
        self.last_pass_at = None;
        self.queue.extract(|queued| queued.owner == *owner);
        self.targets.cancel_owner(owner).into_iter().collect()
    }

    /// Whether a cancelled attempt of a job may run here.
    #[must_use]
    pub fn has_cancelled(&self, job: &Id) -> bool {
        self.targets.has_cancelled(job)
    }

    /// Claims the held targets again, because another process may use the tokens of this one. All others get no
    /// new tasks and are left to their new steward.
    pub fn void_tokens(&mut self, membership: &Membership) {
        let trackers = self.targets.change_all();
        let held = trackers.filter(|tracker| is_held(tracker, membership));
        held.for_each(Tracker::void_token);
    }

    /// Releases all targets and empties the queue after this process was paused, since other
    /// stewards may have claimed the targets.
    pub fn release_targets(&mut self, output: &mut Output) {
        for tracker in self.targets.change_all() {
            let mut changes = Vec::new();
            tracker.release(End::Unresolved, Evidence::Paused, &mut changes);
            output.losses.extend(changes.iter().filter_map(|change| loss(&tracker.entry, change)));
            output.completions.extend(changes.into_iter().filter_map(completion));
        }
        self.return_queued(output);
    }

    /// Returns all queued tasks to their owners as not run.
    pub fn return_queued(&mut self, output: &mut Output) {
        for queued in self.queue.extract(|_| true) {
            output.completions.push(not_run(queued));
        }
    }

    /// Handles a target's response to a call.
    pub fn handle_response(
        &mut self,
        call: &Call,
        response: Response,
        speeds: &mut Estimator,
        now: Instant,
        output: &mut Output,
    ) {
        let Some(row) = self.targets.find(&call.target) else {
            return;
        };
        let changes =
            self.targets.change(row, now, |tracker| tracker.handle_response(call, response, now));
        let entry = &self.targets.row(row).entry;
        let losses: Vec<_> = changes.iter().map(|change| loss(entry, change)).collect();
        let has_changes = !changes.is_empty();
        if !changes.is_empty() || matches!(call.order, Order::Renew { .. }) {
            self.last_pass_at = None;
        }
        for (change, loss) in changes.into_iter().zip(losses) {
            update_speeds(&call.target, &change, speeds, now);
            record(&call.target, &change, now, output);
            self.suspects.record(&change, loss.as_ref(), self.targets.len(), now);
            output.losses.extend(loss);
            if let Change::Ended { task, attempt, end, .. } = &change
                && attempt.cancelled
            {
                output.cancelled.push((task.job.clone(), *end != End::Unresolved));
                continue;
            }
            output.completions.extend(completion(change));
        }
        if has_changes {
            self.targets.update_score(row, speeds, now);
        }
    }

    /// Claims available targets, renews leases, and stops attempts that are cancelled or whose
    /// target hangs.
    pub fn maintain(
        &mut self,
        membership: &Membership,
        speeds: &mut Estimator,
        issuer: &mut Issuer,
        (wall, now): (SystemTime, Instant),
        output: &mut Output,
    ) {
        for tracker in self.targets.change_all() {
            recall_hung(tracker, speeds, now, output);
            maintain(tracker, membership, issuer, (wall, now), output);
        }
        self.targets.refresh(membership, speeds, now);
    }

    /// Claims one target, renews its lease and stops cancelled attempts, without checking whether
    /// the target hangs.
    pub fn maintain_target(
        &mut self,
        name: &Target,
        membership: &Membership,
        issuer: &mut Issuer,
        (wall, now): (SystemTime, Instant),
        output: &mut Output,
    ) {
        let Some(row) = self.targets.find(name) else {
            return;
        };
        self.targets.change(row, now, |tracker| {
            maintain(tracker, membership, issuer, (wall, now), output);
        });
    }
}

fn maintain(
    tracker: &mut Tracker,
    membership: &Membership,
    issuer: &mut Issuer,
    (wall, now): (SystemTime, Instant),
    output: &mut Output,
) {
    tracker.refresh_owner_contact(|owner| membership.last_word(owner, now));
    let Entry { zone, name, .. } = &tracker.entry;
    let wanted = match tracker.phase {
        Phase::Free => membership.holds(zone, name) && membership.may_take(zone, name, now),
        Phase::Claiming(_) | Phase::Held(_) => true,
    };
    if wanted && tracker.wants_claim(now) && !membership.is_busy_elsewhere(&tracker.entry.name) {
        output.calls.push(tracker.claim(issuer.next(wall), now));
    }
    output.calls.extend(tracker.due_stops(now));
    output.calls.extend(tracker.next_renewal(now));
}

/// If a target hangs, recalls the attempts for which there is time left to run elsewhere.
fn recall_hung(tracker: &mut Tracker, speeds: &mut Estimator, now: Instant, output: &mut Output) {
    if !is_hung(tracker, now) {
        return;
    }
    let in_time =
        |attempt: &Attempt| now + attempt.expected.mul_f64(RECALL_RUN_SHARE) < attempt.deadline;
    let recalled = tracker.recall_where(in_time);
    if recalled > 0 {
        let target = tracker.entry.name.clone();
        speeds.record_hang(&target, now);
        output.records.push(Record::TargetStalled { target, recalled });
    }
}

/// Whether this host holds the target of a tracker.
fn is_held(tracker: &Tracker, membership: &Membership) -> bool {
    membership.holds(&tracker.entry.zone, &tracker.entry.name)
}
