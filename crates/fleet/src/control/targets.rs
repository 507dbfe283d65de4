//! Work of this host as a steward of targets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use coltsfootshunt_core::name::{Host, Target, Zone};

use super::{Action, State};
use crate::job::{Assignment, Completion, End, Grant, Item, Reservation, Task};
use crate::lease::{Call, Phase, Rejection, Response};
use crate::peer::Message;
use crate::steward::Output;

impl State {
    /// Enqueues tasks from an owner, or returns them if this host is no steward.
    pub(super) fn enqueue_tasks(&mut self, from: &Host, assignment: Assignment, now: Instant) {
        let mut out = Output::default();
        if !self.membership.claims.is_empty() {
            self.steward.enqueue(from, assignment, (&self.membership, &self.speeds), now, &mut out);
            return self.deliver(out, now);
        }
        // The owner has an outdated view of the stewards.
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

    pub(super) fn target_responded(&mut self, call: &Call, answer: Response, now: Instant) {
        let contested_zone = self.contested_zone(call, &answer);
        let mut out = Output::default();
        self.steward.handle_response(call, answer, &mut self.speeds, now, &mut out);
        if let Some(zone) = contested_zone
            && self.membership.record_rival(&zone, now)
        {
            self.yield_zones(&[zone], now);
        }
        self.maintain_target(&call.target, now, &mut out);
        self.deliver(out, now);
    }

    /// Returns the zone of the called target if this host claims that zone but the target now follows another
    /// steward.
    fn contested_zone(&self, call: &Call, answer: &Response) -> Option<Zone> {
        let fenced = matches!(answer, Response::Rejected(Rejection::Fenced));
        let mut pictures = self.steward.trackers().filter(|_| fenced);
        let picture = pictures.find(|one| one.entry.name == call.target)?;
        let current = [Phase::Held(call.token), Phase::Claiming(call.token)];
        let zone = &picture.entry.zone;
        (current.contains(&picture.phase) && self.membership.has_claim(zone)).then(|| zone.clone())
    }

    pub(super) fn maintain_targets(&mut self, now: Instant) {
        self.steward.sync(&self.directory, &self.membership, now);
        self.maintain_all_targets(now);
    }

    fn maintain_all_targets(&mut self, now: Instant) {
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

    fn maintain_target(&mut self, target: &Target, now: Instant, out: &mut Output) {
        let times = (self.clock.wall_time(), now);
        self.steward.maintain_target(target, &self.membership, &mut self.issuer, times, out);
    }

    /// Handles grants: the owner assigned shared tasks to this host alone.
    pub(super) fn handle_grants(&mut self, from: &Host, grants: &[Grant], now: Instant) {
        let mut out = Output::default();
        self.steward.apply_grants(from, grants, now, &mut out);
        self.deliver(out, now);
    }

    /// Starts queued tasks on free targets.
    pub(super) fn start_tasks(&mut self, now: Instant) {
        loop {
            let mut out = Output::default();
            self.steward.dispatch(&self.membership, &self.speeds, now, &mut out);
            let started: BTreeSet<Target> =
                out.calls.iter().map(|call| call.target.clone()).collect();
            for target in started {
                self.maintain_target(&target, now, &mut out);
            }
            // Bids for tasks that this host owns are granted within `deliver`, so the tasks can start now.
            let me = &self.membership.me().host;
            let again = out.bids.iter().any(|(owner, _)| owner == me);
            self.deliver(out, now);
            if !again {
                return;
            }
        }
    }

    /// Executes the output of the steward: log records, calls, bids and the ends of tasks.
    pub(super) fn deliver(&mut self, out: Output, now: Instant) {
        self.actions.extend(out.notes.into_iter().map(Action::Record));
        self.actions.extend(out.calls.into_iter().map(Action::Call));
        let me = self.membership.me().host.clone();
        let mut bids: BTreeMap<Host, Vec<Reservation>> = BTreeMap::new();
        for (owner, bid) in out.bids {
            bids.entry(owner).or_default().push(bid);
        }
        for (owner, bids) in bids {
            if owner == me {
                self.handle_bids(&me, &bids, now);
            } else if let Some(peer) = self.membership.peer(&owner).filter(|peer| peer.alive) {
                let address = peer.identity.address;
                self.send(address, Message::GrantRequest(bids));
            }
        }
        let mut remote: BTreeMap<Host, Vec<Completion>> = BTreeMap::new();
        for (owner, completion) in out.completions {
            if owner == me {
                self.task_ended(&owner, &completion, now);
            } else {
                remote.entry(owner).or_default().push(completion);
            }
        }
        if remote.is_empty() {
            return;
        }
        let load = self.steward.load(&self.membership, &self.speeds, now);
        for (owner, completions) in remote {
            if let Some(peer) = self.membership.peer(&owner).filter(|peer| peer.alive) {
                let address = peer.identity.address;
                self.send(address, Message::Completed(completions, load));
            }
        }
    }
}
