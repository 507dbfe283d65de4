//! Membership, configuration and stewardship.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use coltsfootshunt_core::config::{Document, TargetConfig};
use coltsfootshunt_core::submission::Incarnation;

use super::{Action, Output, Record, Snapshot, State};
use crate::member::{Heartbeat, Peer, Status, assign};
use crate::peer::{Call, Response, Unreachable};
use crate::submission::{ChunkId, RequestId};
use crate::target::Departures;

impl State {
    /// Sends heartbeats, removes failed peers and recomputes the stewardship if its inputs changed.
    pub(super) fn maintain_members(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.next_heartbeat <= now {
            self.schedule_heartbeat(now);
            self.remove_failed_peers(now, out);
            self.send_heartbeats(out);
        }
        let inputs = Some((self.membership.change_count(), self.keeps_stewardship()));
        if self.stewardship_inputs != inputs {
            self.stewardship_inputs = inputs;
            self.update_stewardship(out);
        }
    }

    /// Whether this entry includes itself when it computes the stewards. A stopping entry keeps its
    /// targets until every accepted task has a slot, although its peers have already divided these
    /// targets among themselves.
    fn keeps_stewardship(&self) -> bool {
        self.drain_stage.accepts_work() || !self.queue.is_empty()
    }

    /// Handles a call from a peer.
    pub(super) fn handle_call(
        &mut self,
        request_id: RequestId,
        call: Call,
        now: Instant,
        out: &mut Vec<Action>,
    ) {
        let response = match call {
            Call::Heartbeat(heartbeat) => {
                let from = heartbeat.status.incarnation;
                self.handle_heartbeat(&heartbeat, now, out);
                Response::Heartbeat(Box::new(self.heartbeat_for(Some(from), Some(heartbeat.round))))
            }
            Call::SlotRequest(request) => Response::Grant(self.handle_slot_request(request, now)),
            Call::Grant(grant) => {
                self.handle_grant(grant, now);
                Response::Accepted
            }
            Call::Return(returned) => {
                self.handle_return(returned, now, out);
                Response::Accepted
            }
            Call::Recall(recall) => {
                self.borrower.record_recall(recall.lender);
                self.membership.set_idle(recall.lender, 0);
                Response::Accepted
            }
            Call::Configuration => {
                let document = self.config.document().map(|document| (**document).clone());
                Response::Configuration(document.map(Box::new))
            }
            Call::Inherit(chunk) => {
                self.registry.inherit(chunk, now);
                Response::Accepted
            }
        };
        out.push(Action::Respond(request_id, Output::Response(response)));
    }

    /// Handles the response of a peer.
    pub(super) fn handle_response(
        &mut self,
        chunk: Option<&ChunkId>,
        response: Response,
        now: Instant,
        out: &mut Vec<Action>,
    ) {
        match response {
            Response::Heartbeat(heartbeat) => {
                self.handle_heartbeat(&heartbeat, now, out);
                if heartbeat.echo.is_some_and(|echo| {
                    self.suspension.is_some_and(|suspension| echo > suspension.after_round)
                }) {
                    self.resume_starts(out);
                }
            }
            Response::Grant(grant) => self.handle_grant(grant, now),
            Response::Configuration(Some(document)) => self.apply_config(*document, out),
            Response::Configuration(None) => {}
            Response::Accepted => {
                if let Some(chunk) = chunk {
                    self.drain_stage.acknowledge(chunk);
                }
            }
        }
    }

    /// Handles a call to a peer that got no response. After a refused connection, the targets and
    /// loans of the peer are reassigned at once: either its process has ended, or a network
    /// partition separates it, in which case targets reject tasks beyond their slots. After a
    /// timeout, heartbeats decide whether the peer has failed.
    pub(super) fn handle_failed_call(
        &mut self,
        peer: Incarnation,
        chunk: Option<&ChunkId>,
        reason: Unreachable,
        now: Instant,
        out: &mut Vec<Action>,
    ) {
        self.borrower.record_response(peer, 0);
        if chunk.is_some() && self.current_successor == Some(peer) {
            self.current_successor = None;
        }
        if reason == Unreachable::Refused {
            self.membership.mark_refusing(peer);
            self.remove_failed_peers(now, out);
        }
    }

    /// Applies a configuration if it is newer than the current one.
    pub(super) fn apply_config(&mut self, document: Document, out: &mut Vec<Action>) {
        if !self.config.replace_if_newer(document) {
            return;
        }
        let Some(document) = self.config.document().cloned() else {
            return;
        };
        let config = &document.config;
        self.catalog.configure(&config.kinds);
        self.shares.configure(&config.teams);
        let targets = config.targets.iter().map(|target| Arc::new(target.clone()));
        self.targets = targets.map(|target| (target.name.clone(), target)).collect();
        self.target_resources = config.targets.iter().map(|target| target.has).collect();
        self.stewardship_inputs = None;
        out.push(Action::Record(Record::ConfigApplied { revision: document.version.revision }));
    }

