//! This host among the others.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Zone};

use super::State;
use crate::member::{Claim, Heartbeat, Identity};
use crate::peer::Message;
use crate::report::Record;
use crate::steward;
use crate::store::{Listing, Unreadable, Update};

/// Time between heartbeats of a steward; what it has free changes in tens of milliseconds.
const STEWARD_BEATS_EVERY: Duration = Duration::from_millis(100);
/// Time between heartbeats of other hosts: a third of the silence after which they count as lost.
const OTHERS_BEAT_EVERY: Duration = Duration::from_millis(250);
/// Time between attempts to reach hosts that are not heard. A host that lost another says so with
/// the first message of a new session, and the other must have stopped its tasks before a caller's
/// repeat, 1.3 s later.
const CONTACT_EVERY: Duration = Duration::from_millis(250);
/// Time between messages that tell what was learned of targets; it is lost with a host otherwise.
const TEACH_EVERY: Duration = Duration::from_secs(1);
/// Kinds in one message that tells what was learned: their trends make about half a kilobyte, from each
/// steward to each host.
const KINDS_TAUGHT: usize = 8;
/// Time between questions for the configuration or the list of targets.
const ASK_EVERY: Duration = Duration::from_millis(300);

impl State {
    /// Takes a host's sign of life in. `fresh` says that all it asked for before is void.
    pub(super) fn hear(&mut self, identity: &Identity, fresh: bool, now: Instant) {
        let replaced =
            self.membership.peer(&identity.host).is_some_and(|peer| peer.identity != *identity);
        if fresh || replaced {
            self.part_with(&identity.host, now);
        }
        self.contacts.remove(&identity.address);
        if self.membership.record_contact(identity, now) {
            let peer = identity.host.clone();
            self.note(Record::PeerFound { peer, incarnation: identity.incarnation });
            let mut identities: Vec<Identity> =
                self.membership.alive().map(|peer| peer.identity.clone()).collect();
            identities.push(self.membership.me().clone());
            self.send(identity.address, Message::Hosts(identities));
            // The new host should not wait for its first heartbeat.
            self.beaten = None;
        }
    }

    pub(super) fn message(&mut self, from: &Identity, message: Message, now: Instant) {
        match message {
            Message::Heartbeat(beat) => self.take_heartbeat(from, beat, now),
            Message::Hosts(identities) => self.meet(&identities),
            Message::Run(assignment) => self.run(&from.host, assignment, now),
            Message::GrantRequest(bids) => self.take_bids(&from.host, &bids, now),
            Message::Grant(grants) => self.take_grants(&from.host, &grants, now),
            Message::Withdraw(reservations) => self.steward.withdraw(&from.host, &reservations),
            Message::Cancel(job, generation) => {
                self.steward.cancel(&from.host, &job, generation);
            }
            Message::Completed(completions, load) => {
                self.membership.set_load(&from.host, load);
                for completion in completions {
                    self.ended(&from.host, &completion, now);
                }
            }
            Message::ConfigRequest => {
                if let Some(document) = self.config.document().cloned() {
                    self.send(from.address, Message::Config(document));
                }
                let entries = self.directory.iter().cloned().collect();
                self.send(from.address, Message::Targets(entries));
            }
            Message::Config(document) => {
                let version = document.version;
                if self.config.replace_if_newer(document) {
                    self.note(Record::ConfigApplied { version, from: "a peer" });
                }
            }
            Message::Speeds { targets, kinds } => {
                self.speeds.set_peer_trends(&from.host, kinds);
                // What this host's own targets are like it learns itself.
                let targets =
                    targets.into_iter().filter(|(target, _)| !self.steward.has_target(target));
                self.speeds.set_slowness(targets.collect(), now);
            }
            Message::Targets(entries) => {
                if self.directory.seed(entries) {
                    let known = self.directory.iter().count();
                    self.note(Record::TargetsChanged { known, unreadable: 0 });
                }
            }
        }
    }

