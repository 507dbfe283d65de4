//! State of a steward.

mod dispatch;
mod ends;
mod finding;
mod intake;
mod load;
mod place;
mod pool;

use std::collections::BTreeMap;
use std::time::{Instant, SystemTime};

use coltsfootshunt_core::name::{Host, Target};

use super::{Output, Settings};
use crate::directory;
use crate::job::{Completion, End, Grant, Id, Reservation};
use crate::lease::{Attempt, Call, Change, Evidence, Issuer, Order, Phase, Response, Tracker};
use crate::member::Membership;
use crate::queue::Queue;
use crate::report::Record;
use crate::speed::Estimator;

use finding::{completion, learn, not_run, note};
use place::hangs;

/// Share of its expected time that a task is granted before it is given up: predictions are medians.
const OPTIMISM: f64 = 0.6;

/// The targets and the line.
#[derive(Debug)]
pub struct Steward {
    settings: Settings,
    trackers: BTreeMap<Target, Tracker>,
    line: Queue,
    /// Thousandths of a core that a task takes in the mean, once one came.
    typical: Option<f64>,
    /// When the line was last gone through; none if something has changed since.
    looked: Option<Instant>,
}

impl Steward {
    /// A steward of nothing.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            trackers: BTreeMap::new(),
            line: Queue::default(),
            typical: None,
            looked: None,
        }
    }

    /// Whether neither targets nor the line hold work.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.line.is_empty() && self.trackers.values().all(Tracker::is_idle)
    }

    /// The targets.
    pub fn trackers(&self) -> impl Iterator<Item = &Tracker> {
        self.trackers.values()
    }

    /// Whether a target is among this host's.
    #[must_use]
    pub fn has_target(&self, target: &Target) -> bool {
        self.trackers.contains_key(target)
    }

    /// Number of tasks that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.line.len()
    }

    /// Targets with work under way in zones that this host does not claim.
    #[must_use]
    pub fn busy_unclaimed(&self, membership: &Membership) -> Vec<Target> {
        let held =
            |picture: &&Tracker| !membership.has_claim(&picture.entry.zone) && !picture.is_idle();
        self.trackers.values().filter(held).map(|picture| picture.entry.name.clone()).collect()
    }

    /// Brings the set of targets in line with the directory and this host's claims.
    pub fn sync(
        &mut self,
        directory: &directory::Directory,
        membership: &Membership,
        now: Instant,
    ) {
        let term = self.settings.term;
        for entry in directory.iter().filter(|entry| membership.has_claim(&entry.zone)) {
            let picture = self.trackers.entry(entry.name.clone());
            let picture = picture.or_insert_with(|| Tracker::new(entry.clone(), term, now));
            picture.update(entry);
        }
        self.trackers.retain(|name, picture| {
            let mine = membership.has_claim(&picture.entry.zone) && directory.get(name).is_some();
            mine || !picture.is_idle()
        });
    }

    /// Drops a job's tasks; what runs is stopped.
    pub fn cancel(&mut self, owner: &Host, job: &Id, generation: u64) {
        self.looked = None;
        self.line.cancel(owner, job, generation);
        for picture in self.trackers.values_mut() {
            picture.cancel_where(|task, attempt| {
                attempt.owner == *owner && task.job == *job && attempt.generation == generation
            });
        }
    }

    /// Takes an owner's word in that tasks are this steward's alone. Those that wait here no longer go back.
    pub fn apply_grants(&mut self, owner: &Host, grants: &[Grant], now: Instant, out: &mut Output) {
        self.looked = None;
        for grant in grants {
            let Grant { task, generation, sequence, run } = grant.clone();
            if let Some(after) = self.line.grant(owner, grant, now) {
                out.notes.push(Record::TaskGranted { task, after });
                continue;
            }
            let run = run.saturating_sub(1);
            let completion = Completion { task, generation, run, sequence, end: End::NotRun };
            out.completions.push((owner.clone(), completion));
        }
    }

    /// Drops tasks that other stewards have by now.
    pub fn withdraw(&mut self, owner: &Host, reservations: &[Reservation]) {
        self.looked = None;
        self.line.withdraw(owner, reservations);
    }

    /// Drops everything that an owner wanted.
    pub fn drop_owner(&mut self, owner: &Host) {
        self.looked = None;
        self.line.take(|one| one.owner == *owner);
        for picture in self.trackers.values_mut() {
            picture.cancel_where(|_, attempt| attempt.owner == *owner);
        }
    }

    /// Gives every target up after a pause of this process: others may have them by now.
    pub fn release_targets(&mut self, out: &mut Output) {
        for picture in self.trackers.values_mut() {
            let mut found = Vec::new();
            picture.release(End::Unresolved, Evidence::Paused, &mut found);
            out.completions.extend(found.into_iter().filter_map(completion));
        }
        self.return_queued(out);
    }

    /// Returns what waits to its owners, as not run.
    pub fn return_queued(&mut self, out: &mut Output) {
        for one in self.line.take(|_| true) {
            out.completions.push(not_run(one));
        }
    }

    /// Takes the answer of a target in.
    pub fn handle_response(
        &mut self,
        call: &Call,
        answer: Response,
        speeds: &mut Estimator,
        now: Instant,
        out: &mut Output,
    ) {
        let Some(picture) = self.trackers.get_mut(&call.target) else {
            return;
        };
        let found = picture.handle_response(call, answer, now);
        if !found.is_empty() || matches!(call.order, Order::Renew { .. }) {
            self.looked = None;
        }
        for finding in found {
            learn(&call.target, &finding, speeds, now);
            note(&call.target, &finding, now, out);
            if let Change::Ended { attempt, .. } = &finding
                && attempt.cancelled
            {
                continue;
            }
            out.completions.extend(completion(finding));
        }
    }

    /// Claims targets that are free to be claimed, renews leases, stops what nobody wants and what
    /// hangs.
    pub fn maintain(
        &mut self,
        membership: &Membership,
        speeds: &mut Estimator,
        issuer: &mut Issuer,
        (wall, now): (SystemTime, Instant),
        out: &mut Output,
    ) {
        let names: Vec<Target> = self.trackers.keys().cloned().collect();
        for name in names {
            self.recall_hanging(&name, speeds, now, out);
            self.maintain_target(&name, membership, issuer, (wall, now), out);
        }
    }

    /// The same for one target, but for what hangs.
    pub fn maintain_target(
        &mut self,
        name: &Target,
        membership: &Membership,
        issuer: &mut Issuer,
        (wall, now): (SystemTime, Instant),
        out: &mut Output,
    ) {
        let Some(picture) = self.trackers.get_mut(name) else {
            return;
        };
        picture.refresh_owner_contact(|owner| membership.last_heard(owner, now));
        let mine = membership.has_claim(&picture.entry.zone);
        let wanted = mine || picture.phase != Phase::Free;
        if wanted && picture.wants_claim(now) && !membership.is_busy_elsewhere(&picture.entry.name)
        {
            out.calls.push(picture.claim(issuer.next(wall), now));
        }
        out.calls.extend(picture.due_stops(now));
        out.calls.extend(picture.next_renewal(now));
    }

    /// Recalls what runs on a target that hangs, where there is time left to run it elsewhere.
    fn recall_hanging(
        &mut self,
        name: &Target,
        speeds: &mut Estimator,
        now: Instant,
        out: &mut Output,
    ) {
        let Some(picture) = self.trackers.get_mut(name).filter(|one| hangs(one, now)) else {
            return;
        };
        let in_time = |one: &Attempt| now + one.expected.mul_f64(OPTIMISM) < one.deadline;
        let recalled = picture.recall_where(in_time);
        if recalled > 0 {
            speeds.record_hang(name, now);
            out.notes.push(Record::TargetStalled { target: name.clone(), recalled });
        }
    }
}
