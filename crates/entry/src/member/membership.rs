//! All members that this entry knows.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Zone};
use coltsfootshunt_core::submission::Incarnation;

use super::{Heartbeat, Peer, Status};
use crate::loan::Candidate;

/// Time between exchanges with one peer.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a word after which a peer counts as failed.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(3_400);
/// The same for peers that are heard of through delegates.
const FAIL_FAR_AFTER: Duration = Duration::from_secs(10);
/// Delegates in each zone.
const DELEGATES: usize = 2;
/// Rounds in which an address that does not answer is tried each time.
const EAGER_TRIES: u32 = 20;
/// Afterwards it is tried once in so many rounds.
const RARE_EVERY: u32 = 10;
/// Rounds after which it is forgotten, unless the platform names it again.
const MAX_TRIES: u32 = 1_200;
/// Every so many exchanges the other members are named even if nothing changed.
const FULL_EVERY: u64 = 6;

/// What this entry says of itself.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its host.
    pub host: Host,
    /// Its zone.
    pub zone: Zone,
    /// This run.
    pub incarnation: Incarnation,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Its size against other entries.
    pub weight: u32,
}

/// The members.
#[derive(Debug)]
pub struct Membership {
    identity: Identity,
    peers: BTreeMap<Incarnation, Peer>,
    contacts: BTreeMap<SocketAddr, u32>,
    /// Peers that were forgotten without a word of theirs, and when each was last heard.
    missing: BTreeMap<SocketAddr, Instant>,
    told: BTreeMap<Incarnation, Vec<Status>>,
    round: u64,
    changes: u64,
}

impl Membership {
    /// Knows nobody yet, but where to ask.
    #[must_use]
    pub fn new(identity: Identity, contacts: impl IntoIterator<Item = SocketAddr>) -> Self {
        let contacts = contacts.into_iter().map(|address| (address, 0)).collect();
        Self {
            identity,
            peers: BTreeMap::new(),
            contacts,
            missing: BTreeMap::new(),
            told: BTreeMap::new(),
            round: 0,
            changes: 0,
        }
    }

    /// This entry.
    #[must_use]
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Counts changes of the set of members; a new number means another set.
    #[must_use]
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// Number of the newest round of heartbeats.
    #[must_use]
    pub fn round_number(&self) -> u64 {
        self.round
    }

    /// Adds addresses where peers may be.
    pub fn add_contacts(&mut self, contacts: impl IntoIterator<Item = SocketAddr>) {
        for address in contacts {
            self.contacts.entry(address).or_default();
        }
        self.contacts.remove(&self.identity.address);
    }

    /// Takes in a peer's word.
    pub fn record_heartbeat(&mut self, beat: &Heartbeat, now: Instant) {
        self.learn(beat.status.clone(), now, true);
        match &beat.others {
            Some(others) => self.hear_of(others, &beat.status, now),
            None => self.vouch(&beat.status, now),
        }
    }

    /// A peer's host refused a connection: the process is gone, or it is behind a cut.
    pub fn mark_refusing(&mut self, incarnation: Incarnation) {
        if let Some(peer) = self.peers.get_mut(&incarnation) {
            peer.is_refusing = true;
        }
    }

    /// Whether a peer that was forgotten may answer again soon: a refused connection is no proof
    /// of its end.
    #[must_use]
    pub fn awaits_missing(&self, now: Instant) -> bool {
        self.missing.values().any(|heard| now.duration_since(*heard) <= PEER_TIMEOUT)
    }

    /// Forgets members that have failed. Returns them.
    pub fn remove_failed(&mut self, now: Instant) -> Vec<Peer> {
        let failed = |peer: &Peer| {
            let limit = if peer.is_direct { PEER_TIMEOUT } else { FAIL_FAR_AFTER };
            peer.is_refusing || now.duration_since(peer.last_heard) > limit
        };
        self.missing.retain(|_, heard| now.duration_since(*heard) <= PEER_TIMEOUT);
        let dead: Vec<_> = self.peers.values().filter(|peer| failed(peer)).cloned().collect();
        for peer in &dead {
            self.remove(peer.status.incarnation);
            // It may only be out of reach; it is asked again until it answers.
            self.contacts.insert(peer.status.address, 0);
            if !peer.status.draining {
                self.missing.insert(peer.status.address, peer.last_heard);
            }
        }
        dead
    }

