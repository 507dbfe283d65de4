//! Members, configuration and stewardship.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use coltsfootshunt_core::config::{Document, TargetConfig};
use coltsfootshunt_core::submission::Incarnation;

use super::{Action, Output, Record, Snapshot, State};
use crate::member::{Beat, Brief, Peer, assign};
use crate::peer::{Call, Response, Unreachable};
use crate::submission::{PartKey, Ticket};
use crate::target::Departures;

impl State {
    /// Heartbeats, failed peers and stewardship.
    pub(super) fn fleet(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.next_round <= now {
            self.schedule_round(now);
            self.bury(now, out);
            self.beat(out);
        }
        let wanted = Some((self.roster.changes(), self.keeps_targets()));
        if self.stewarded != wanted {
            self.stewarded = wanted;
            self.restaff(out);
        }
    }

    /// Whether this entry counts as a steward for itself: a stopping one keeps its targets until
    /// the last accepted task has its slot, though peers share them already.
    fn keeps_targets(&self) -> bool {
        self.stage.accepts() || !self.queue.is_empty()
    }

    pub(super) fn call(&mut self, ticket: Ticket, call: Call, now: Instant, out: &mut Vec<Action>) {
        let response = match call {
            Call::Beat(beat) => {
                let from = beat.brief.incarnation;
                self.hear(&beat, now, out);
                Response::Beat(Box::new(self.beat_for(Some(from), Some(beat.round))))
            }
            Call::Want(want) => Response::Grant(self.want(want, now)),
            Call::Grant(grant) => {
                self.granted(grant, now);
                Response::Taken
            }
            Call::Return(back) => {
                self.returned(back, now, out);
                Response::Taken
            }
            Call::Recall(recall) => {
                self.borrower.record_recall(recall.lender);
                self.roster.set_idle(recall.lender, 0);
                Response::Taken
            }
            Call::Configuration => {
                let document = self.config.document().map(|document| (**document).clone());
                Response::Configuration(document.map(Box::new))
            }
            Call::Inherit(part) => {
                self.ledger.inherit(part, now);
                Response::Taken
            }
        };
        out.push(Action::Respond(ticket, Output::Response(response)));
    }

    pub(super) fn responded(
        &mut self,
        part: Option<PartKey>,
        response: Response,
        now: Instant,
        out: &mut Vec<Action>,
    ) {
        match response {
            Response::Beat(beat) => {
                self.hear(&beat, now, out);
                if beat.echo.is_some_and(|echo| self.held.is_some_and(|held| echo > held.after)) {
                    self.refreshed(out);
                }
            }
            Response::Grant(grant) => self.granted(grant, now),
            Response::Configuration(Some(document)) => self.configure(*document, out),
            Response::Configuration(None) => {}
            Response::Taken => {
                if let Some(part) = part {
                    self.stage.taken(part);
                }
            }
        }
    }

    /// A call had no answer. After a refused connection the peer's targets and loans are shared at
    /// once: its process is gone, or it is behind a cut, and then targets refuse what is over their
    /// slots. After silence heartbeats decide.
    pub(super) fn unanswered(
        &mut self,
        peer: Incarnation,
        part: Option<PartKey>,
        failure: Unreachable,
        now: Instant,
        out: &mut Vec<Action>,
    ) {
        self.borrower.record_response(peer, 0);
        if part.is_some() && self.successor == Some(peer) {
            self.successor = None;
        }
        if failure == Unreachable::Refused {
            self.roster.doubt(peer);
            self.bury(now, out);
        }
    }

    /// Puts a configuration in force if it is newer.
    pub(super) fn configure(&mut self, document: Document, out: &mut Vec<Action>) {
        if !self.config.replace_if_newer(document) {
            return;
        }
        let Some(document) = self.config.document().cloned() else {
            return;
        };
        let plan = &document.config;
        self.catalog.configure(&plan.kinds);
        self.shares.configure(&plan.teams);
        let targets = plan.targets.iter().map(|target| Arc::new(target.clone()));
        self.targets = targets.map(|target| (target.name.clone(), target)).collect();
        self.classes = plan.targets.iter().map(|target| target.has).collect();
        self.stewarded = None;
        out.push(Action::Record(Record::ConfigApplied { revision: document.version.revision }));
    }

