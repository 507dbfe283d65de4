//! Peers: membership, heartbeats, messages, and claims on zones.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Zone};

use super::State;
use crate::member::{Beat, Card, Claim};
use crate::peer::Message;
use crate::report::Note;
use crate::steward;
use crate::store::{Listing, News, Unreadable};

/// Interval between heartbeats of a steward; its free capacity changes within tens of milliseconds.
const STEWARD_BEATS_EVERY: Duration = Duration::from_millis(100);
/// Interval between heartbeats of other hosts: a third of the silence after which they count as lost.
const OTHERS_BEAT_EVERY: Duration = Duration::from_millis(250);
/// Interval between attempts to reach hosts that are not heard from. The first message of a new session
/// tells a host that its peer had lost it. The host must then stop the peer's tasks before a caller
/// retries, 1.3 s after the loss.
const CONTACT_EVERY: Duration = Duration::from_millis(250);
/// Interval between messages that share learned speeds of targets and kinds, which would otherwise be
/// lost with this host.
const TEACH_EVERY: Duration = Duration::from_secs(1);
/// Kinds in one message that shares learned speeds. Their trends take about half a kilobyte, sent from
/// each steward to each host.
const KINDS_TAUGHT: usize = 8;
/// Shortest interval between requests for the configuration and the list of targets.
const ASK_EVERY: Duration = Duration::from_millis(300);

impl State {
    /// Records that a peer was heard from. `fresh` means that it started a new session, which voids all of
    /// its earlier requests.
    pub(super) fn hear(&mut self, card: &Card, fresh: bool, now: Instant) {
        let replaced = self.roster.peer(&card.host).is_some_and(|peer| peer.card != *card);
        if fresh || replaced {
            self.part_with(&card.host, now);
        }
        self.contacts.remove(&card.address);
        if self.roster.hear(card, now) {
            let peer = card.host.clone();
            self.note(Note::PeerFound { peer, incarnation: card.incarnation });
            let mut cards: Vec<Card> = self.roster.alive().map(|peer| peer.card.clone()).collect();
            cards.push(self.roster.me().clone());
            self.send(card.address, Message::Hosts(cards));
            // Send the new host a heartbeat at once.
            self.beaten = None;
        }
    }

    pub(super) fn message(&mut self, from: &Card, message: Message, now: Instant) {
        match message {
            Message::Beat(beat) => self.take_beat(from, beat, now),
            Message::Hosts(cards) => self.meet(&cards),
            Message::Run(bundle) => self.run(&from.host, bundle, now),
            Message::Bid(bids) => self.take_bids(&from.host, &bids, now),
            Message::Grant(grants) => self.take_grants(&from.host, &grants, now),
            Message::Withdraw(stands) => self.steward.withdraw(&from.host, &stands),
            Message::Cancel(job, opening) => {
                self.steward.cancel(&from.host, &job, opening);
            }
            Message::Ended(endings, load) => {
                self.roster.set_load(&from.host, load);
                for ending in endings {
                    self.ended(&from.host, &ending, now);
                }
            }
            Message::Ask => {
                if let Some(document) = self.holder.document().cloned() {
                    self.send(from.address, Message::Document(document));
                }
                let entries = self.directory.iter().cloned().collect();
                self.send(from.address, Message::Targets(entries));
            }
            Message::Document(document) => {
                let version = document.version;
                if self.holder.offer(document) {
                    self.note(Note::InForce { version, from: "a peer" });
                }
            }
            Message::Learned { targets, kinds } => {
                self.speeds.hear_kinds(&from.host, kinds);
                // This host learns the speeds of its own targets itself.
                let targets = targets.into_iter().filter(|(target, _)| !self.steward.has(target));
                self.speeds.hear(targets.collect(), now);
            }
            Message::Targets(entries) => {
                if self.directory.hear(entries) {
                    let known = self.directory.iter().count();
                    self.note(Note::Targets { known, unreadable: 0 });
                }
            }
        }
    }

    fn take_beat(&mut self, from: &Card, beat: Beat, now: Instant) {
        let newer = beat.version > self.holder.version();
        let knows = self.directory.is_empty() && beat.knows_targets;
        let asked = self.asked.is_some_and(|at| now.duration_since(at) < ASK_EVERY);
        if (newer || knows) && !asked {
            self.asked = Some(now);
            self.send(from.address, Message::Ask);
        }
        for claim in &beat.claims {
            self.mint.observe(claim.token);
        }
        self.roster.beat(&from.host, beat);
    }

    /// Adds unknown hosts to those that are contacted until they are heard from.
    fn meet(&mut self, cards: &[Card]) {
        for card in cards {
            let known = self.roster.peer(&card.host).is_some_and(|peer| peer.alive);
            if card.host != self.roster.me().host && !known {
                self.contacts.insert(card.address);
            }
        }
    }

    pub(super) fn news(&mut self, news: News, now: Instant) {
        match news {
            News::Document(document) => {
                let version = document.version;
                if self.holder.offer(document) {
                    self.note(Note::InForce { version, from: "the store" });
                }
            }
            News::Targets(Listing { entries, unreadable }) => {
                let before = self.directory.iter().count();
                let odd = unreadable.len();
                let news = self.told_targets.list(unreadable);
                self.note_unreadable(news);
                self.directory.read(entries, now);
                let known = self.directory.iter().count();
                if known != before || odd != self.unreadable {
                    self.unreadable = odd;
                    self.note(Note::Targets { known, unreadable: odd });
                }
            }
            News::Hosts(Listing { entries, unreadable }) => {
                let news = self.told_hosts.list(unreadable);
                self.note_unreadable(news);
                self.meet(&entries);
            }
            News::Unreadable(one) => {
                let news = self.told_configuration.list(vec![one]);
                self.note_unreadable(news);
            }
            News::Lost(failure) => self.note(Note::StoreLost { failure }),
            News::Regained => self.note(Note::StoreRegained),
        }
    }

