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
use crate::job::{End, Ending, Grant, Id, Stand};
use crate::lease::{Attempt, Call, Change, Evidence, Issuer, Order, Phase, Response, Tracker};
use crate::member::Membership;
use crate::queue::Line;
use crate::report::Record;
use crate::speed::Estimator;

use finding::{ending, learn, not_run, note};
use place::hangs;

/// Share of its expected time that a task is granted before it is given up: predictions are medians.
const OPTIMISM: f64 = 0.6;

/// The targets and the line.
#[derive(Debug)]
pub struct Steward {
    settings: Settings,
    pictures: BTreeMap<Target, Tracker>,
    line: Line,
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
            pictures: BTreeMap::new(),
            line: Line::default(),
            typical: None,
            looked: None,
        }
    }

    /// Whether neither targets nor the line hold work.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.line.is_empty() && self.pictures.values().all(Tracker::is_idle)
    }

    /// The targets.
    pub fn pictures(&self) -> impl Iterator<Item = &Tracker> {
        self.pictures.values()
    }

    /// Whether a target is among this host's.
    #[must_use]
    pub fn has(&self, target: &Target) -> bool {
        self.pictures.contains_key(target)
    }

    /// Number of tasks that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.line.len()
    }

    /// Targets with work under way in zones that this host does not claim.
    #[must_use]
    pub fn held(&self, membership: &Membership) -> Vec<Target> {
        let held =
            |picture: &&Tracker| !membership.has_claim(&picture.entry.zone) && !picture.is_idle();
        self.pictures.values().filter(held).map(|picture| picture.entry.name.clone()).collect()
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
            let picture = self.pictures.entry(entry.name.clone());
            let picture = picture.or_insert_with(|| Tracker::new(entry.clone(), term, now));
            picture.update(entry);
        }
        self.pictures.retain(|name, picture| {
            let mine = membership.has_claim(&picture.entry.zone) && directory.get(name).is_some();
            mine || !picture.is_idle()
        });
    }

    /// Drops a job's tasks; what runs is stopped.
    pub fn cancel(&mut self, owner: &Host, job: &Id, opening: u64) {
        self.looked = None;
        self.line.cancel(owner, job, opening);
        for picture in self.pictures.values_mut() {
            picture.cancel_where(|task, attempt| {
                attempt.owner == *owner && task.job == *job && attempt.generation == opening
            });
        }
    }

    /// Takes an owner's word in that tasks are this steward's alone. Those that wait here no longer go back.
    pub fn take_grants(&mut self, owner: &Host, grants: &[Grant], now: Instant, out: &mut Output) {
        self.looked = None;
        for grant in grants {
            let Grant { task, opening, round, run } = grant.clone();
            if let Some(after) = self.line.grant(owner, grant, now) {
                out.notes.push(Record::TaskGranted { task, after });
                continue;
            }
            let run = run.saturating_sub(1);
            let ending = Ending { task, opening, run, round, end: End::NotRun };
            out.endings.push((owner.clone(), ending));
        }
    }

    /// Drops tasks that other stewards have by now.
    pub fn withdraw(&mut self, owner: &Host, stands: &[Stand]) {
        self.looked = None;
        self.line.withdraw(owner, stands);
    }

    /// Drops everything that an owner wanted.
    pub fn forget(&mut self, owner: &Host) {
        self.looked = None;
        self.line.take(|one| one.owner == *owner);
        for picture in self.pictures.values_mut() {
            picture.cancel_where(|_, attempt| attempt.owner == *owner);
        }
    }

    /// Gives every target up after a pause of this process: others may have them by now.
    pub fn abandon(&mut self, out: &mut Output) {
        for picture in self.pictures.values_mut() {
            let mut found = Vec::new();
            picture.release(End::Adrift, Evidence::Paused, &mut found);
            out.endings.extend(found.into_iter().filter_map(ending));
        }
        self.hand_back(out);
    }

    /// Returns what waits to its owners, as not run.
    pub fn hand_back(&mut self, out: &mut Output) {
        for one in self.line.take(|_| true) {
            out.endings.push(not_run(one));
        }
    }

    /// Takes the answer of a target in.
    pub fn answer(
        &mut self,
        call: &Call,
        answer: Response,
        speeds: &mut Estimator,
        now: Instant,
        out: &mut Output,
    ) {
        let Some(picture) = self.pictures.get_mut(&call.target) else {
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
            out.endings.extend(ending(finding));
        }
    }

    /// Claims targets that are free to be claimed, renews leases, stops what nobody wants and what
    /// hangs.
    pub fn tend(
        &mut self,
        membership: &Membership,
        speeds: &mut Estimator,
        issuer: &mut Issuer,
        (wall, now): (SystemTime, Instant),
        out: &mut Output,
    ) {
        let names: Vec<Target> = self.pictures.keys().cloned().collect();
        for name in names {
            self.recall_hanging(&name, speeds, now, out);
            self.tend_one(&name, membership, issuer, (wall, now), out);
        }
    }

    /// The same for one target, but for what hangs.
    pub fn tend_one(
        &mut self,
        name: &Target,
        membership: &Membership,
        issuer: &mut Issuer,
        (wall, now): (SystemTime, Instant),
        out: &mut Output,
    ) {
        let Some(picture) = self.pictures.get_mut(name) else {
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
        let Some(picture) = self.pictures.get_mut(name).filter(|one| hangs(one, now)) else {
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