    /// Forgets a member.
    pub fn remove(&mut self, incarnation: Incarnation) {
        self.told.remove(&incarnation);
        if self.peers.remove(&incarnation).is_some() {
            self.changes += 1;
        }
    }

    /// Addresses to exchange heartbeats with in this round. Of two peers that know each other,
    /// the one with the lower incarnation starts the exchange.
    pub fn start_round(&mut self) -> Vec<SocketAddr> {
        self.round += 1;
        let strangers = self.strangers();
        let delegate = self.is_delegate();
        let mine = self.peers.values().filter(|peer| {
            let near = peer.status.zone == self.identity.zone;
            let far =
                delegate && self.delegates(&peer.status.zone).contains(&peer.status.incarnation);
            (near || far) && self.starts(peer)
        });
        let all: BTreeSet<_> = mine.map(|peer| peer.status.address).chain(strangers).collect();
        all.into_iter().collect()
    }

    /// Whether this entry is one of its zone's delegates.
    #[must_use]
    pub fn is_delegate(&self) -> bool {
        self.delegates(&self.identity.zone).contains(&self.identity.incarnation)
    }

    /// Members to name to a peer; none if it has heard them all. A delegate names all it knows
    /// inside its zone and its own zone to others; anybody names all it knows at first contact.
    pub fn members_for(&mut self, to: Option<Incarnation>, brief: &Status) -> Option<Vec<Status>> {
        let to = to?;
        let told = self.told.get(&to);
        if told.is_some() && !self.is_delegate() {
            return None;
        }
        let inside = self.peers.get(&to).is_none_or(|peer| peer.status.zone == self.identity.zone);
        let named = self.peers.values().map(|peer| &peer.status).filter(|other| {
            let known_zone = inside || other.zone == self.identity.zone;
            other.incarnation != to && known_zone
        });
        let mut others: Vec<_> = named.cloned().collect();
        if !inside {
            others.push(brief.clone());
        }
        let same = told.is_some_and(|told| are_like(told, &others));
        if same && !self.round.is_multiple_of(FULL_EVERY) {
            return None;
        }
        self.told.insert(to, others.clone());
        Some(others)
    }

    /// The peer with this incarnation.
    #[must_use]
    pub fn get(&self, incarnation: Incarnation) -> Option<&Peer> {
        self.peers.get(&incarnation)
    }

    /// All peers.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Members and weights that share the targets of a zone: those of that zone, or all that are
    /// known where the zone has none.
    #[must_use]
    pub fn stewards(&self, zone: &Zone, draining: bool) -> Vec<(Incarnation, u32)> {
        let mut all = Vec::new();
        if !draining {
            let me = &self.identity;
            all.push((me.zone.clone(), me.incarnation, me.weight));
        }
        let peers = self.peers.values().map(|peer| &peer.status).filter(|brief| !brief.draining);
        all.extend(peers.map(|b| (b.zone.clone(), b.incarnation, b.weight)));
        let near = all.iter().any(|(member_zone, ..)| member_zone == zone);
        let shares = all.into_iter().filter(|(member_zone, ..)| !near || member_zone == zone);
        shares.map(|(_, incarnation, weight)| (incarnation, weight)).collect()
    }

    /// Peers that may lend slots.
    #[must_use]
    pub fn candidates(&self) -> Vec<Candidate> {
        let able = self.peers.values().filter(|peer| !peer.status.draining);
        let candidate = |peer: &Peer| Candidate {
            peer: peer.status.incarnation,
            is_same_zone: peer.status.zone == self.identity.zone,
            idle: peer.status.idle,
            waiting: peer.status.waiting,
        };
        able.map(candidate).collect()
    }