    fn take_heartbeat(&mut self, from: &Identity, beat: Heartbeat, now: Instant) {
        let newer = beat.config_version > self.config.version();
        let knows = self.directory.is_empty() && beat.knows_targets;
        let asked = self.asked.is_some_and(|at| now.duration_since(at) < ASK_EVERY);
        if (newer || knows) && !asked {
            self.asked = Some(now);
            self.send(from.address, Message::ConfigRequest);
        }
        for claim in &beat.claims {
            self.issuer.observe(claim.token);
        }
        self.membership.record_heartbeat(&from.host, beat);
    }

    /// Hosts that others know are contacted until they are heard.
    fn meet(&mut self, identities: &[Identity]) {
        for identity in identities {
            let known = self.membership.peer(&identity.host).is_some_and(|peer| peer.is_alive);
            if identity.host != self.membership.me().host && !known {
                self.contacts.insert(identity.address);
            }
        }
    }

    pub(super) fn news(&mut self, news: Update, now: Instant) {
        match news {
            Update::Document(document) => {
                let version = document.version;
                if self.config.replace_if_newer(document) {
                    self.note(Record::ConfigApplied { version, from: "the store" });
                }
            }
            Update::Targets(Listing { entries, unreadable }) => {
                let before = self.directory.iter().count();
                let odd = unreadable.len();
                let news = self.reported_targets.filter_new(unreadable);
                self.note_unreadable(news);
                self.directory.replace(entries, now);
                let known = self.directory.iter().count();
                if known != before || odd != self.unreadable {
                    self.unreadable = odd;
                    self.note(Record::TargetsChanged { known, unreadable: odd });
                }
            }
            Update::Hosts(Listing { entries, unreadable }) => {
                let news = self.reported_hosts.filter_new(unreadable);
                self.note_unreadable(news);
                self.meet(&entries);
            }
            Update::Unreadable(one) => {
                let news = self.reported_configuration.filter_new(vec![one]);
                self.note_unreadable(news);
            }
            Update::Lost(failure) => self.note(Record::StoreLost { failure }),
            Update::Regained => self.note(Record::StoreRegained),
        }
    }

    fn note_unreadable(&mut self, unreadable: Vec<Unreadable>) {
        for Unreadable { key, revision, reason } in unreadable {
            self.note(Record::EntryUnreadable { key, revision, reason });
        }
    }

    pub(super) fn link_lost(&mut self, address: SocketAddr, refused: bool, now: Instant) {
        let peer = self.membership.peers().find(|peer| peer.identity.address == address);
        let Some(host) = peer.map(|peer| peer.identity.host.clone()) else {
            return;
        };
        self.lose(
            &host,
            refused,
            if refused { "it refuses connections" } else { "it does not answer" },
            now,
        );
    }

    fn lose(&mut self, host: &Host, refused: bool, why: &'static str, now: Instant) {
        let heard = self.membership.peer(host).map(|peer| peer.last_heard);
        if self.membership.mark_lost(host, refused) {
            let silent = heard.map(|at| now.duration_since(at)).unwrap_or_default();
            self.note(Record::PeerLost { peer: host.clone(), reason: why, silent });
        }
        self.part_with(host, now);
        // The first message of a new session tells the other, if it lives.
        self.contacted = None;
    }

    /// Drops what this host holds for another and what it had there.
    fn part_with(&mut self, host: &Host, now: Instant) {
        self.steward.drop_owner(host);
        self.give_up_with(host, now);
    }

