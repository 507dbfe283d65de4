//! This host as a steward of targets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use coltsfootshunt_core::name::{Host, Target, Zone};

use super::{Action, State};
use crate::job::{Assignment, Completion, End, Grant, Item, Reservation, Task};
use crate::lease::{Call, Phase, Rejection, Response};
use crate::peer::Message;
use crate::steward::Output;

impl State {
    /// Takes another host's tasks in.
    pub(super) fn run(&mut self, from: &Host, assignment: Assignment, now: Instant) {
        let mut out = Output::default();
        if !self.membership.claims.is_empty() {
            self.steward.enqueue(from, assignment, (&self.membership, &self.speeds), now, &mut out);
            return self.deliver(out, now);
        }
        // It believes that this host is still a steward.
        for part in assignment.tasks {
            let task = Task { job: assignment.job.clone(), step: part.step, index: part.index };
            let run = part.run.saturating_sub(1);
            let Item { sequence, .. } = part;
            let completion = Completion {
                task,
                generation: assignment.generation,
                run,
                sequence,
                end: End::NotRun,
            };
            out.completions.push((from.clone(), completion));
        }
        self.deliver(out, now);
    }

    pub(super) fn called(&mut self, call: &Call, answer: Response, now: Instant) {
        let contested = self.contested(call, &answer);
        let mut out = Output::default();
        self.steward.handle_response(call, answer, &mut self.speeds, now, &mut out);
        if let Some(zone) = contested
            && self.membership.record_rival(&zone, now)
        {
            self.yield_zones(&[zone], now);
        }
        self.tend_one(&call.target, now, &mut out);
        self.deliver(out, now);
    }

    /// The zone that this host claims and a target of which obeys another host by now.
    fn contested(&self, call: &Call, answer: &Response) -> Option<Zone> {
        let fenced = matches!(answer, Response::Rejected(Rejection::Fenced));
        let mut pictures = self.steward.trackers().filter(|_| fenced);
        let picture = pictures.find(|one| one.entry.name == call.target)?;
        let current = [Phase::Held(call.token), Phase::Claiming(call.token)];
        let zone = &picture.entry.zone;
        (current.contains(&picture.phase) && self.membership.has_claim(zone)).then(|| zone.clone())
    }

    pub(super) fn tend_targets(&mut self, now: Instant) {
        self.steward.sync(&self.directory, &self.membership, now);
        self.tend(now);
    }

    fn tend(&mut self, now: Instant) {
        let mut out = Output::default();
        let times = (self.clock.wall_time(), now);
        self.steward.maintain(
            &self.membership,
            &mut self.speeds,
            &mut self.issuer,
            times,
            &mut out,
        );
        self.deliver(out, now);
    }

    fn tend_one(&mut self, target: &Target, now: Instant, out: &mut Output) {
        let times = (self.clock.wall_time(), now);
        self.steward.maintain_target(target, &self.membership, &mut self.issuer, times, out);
    }

    /// Takes an owner's word in that tasks are this host's alone.
    pub(super) fn take_grants(&mut self, from: &Host, grants: &[Grant], now: Instant) {
        let mut out = Output::default();
        self.steward.apply_grants(from, grants, now, &mut out);
        self.deliver(out, now);
    }

    /// Starts what can start.
    pub(super) fn work(&mut self, now: Instant) {
        loop {
            let mut out = Output::default();
            self.steward.dispatch(&self.membership, &self.speeds, now, &mut out);
            let started: BTreeSet<Target> =
                out.calls.iter().map(|call| call.target.clone()).collect();
            for target in started {
                self.tend_one(&target, now, &mut out);
            }
            // This host grants its own tasks at once, so that they can start at once.
            let me = &self.membership.me().host;
            let again = out.bids.iter().any(|(owner, _)| owner == me);
            self.deliver(out, now);
            if !again {
                return;
            }
        }
    }

    /// Carries a steward's wishes out.
    pub(super) fn deliver(&mut self, out: Output, now: Instant) {
        self.out.extend(out.notes.into_iter().map(Action::Note));
        self.out.extend(out.calls.into_iter().map(Action::Call));
        let me = self.membership.me().host.clone();
        let mut bids: BTreeMap<Host, Vec<Reservation>> = BTreeMap::new();
        for (owner, bid) in out.bids {
            bids.entry(owner).or_default().push(bid);
        }
        for (owner, bids) in bids {
            if owner == me {
                self.take_bids(&me, &bids, now);
            } else if let Some(peer) = self.membership.peer(&owner).filter(|peer| peer.is_alive) {
                let address = peer.identity.address;
                self.send(address, Message::GrantRequest(bids));
            }
        }
        let mut remote: BTreeMap<Host, Vec<Completion>> = BTreeMap::new();
        for (owner, completion) in out.completions {
            if owner == me {
                self.ended(&owner, &completion, now);
            } else {
                remote.entry(owner).or_default().push(completion);
            }
        }
        if remote.is_empty() {
            return;
        }
        let load = self.steward.load(&self.membership, &self.speeds, now);
        for (owner, completions) in remote {
            if let Some(peer) = self.membership.peer(&owner).filter(|peer| peer.is_alive) {
                let address = peer.identity.address;
                self.send(address, Message::Completed(completions, load));
            }
        }
    }
}