    fn note_unreadable(&mut self, unreadable: Vec<Unreadable>) {
        for Unreadable { key, revision, why } in unreadable {
            self.note(Note::Unreadable { key, revision, why });
        }
    }

    pub(super) fn link_lost(&mut self, address: SocketAddr, refused: bool, now: Instant) {
        let peer = self.roster.peers().find(|peer| peer.card.address == address);
        let Some(host) = peer.map(|peer| peer.card.host.clone()) else {
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
        let heard = self.roster.peer(host).map(|peer| peer.heard);
        if self.roster.lose(host, refused) {
            let silent = heard.map(|at| now.duration_since(at)).unwrap_or_default();
            self.note(Note::PeerLost { peer: host.clone(), why, silent });
        }
        self.part_with(host, now);
        // Contact the peer at once: if it is alive, the first message of the new session tells it that it
        // was lost.
        self.contacted = None;
    }

    /// Drops a peer's tasks here, and gives up own jobs that have tasks at the peer.
    fn part_with(&mut self, host: &Host, now: Instant) {
        self.steward.forget(host);
        self.give_up_with(host, now);
    }

    pub(super) fn tend_members(&mut self, now: Instant) {
        for host in self.roster.silent(now) {
            if let Some(peer) = self.roster.peer(&host) {
                let address = peer.card.address;
                self.out.push(super::Action::Disconnect(address));
            }
            self.lose(&host, false, "it was not heard", now);
        }
        let mut zones: Vec<Zone> = self.directory.iter().map(|entry| entry.zone.clone()).collect();
        zones.sort();
        zones.dedup();
        self.roster.settle(zones.iter().cloned(), now);
        self.tend_claims(&zones, now);
    }

    fn tend_claims(&mut self, zones: &[Zone], now: Instant) {
        let claimed = self.roster.claims.iter().map(|claim| claim.zone.clone());
        let yielded: Vec<Zone> = claimed.filter(|zone| self.roster.should_yield(zone)).collect();
        self.yield_zones(&yielded, now);
        for zone in zones {
            if self.roster.should_claim(zone, now) {
                let token = self.mint.next(self.clock.wall());
                self.roster.claims.push(Claim { zone: zone.clone(), token });
                self.note(Note::Steward { zone: zone.clone(), token });
                // Announce the claim at once.
                self.beaten = None;
            }
        }
    }

    /// Gives up claims on zones. Queued tasks are returned with the last claim.
    pub(super) fn yield_zones(&mut self, zones: &[Zone], now: Instant) {
        for zone in zones {
            self.roster.claims.retain(|claim| claim.zone != *zone);
            self.note(Note::Yielded { zone: zone.clone() });
        }
        if !zones.is_empty() && self.roster.claims.is_empty() {
            let mut out = steward::Output::default();
            self.steward.hand_back(&mut out);
            self.deliver(out, now);
        }
    }

    pub(super) fn beat(&mut self, now: Instant) {
        let steward = !self.roster.claims.is_empty();
        let every = if steward { STEWARD_BEATS_EVERY } else { OTHERS_BEAT_EVERY };
        let due = |at: Option<Instant>, every| at.is_none_or(|at| now.duration_since(at) >= every);
        if due(self.beaten, every) {
            self.beaten = Some(now);
            let beat = self.own_beat(now);
            let alive: Vec<_> = self.roster.alive().map(|peer| peer.card.address).collect();
            for address in alive {
                self.send(address, Message::Beat(beat.clone()));
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

    /// Sends learned speeds of kinds to all peers, and those of own targets to peers of the same zone, which
    /// may replace this host as steward.
    fn teach(&mut self, now: Instant) {
        let mut kinds = self.speeds.kinds();
        kinds.truncate(KINDS_TAUGHT);
        let mut targets = self.speeds.targets(now);
        targets.retain(|(target, _)| self.steward.has(target));
        let me = self.roster.me();
        let peers = self.roster.alive().map(|peer| (peer.card.address, peer.card.zone == me.zone));
        let peers: Vec<(SocketAddr, bool)> = peers.collect();
        for (address, is_near) in peers {
            let targets = if is_near { targets.clone() } else { Vec::new() };
            self.send(address, Message::Learned { targets, kinds: kinds.clone() });
        }
    }

    /// Sends a heartbeat to all known hosts that are not alive.
    fn contact(&mut self, now: Instant) {
        let beat = self.own_beat(now);
        let lost = self.roster.peers().filter(|peer| !peer.alive).map(|peer| peer.card.address);
        let mut addresses: Vec<SocketAddr> = self.contacts.iter().copied().chain(lost).collect();
        addresses.retain(|address| *address != self.roster.me().address);
        addresses.sort();
        addresses.dedup();
        for address in addresses {
            self.send(address, Message::Beat(beat.clone()));
        }
    }

    fn own_beat(&self, now: Instant) -> Beat {
        Beat {
            claims: self.roster.claims.clone(),
            held: self.steward.held(&self.roster),
            leaving: self.roster.leaving,
            load: self.steward.load(&self.roster, &self.speeds, now),
            version: self.holder.version(),
            knows_targets: !self.directory.is_empty(),
        }
    }
}