    pub(super) fn tend_members(&mut self, now: Instant) {
        for host in self.membership.timed_out(now) {
            if let Some(peer) = self.membership.peer(&host) {
                let address = peer.identity.address;
                self.out.push(super::Action::Disconnect(address));
            }
            self.lose(&host, false, "it was not heard", now);
        }
        let mut zones: Vec<Zone> = self.directory.iter().map(|entry| entry.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        self.membership.update_zones(zones.iter().cloned(), now);
        self.tend_claims(&zones, now);
    }

    fn tend_claims(&mut self, zones: &[Zone], now: Instant) {
        let claimed = self.membership.claims.iter().map(|claim| claim.zone.clone());
        let yielded: Vec<Zone> =
            claimed.filter(|zone| self.membership.should_resign(zone)).collect();
        self.yield_zones(&yielded, now);
        for zone in zones {
            if self.membership.should_claim(zone, now) {
                let token = self.issuer.next(self.clock.wall_time());
                self.membership.claims.push(Claim { zone: zone.clone(), token });
                self.note(Record::StewardshipTaken { zone: zone.clone(), token });
                // The others should hear of it at once.
                self.beaten = None;
            }
        }
    }

    /// Gives claims up, and what waits with the last of them.
    pub(super) fn yield_zones(&mut self, zones: &[Zone], now: Instant) {
        for zone in zones {
            self.membership.claims.retain(|claim| claim.zone != *zone);
            self.note(Record::StewardshipResigned { zone: zone.clone() });
        }
        if !zones.is_empty() && self.membership.claims.is_empty() {
            let mut out = steward::Output::default();
            self.steward.return_queued(&mut out);
            self.deliver(out, now);
        }
    }

    pub(super) fn beat(&mut self, now: Instant) {
        let steward = !self.membership.claims.is_empty();
        let every = if steward { STEWARD_BEATS_EVERY } else { OTHERS_BEAT_EVERY };
        let due = |at: Option<Instant>, every| at.is_none_or(|at| now.duration_since(at) >= every);
        if due(self.beaten, every) {
            self.beaten = Some(now);
            let beat = self.own_heartbeat(now);
            let alive: Vec<_> = self.membership.alive().map(|peer| peer.identity.address).collect();
            for address in alive {
                self.send(address, Message::Heartbeat(beat.clone()));
            }
        }
        if steward && due(self.taught, TEACH_EVERY) {
            self.taught = Some(now);
            self.teach(now);
        }
        if due(self.contacted, CONTACT_EVERY) {
            self.contacted = Some(now);
            self.contact(now);
        }
    }

    /// Tells all hosts what it has learned of kinds, and those that may replace it what it has learned of
    /// its targets.
    fn teach(&mut self, now: Instant) {
        let mut kinds = self.speeds.kind_trends();
        kinds.truncate(KINDS_TAUGHT);
        let mut targets = self.speeds.slowness_by_target(now);
        targets.retain(|(target, _)| self.steward.has_target(target));
        let me = self.membership.me();
        let peers = self
            .membership
            .alive()
            .map(|peer| (peer.identity.address, peer.identity.zone == me.zone));
        let peers: Vec<(SocketAddr, bool)> = peers.collect();
        for (address, is_near) in peers {
            let targets = if is_near { targets.clone() } else { Vec::new() };
            self.send(address, Message::Speeds { targets, kinds: kinds.clone() });
        }
    }

    /// Tries to reach hosts that are not heard.
    fn contact(&mut self, now: Instant) {
        let beat = self.own_heartbeat(now);
        let lost =
            self.membership.peers().filter(|peer| !peer.is_alive).map(|peer| peer.identity.address);
        let mut addresses: Vec<SocketAddr> = self.contacts.iter().copied().chain(lost).collect();
        addresses.retain(|address| *address != self.membership.me().address);
        addresses.sort();
        addresses.dedup();
        for address in addresses {
            self.send(address, Message::Heartbeat(beat.clone()));
        }
    }

    fn own_heartbeat(&self, now: Instant) -> Heartbeat {
        Heartbeat {
            claims: self.membership.claims.clone(),
            busy_targets: self.steward.busy_unclaimed(&self.membership),
            is_stopping: self.membership.is_stopping,
            load: self.steward.load(&self.membership, &self.speeds, now),
            config_version: self.config.version(),
            knows_targets: !self.directory.is_empty(),
        }
    }
}