    /// Takes in the platform's list of leaving hosts.
    pub(super) fn depart(&mut self, departures: &Departures) {
        if self.departures.replace_if_newer(departures) {
            self.pool.close_leaving(&self.departures);
            // Targets that leave no more open again as the stewardship settles.
            self.stewarded = None;
        }
    }

    pub(super) fn snapshot(&self) -> Snapshot {
        Snapshot {
            incarnation: self.roster.myself().incarnation,
            is_ready: self.stage.is_serving() && self.config.document().is_some(),
            is_delegate: self.roster.is_delegate(),
            revision: self.config.revision(),
            has_peers: self.roster.iter().next().is_some(),
            routes: self.roster.iter().flat_map(routes).collect(),
            inherited: self.ledger.heirlooms().collect(),
        }
    }

    fn hear(&mut self, beat: &Beat, now: Instant, out: &mut Vec<Action>) {
        self.roster.hear(beat, now);
        self.depart(&beat.departures);
        let peer = beat.brief.incarnation;
        for offer in self.lender.reconcile(peer, &beat.holding, now) {
            self.pool.reclaim(&offer.target, offer.slots);
        }
        if self.config.should_request(beat.brief.revision, now) {
            let to = beat.brief.address;
            out.push(Action::CallPeer { to, peer: Some(peer), call: Call::Configuration });
        }
    }

    fn beat(&mut self, out: &mut Vec<Action>) {
        for to in self.roster.round() {
            let peer = self.roster.iter().find(|peer| peer.brief.address == to);
            let peer = peer.map(|peer| peer.brief.incarnation);
            let call = Call::Beat(Box::new(self.beat_for(peer, None)));
            out.push(Action::CallPeer { to, peer, call });
        }
    }

    fn beat_for(&mut self, to: Option<Incarnation>, echo: Option<u64>) -> Beat {
        let brief = self.brief();
        let others = self.roster.others_for(to, &brief);
        let holding = to.map(|to| self.pool.borrowed_from(to)).unwrap_or_default();
        let round = self.roster.round_number();
        Beat { brief, round, echo, departures: self.departures.clone(), holding, others }
    }

    fn brief(&self) -> Brief {
        let myself = self.roster.myself();
        Brief {
            host: myself.host.clone(),
            zone: myself.zone.clone(),
            incarnation: myself.incarnation,
            address: myself.address,
            weight: myself.weight,
            slots: self.pool.own_usable(),
            idle: self.idle(),
            waiting: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            revision: self.config.revision(),
            draining: !self.stage.is_serving(),
            heirlooms: self.ledger.heirlooms().collect(),
        }
    }

    fn bury(&mut self, now: Instant, out: &mut Vec<Action>) {
        for peer in self.roster.bury(now) {
            let incarnation = peer.brief.incarnation;
            for offer in self.lender.write_off(incarnation) {
                self.pool.reclaim(&offer.target, offer.slots);
            }
            self.borrower.forget(incarnation);
            self.run_results.remove(&incarnation);
            let host = peer.brief.host;
            out.push(Action::Record(Record::PeerFailed { host, incarnation }));
        }
    }

    /// Settles anew which targets this entry is steward of.
    fn restaff(&mut self, out: &mut Vec<Action>) {
        let Some(document) = self.config.document().cloned() else {
            return;
        };
        let draining = !self.keeps_targets();
        let me = self.roster.myself().incarnation;
        let mut zones: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for target in &document.config.targets {
            zones.entry(&target.zone).or_default().push((&target.name, target.slots));
        }
        let mut mine: Vec<Arc<TargetConfig>> = Vec::new();
        for (zone, targets) in zones {
            let members = self.roster.stewards(zone, draining);
            if !members.iter().any(|(member, _)| *member == me) {
                continue;
            }
            let assigned = assign(targets, &members);
            let names = assigned.iter().filter(|(_, steward)| **steward == me);
            mine.extend(names.filter_map(|(name, _)| self.targets.get(*name).cloned()));
        }
        self.pool.configure(&mine, &self.departures);
        let peers = self.roster.iter().count();
        out.push(Action::Record(Record::StewardshipChanged { peers, targets: mine.len() }));
    }
}

/// Who is asked at a peer: itself, and those whose records it holds.
fn routes(peer: &Peer) -> impl Iterator<Item = (Incarnation, SocketAddr)> {
    let address = peer.brief.address;
    let heirlooms = peer.brief.heirlooms.iter().copied();
    heirlooms.chain([peer.brief.incarnation]).map(move |owner| (owner, address))
}