    /// Merges the platform's list of leaving targets, received from the platform or a peer.
    pub(super) fn merge_departures(&mut self, departures: &Departures) {
        if self.departures.replace_if_newer(departures) {
            self.pool.close_leaving(&self.departures);
            // Targets that are no longer leaving reopen when the stewardship is recomputed.
            self.stewardship_inputs = None;
        }
    }

    /// Returns the state that traffic threads read.
    pub(super) fn snapshot(&self) -> Snapshot {
        Snapshot {
            incarnation: self.membership.identity().incarnation,
            is_ready: self.drain_stage.is_serving() && self.config.document().is_some(),
            is_delegate: self.membership.is_delegate(),
            revision: self.config.revision(),
            has_peers: self.membership.iter().next().is_some(),
            routes: self.membership.iter().flat_map(routes_to).collect(),
            inherited: self.registry.inherited().collect(),
        }
    }

    fn handle_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant, out: &mut Vec<Action>) {
        self.membership.record_heartbeat(heartbeat, now);
        self.merge_departures(&heartbeat.departures);
        let peer = heartbeat.status.incarnation;
        for lent in self.lender.reconcile(peer, &heartbeat.borrowed, now) {
            self.pool.reclaim(&lent.target, lent.slots);
        }
        if self.config.should_request(heartbeat.status.revision, now) {
            let to = heartbeat.status.address;
            out.push(Action::CallPeer { to, peer: Some(peer), call: Call::Configuration });
        }
    }

    fn send_heartbeats(&mut self, out: &mut Vec<Action>) {
        for to in self.membership.start_round() {
            let peer = self.membership.iter().find(|peer| peer.status.address == to);
            let peer = peer.map(|peer| peer.status.incarnation);
            let call = Call::Heartbeat(Box::new(self.heartbeat_for(peer, None)));
            out.push(Action::CallPeer { to, peer, call });
        }
    }

    /// Returns the heartbeat for a peer. `echo` is the round of the heartbeat that it responds to.
    fn heartbeat_for(&mut self, to: Option<Incarnation>, echo: Option<u64>) -> Heartbeat {
        let status = self.status();
        let others = self.membership.members_for(to, &status);
        let borrowed = to.map(|to| self.pool.borrowed_from(to)).unwrap_or_default();
        let round = self.membership.round_number();
        Heartbeat { status, round, echo, departures: self.departures.clone(), borrowed, others }
    }

    fn status(&self) -> Status {
        let identity = self.membership.identity();
        Status {
            host: identity.host.clone(),
            zone: identity.zone.clone(),
            incarnation: identity.incarnation,
            address: identity.address,
            weight: identity.weight,
            slots: self.pool.own_usable(),
            idle: self.lendable_slots(),
            waiting: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            revision: self.config.revision(),
            draining: !self.drain_stage.is_serving(),
            inherited: self.registry.inherited().collect(),
        }
    }

    /// Removes failed peers and takes back the slots lent to them.
    fn remove_failed_peers(&mut self, now: Instant, out: &mut Vec<Action>) {
        for peer in self.membership.remove_failed(now) {
            let incarnation = peer.status.incarnation;
            for lent in self.lender.write_off(incarnation) {
                self.pool.reclaim(&lent.target, lent.slots);
            }
            self.borrower.forget(incarnation);
            self.run_results.remove(&incarnation);
            let host = peer.status.host;
            out.push(Action::Record(Record::PeerFailed { host, incarnation }));
        }
    }

    /// Recomputes which targets this entry is steward of.
    fn update_stewardship(&mut self, out: &mut Vec<Action>) {
        let Some(document) = self.config.document().cloned() else {
            return;
        };
        let is_leaving = !self.keeps_stewardship();
        let me = self.membership.identity().incarnation;
        let mut zones: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for target in &document.config.targets {
            zones.entry(&target.zone).or_default().push((&target.name, target.slots));
        }
        let mut own_targets: Vec<Arc<TargetConfig>> = Vec::new();
        for (zone, targets) in zones {
            let members = self.membership.stewards(zone, is_leaving);
            if !members.iter().any(|(member, _)| *member == me) {
                continue;
            }
            let assigned = assign(targets, &members);
            let names = assigned.iter().filter(|(_, steward)| **steward == me);
            own_targets.extend(names.filter_map(|(name, _)| self.targets.get(*name).cloned()));
        }
        self.pool.configure(&own_targets, &self.departures);
        let peers = self.membership.iter().count();
        out.push(Action::Record(Record::StewardshipChanged { peers, targets: own_targets.len() }));
    }
}

/// Routes to a peer: its own incarnation and those whose records it inherited.
fn routes_to(peer: &Peer) -> impl Iterator<Item = (Incarnation, SocketAddr)> {
    let address = peer.status.address;
    let inherited = peer.status.inherited.iter().copied();
    inherited.chain([peer.status.incarnation]).map(move |owner| (owner, address))
}