    /// Notes what a peer has free, between its heartbeats.
    pub fn set_idle(&mut self, incarnation: Incarnation, idle: u32) {
        if let Some(peer) = self.peers.get_mut(&incarnation) {
            peer.status.idle = idle;
        }
    }

    /// The entry that gets this one's records when it stops.
    #[must_use]
    pub fn successor(&self) -> Option<&Peer> {
        let able = self.peers.values().filter(|peer| !peer.status.draining);
        able.min_by_key(|peer| (peer.status.zone != self.identity.zone, peer.status.incarnation))
    }

    /// The member that answers for an incarnation: itself, or the one that holds its records.
    #[must_use]
    pub fn answers_for(&self, incarnation: Incarnation) -> Option<&Peer> {
        let heir = || self.peers.values().find(|p| p.status.inherited.contains(&incarnation));
        self.peers.get(&incarnation).or_else(heir)
    }

    /// Addresses of nobody known that are due for a try.
    fn strangers(&mut self) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for (address, tries) in &mut self.contacts {
            *tries += 1;
            if *tries <= EAGER_TRIES || tries.is_multiple_of(RARE_EVERY) {
                due.push(*address);
            }
        }
        self.contacts.retain(|_, tries| *tries < MAX_TRIES);
        due
    }

    fn learn(&mut self, brief: Status, now: Instant, direct: bool) {
        if brief.incarnation == self.identity.incarnation {
            return;
        }
        if direct {
            self.replace(&brief);
        }
        let known = self.peers.get(&brief.incarnation).map(|peer| &peer.status);
        let same = known
            .is_some_and(|known| known.draining == brief.draining && known.weight == brief.weight);
        self.changes += u64::from(!same);
        self.contacts.remove(&brief.address);
        self.missing.remove(&brief.address);
        let peer = Peer {
            last_heard: now,
            is_direct: direct,
            is_refusing: false,
            is_listed: true,
            status: brief,
        };
        self.peers.insert(peer.status.incarnation, peer);
    }

    /// A new incarnation at an address means that the former one there is gone.
    fn replace(&mut self, brief: &Status) {
        let former = self.peers.values().find(|peer| {
            peer.status.address == brief.address && peer.status.incarnation != brief.incarnation
        });
        if let Some(incarnation) = former.map(|peer| peer.status.incarnation) {
            self.remove(incarnation);
        }
    }

    /// Takes in the members that a delegate names. Those it leaves out are vouched for no more.
    fn hear_of(&mut self, others: &[Status], by: &Status, now: Instant) {
        let inside = self.identity.zone == by.zone;
        for peer in self.peers.values_mut() {
            if peer.covered(by, inside) && peer.is_indirect(now) {
                peer.is_listed = false;
            }
        }
        for brief in others {
            let indirect = self.peers.get(&brief.incarnation).is_none_or(|p| p.is_indirect(now));
            if indirect {
                self.learn(brief.clone(), now, false);
            }
        }
    }

    /// A delegate that names nobody says that all it named before still live.
    fn vouch(&mut self, by: &Status, now: Instant) {
        if !self.delegates(&by.zone).contains(&by.incarnation) {
            return;
        }
        let inside = self.identity.zone == by.zone;
        for peer in self.peers.values_mut() {
            if peer.is_listed && peer.covered(by, inside) && peer.is_indirect(now) {
                peer.last_heard = now;
                peer.is_direct = false;
            }
        }
    }

    fn delegates(&self, zone: &Zone) -> BTreeSet<Incarnation> {
        let peers = self.peers.values().map(|peer| &peer.status);
        let members = peers.filter(|brief| brief.zone == *zone).map(|brief| brief.incarnation);
        let mut members: BTreeSet<_> = members.collect();
        if *zone == self.identity.zone {
            members.insert(self.identity.incarnation);
        }
        members.into_iter().take(DELEGATES).collect()
    }

    fn starts(&self, peer: &Peer) -> bool {
        self.identity.incarnation < peer.status.incarnation || !peer.is_direct
    }
}

fn are_like(told: &[Status], others: &[Status]) -> bool {
    told.len() == others.len() && told.iter().zip(others).all(|(a, b)| a.is_like(b))
}
