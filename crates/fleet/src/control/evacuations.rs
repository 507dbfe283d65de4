//! Evacuated zones: what the store and peers say of them, and what follows for targets and jobs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use coltsfootshunt_core::name::{Host, Service, Zone};

use super::State;
use super::jobs::RETRY_AFTER;
use crate::directory::Entry;
use crate::evacuation::{Notice, Reading, Transition};
use crate::job::{Id, Open, Outcome, Plan, Refusal, Requirements};
use crate::member::Peer;
use crate::peer::Message;
use crate::report::Record;
use crate::steward;

impl State {
    /// Applies an answer of the store.
    pub(super) fn read_evacuations(&mut self, reading: &Reading, now: Instant) {
        if !self.settings.evacuation.is_enabled {
            return;
        }
        let unreadable = self.evacuations.filter_new(&reading.unreadable);
        self.record_unreadable(unreadable);
        let known = self.known_zones();
        self.evacuations.read(reading, |zone| known.contains(zone), now);
        self.apply_evacuations(None, now);
    }

    /// Applies a peer's notice.
    pub(super) fn hear_evacuations(&mut self, from: &Host, notice: &Notice, now: Instant) {
        if !self.settings.evacuation.is_enabled {
            return;
        }
        if let Err(reason) = self.evacuations.hear(notice, now) {
            let (revision, zones) = (notice.revision, notice.zones.len());
            return self.record(Record::NoticeIgnored {
                peer: from.clone(),
                reason,
                revision,
                zones,
            });
        }
        let knows = self.evacuations.is_known_to_sender(notice);
        self.apply_evacuations(Some(from).filter(|_| knows), now);
    }

    /// Reports zones that have become known, and tells peers that have not been told yet.
    pub(super) fn maintain_evacuations(&mut self, now: Instant) {
        if self.settings.evacuation.is_enabled {
            self.apply_evacuations(None, now);
            self.share_evacuations();
        }
    }

    /// Whether this host must not claim a zone yet, because it does not know which ones are evacuated.
    pub(super) fn lacks_evacuations(&self) -> bool {
        self.settings.evacuation.is_enabled && !self.evacuations.is_informed()
    }

    /// Opens and closes targets by the zones in force, reports the changes and tells the peers. `knows` is the one
    /// that has just told the same.
    fn apply_evacuations(&mut self, knows: Option<&Host>, now: Instant) {
        let returned = self.close_zones(now);
        let known = if self.evacuations.is_empty() { BTreeSet::new() } else { self.known_zones() };
        let version = self.evacuations.version();
        let transitions = self.evacuations.settle(|zone| known.contains(zone));
        let evacuated = self.evacuations.reported().len();
        for Transition { zone, is_evacuated, revision, source } in transitions {
            self.record(if is_evacuated {
                let returned = returned.get(&zone).copied().unwrap_or_default();
                Record::ZoneEvacuated { zone, revision, source, returned, evacuated }
            } else {
                Record::ZoneRestored { zone, revision, source, evacuated }
            });
        }
        if !self.directory.is_empty() {
            for (zone, revision) in self.evacuations.filter_unknown(|zone| known.contains(zone)) {
                self.record(Record::ZoneUnknown { zone, revision });
            }
        }
        if let Some(host) = knows {
            self.told_evacuations.insert(host.clone(), self.evacuations.version());
        }
        if self.evacuations.version() != version {
            self.share_evacuations();
            self.refuse_evacuated(now);
        }
    }

    /// Brings the steward's closed zones in line with the register. Returns the number of tasks that each newly
    /// closed zone gave back.
    fn close_zones(&mut self, now: Instant) -> BTreeMap<Zone, usize> {
        let closed = self.steward.evacuated();
        let new: Vec<Zone> =
            self.evacuations.zones().filter(|zone| !closed.contains(*zone)).cloned().collect();
        let restored: Vec<Zone> =
            closed.iter().filter(|zone| !self.evacuations.contains(zone)).cloned().collect();
        restored.iter().for_each(|zone| self.steward.restore(zone));
        let mut output = steward::Output::default();
        let mut returned = BTreeMap::new();
        for zone in new {
            let count = self.steward.evacuate(&zone, &self.membership, &mut output);
            returned.insert(zone, count);
        }
        self.steward.return_stranded(&self.membership, &mut output);
        self.apply_output(output, now);
        returned
    }

    /// Zones that the settings or targets name.
    fn known_zones(&self) -> BTreeSet<Zone> {
        let named = self.settings.evacuation.zones.iter();
        named.chain(self.directory.iter().map(|entry| &entry.zone)).cloned().collect()
    }

    /// Tells the peers that read it and have not been told the zones in force.
    fn share_evacuations(&mut self) {
        let version = self.evacuations.version();
        let Some(notice) = self.evacuations.notice().filter(|_| version > 0) else {
            return;
        };
        let is_untold = |peer: &&Peer| {
            peer.heartbeat.reads_zones
                && self.told_evacuations.get(&peer.identity.host) != Some(&version)
        };
        let untold: Vec<_> = self
            .membership
            .alive()
            .filter(is_untold)
            .map(|peer| (peer.identity.host.clone(), peer.identity.address))
            .collect();
        for (host, address) in untold {
            self.told_evacuations.insert(host, version);
            self.send(address, Message::Evacuations(notice.clone()));
        }
    }

    /// Whether all targets that some step of a plan fits on are in evacuated zones.
    pub(super) fn is_evacuated(&self, service: &Service, plan: &Plan) -> bool {
        if self.evacuations.is_empty() {
            return false;
        }
        let serving: Vec<&Entry> =
            self.directory.iter().filter(|entry| entry.service == *service).collect();
        let is_evacuated = |requirements: &Requirements| {
            let mut fitting = serving.iter().filter(|entry| entry.fits(requirements)).peekable();
            fitting.peek().is_some() && fitting.all(|entry| self.evacuations.contains(&entry.zone))
        };
        plan.steps.iter().any(|step| is_evacuated(&step.requirements))
    }

    /// Refuses jobs of which nothing has run and nothing can, since all their targets are evacuated.
    pub(super) fn refuse_evacuated(&mut self, now: Instant) {
        if self.evacuations.is_empty() {
            return;
        }
        let is_refused = |open: &Open| {
            open.is_untouched() && self.is_evacuated(&open.policy.service, &open.plan)
        };
        let refused: Vec<Id> = self
            .stalled
            .iter()
            .filter(|id| self.jobs.get(id).is_some_and(is_refused))
            .cloned()
            .collect();
        for id in refused {
            let refusal = Refusal::NoSteward;
            let outcome = Outcome::Refused { refusal, retry_after: RETRY_AFTER };
            self.close(&id, outcome, "its zones are evacuated", now);
        }
    }
}
