//! Members known to this entry.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Zone};
use coltsfootshunt_core::submission::Incarnation;

use super::{Heartbeat, Peer, Status};
use crate::loan::Candidate;

/// Time between heartbeat exchanges with a peer.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Silence after which a peer counts as failed.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(3_400);
/// Silence after which a peer known through delegates counts as failed.
const INDIRECT_PEER_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of entries of each zone that exchange heartbeats with other zones.
const DELEGATES_PER_ZONE: usize = 2;
/// Number of rounds in which an address without a known peer is contacted every time.
const FREQUENT_CONTACT_ROUNDS: u32 = 20;
/// Number of rounds between contacts afterwards.
const RARE_CONTACT_INTERVAL_ROUNDS: u32 = 10;
/// Rounds after which the address is dropped, unless the platform service lists it again.
const MAX_CONTACT_ROUNDS: u32 = 1_200;
/// Number of rounds after which a heartbeat lists the other members even if none changed.
const FULL_LIST_INTERVAL_ROUNDS: u64 = 6;
/// Number of replaced incarnations that are remembered. More restarts than that don't happen while
/// a peer still reports one of them.
const MAX_ENDED: usize = 256;

/// Identity of this entry.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Host of the entry.
    pub host: Host,
    /// Availability zone of the entry.
    pub zone: Zone,
    /// Identifier of this run of the process.
    pub incarnation: Incarnation,
    /// Address at which peers reach the entry.
    pub address: SocketAddr,
    /// Capacity of the entry relative to other entries.
    pub weight: u32,
}

/// This entry and its live peers.
#[derive(Debug)]
pub struct Membership {
    identity: Identity,
    peers: BTreeMap<Incarnation, Peer>,
    /// Addresses at which no peer is known, and for how many rounds they have been contacted.
    contacts: BTreeMap<SocketAddr, u32>,
    /// Addresses of peers that failed without announcing their shutdown, and when they were last
    /// heard.
    missing: BTreeMap<SocketAddr, Instant>,
    /// Peers that were replaced by a later incarnation since the last call of
    /// [`Self::remove_failed`].
    replaced: Vec<Peer>,
    /// Incarnations that were replaced, oldest first. Incarnations have no order, so late word of
    /// one of them would otherwise count as a new member.
    ended: VecDeque<Incarnation>,
    /// Members that were last listed to each peer.
    listed: BTreeMap<Incarnation, Vec<Status>>,
    round: u64,
    change_count: u64,
}

impl Membership {
    /// Creates a membership of this entry only. `contacts` are addresses at which peers may be.
    #[must_use]
    pub fn new(identity: Identity, contacts: impl IntoIterator<Item = SocketAddr>) -> Self {
        let contacts = contacts.into_iter().map(|address| (address, 0)).collect();
        Self {
            identity,
            peers: BTreeMap::new(),
            contacts,
            missing: BTreeMap::new(),
            replaced: Vec::new(),
            ended: VecDeque::new(),
            listed: BTreeMap::new(),
            round: 0,
            change_count: 0,
        }
    }

    /// Identity of this entry.
    #[must_use]
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Number of changes so far that affect the assignment of targets to stewards: to the set of
    /// members, their weights, and which of them are shutting down.
    #[must_use]
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Number of the current heartbeat round.
    #[must_use]
    pub fn round_number(&self) -> u64 {
        self.round
    }

    /// Adds addresses at which peers may be.
    pub fn add_contacts(&mut self, contacts: impl IntoIterator<Item = SocketAddr>) {
        for address in contacts {
            self.contacts.entry(address).or_default();
        }
        self.contacts.remove(&self.identity.address);
    }

    /// Records a peer's heartbeat and the members that it reports. Ignores that of an incarnation
    /// that was replaced.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) {
        if self.ended.contains(&heartbeat.status.incarnation) {
            return;
        }
        self.update(heartbeat.status.clone(), now, true);
        match &heartbeat.others {
            Some(others) => self.apply_list(others, &heartbeat.status, now),
            None => self.confirm_list(&heartbeat.status, now),
        }
    }

    /// Records that a peer's host refused a connection: the process has ended, or a network
    /// partition rejects connections.
    pub fn mark_refusing(&mut self, incarnation: Incarnation) {
        if let Some(peer) = self.peers.get_mut(&incarnation) {
            peer.is_refusing = true;
        }
    }

    /// Whether a peer failed so recently that it may still return, since a refused connection does
    /// not prove that its process has ended.
    #[must_use]
    pub fn awaits_missing(&self, now: Instant) -> bool {
        self.missing.values().any(|last_heard| now.duration_since(*last_heard) <= PEER_TIMEOUT)
    }

    /// Removes and returns the peers that have failed. Those that were replaced by a later
    /// incarnation at their address are removed before, and returned too.
    pub fn remove_failed(&mut self, now: Instant) -> Vec<Peer> {
        let has_failed = |peer: &Peer| {
            let timeout = if peer.is_direct { PEER_TIMEOUT } else { INDIRECT_PEER_TIMEOUT };
            peer.is_refusing || now.duration_since(peer.last_heard) > timeout
        };
        self.missing.retain(|_, last_heard| now.duration_since(*last_heard) <= PEER_TIMEOUT);
        let mut failed: Vec<_> =
            self.peers.values().filter(|peer| has_failed(peer)).cloned().collect();
        for peer in &failed {
            self.remove(peer.status.incarnation);
            // The peer may only be unreachable, so its address is contacted again.
            self.contacts.insert(peer.status.address, 0);
            if !peer.status.draining {
                self.missing.insert(peer.status.address, peer.last_heard);
            }
        }
        failed.append(&mut self.replaced);
        failed
    }

    /// Removes a peer.
    pub fn remove(&mut self, incarnation: Incarnation) {
        self.listed.remove(&incarnation);
        if self.peers.remove(&incarnation).is_some() {
            self.change_count += 1;
        }
    }

    /// Starts a heartbeat round and returns the addresses to send heartbeats to. Of two peers that
    /// know each other, the one with the lower incarnation starts the exchange.
    pub fn start_round(&mut self) -> Vec<SocketAddr> {
        self.round += 1;
        let due_contacts = self.due_contacts();
        let is_delegate = self.is_delegate();
        let due_peers = self.peers.values().filter(|peer| {
            let in_own_zone = peer.status.zone == self.identity.zone;
            let between_delegates =
                is_delegate && self.delegates(&peer.status.zone).contains(&peer.status.incarnation);
            (in_own_zone || between_delegates) && self.starts_exchange(peer)
        });
        let all: BTreeSet<_> =
            due_peers.map(|peer| peer.status.address).chain(due_contacts).collect();
        all.into_iter().collect()
    }

    /// Whether this entry is a delegate of its zone.
    #[must_use]
    pub fn is_delegate(&self) -> bool {
        self.delegates(&self.identity.zone).contains(&self.identity.incarnation)
    }

    /// Members to list in a heartbeat to a peer, or `None` for a heartbeat without a list. All
    /// members are listed to peers of the own zone and to peers that are not known yet, the members
    /// of the own zone to peers of other zones. A delegate sends the list again when it changed, and
    /// now and then unchanged; other entries send it at first contact only. `status` is that of
    /// this entry.
    pub fn members_for(&mut self, to: Option<Incarnation>, status: &Status) -> Option<Vec<Status>> {
        let to = to?;
        let listed = self.listed.get(&to);
        if listed.is_some() && !self.is_delegate() {
            return None;
        }
        let in_own_zone =
            self.peers.get(&to).is_none_or(|peer| peer.status.zone == self.identity.zone);
        let reported = self.peers.values().map(|peer| &peer.status).filter(|other| {
            let is_reported = in_own_zone || other.zone == self.identity.zone;
            other.incarnation != to && is_reported
        });
        let mut others: Vec<_> = reported.cloned().collect();
        if !in_own_zone {
            others.push(status.clone());
        }
        let is_same = listed.is_some_and(|listed| equal_except_load(listed, &others));
        if is_same && !self.round.is_multiple_of(FULL_LIST_INTERVAL_ROUNDS) {
            return None;
        }
        self.listed.insert(to, others.clone());
        Some(others)
    }

    /// Looks up a peer.
    #[must_use]
    pub fn get(&self, incarnation: Incarnation) -> Option<&Peer> {
        self.peers.get(&incarnation)
    }

    /// All live peers.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Members that share the targets of a zone, with their weights: those of that zone, or all
    /// members if the zone has none. Peers that are shutting down are left out, and this entry if
    /// `draining` is set.
    #[must_use]
    pub fn stewards(&self, zone: &Zone, draining: bool) -> Vec<(Incarnation, u32)> {
        let mut all = Vec::new();
        if !draining {
            let me = &self.identity;
            all.push((me.zone.clone(), me.incarnation, me.weight));
        }
        let peers = self.peers.values().map(|peer| &peer.status).filter(|status| !status.draining);
        all.extend(peers.map(|s| (s.zone.clone(), s.incarnation, s.weight)));
        let has_members = all.iter().any(|(member_zone, ..)| member_zone == zone);
        let sharing =
            all.into_iter().filter(|(member_zone, ..)| !has_members || member_zone == zone);
        sharing.map(|(_, incarnation, weight)| (incarnation, weight)).collect()
    }

    /// Peers that may lend slots.
    #[must_use]
    pub fn candidates(&self) -> Vec<Candidate> {
        let eligible = self.peers.values().filter(|peer| !peer.status.draining);
        let candidate = |peer: &Peer| Candidate {
            peer: peer.status.incarnation,
            is_same_zone: peer.status.zone == self.identity.zone,
            idle: peer.status.idle,
            waiting: peer.status.waiting,
        };
        eligible.map(candidate).collect()
    }

    /// Updates a peer's number of free slots between its heartbeats.
    pub fn set_idle(&mut self, incarnation: Incarnation, idle: u32) {
        if let Some(peer) = self.peers.get_mut(&incarnation) {
            peer.status.idle = idle;
        }
    }

    /// Peer that takes over this entry's records at shutdown, preferably one of the same zone.
    #[must_use]
    pub fn successor(&self) -> Option<&Peer> {
        let eligible = self.peers.values().filter(|peer| !peer.status.draining);
        eligible
            .min_by_key(|peer| (peer.status.zone != self.identity.zone, peer.status.incarnation))
    }

    /// Peer that answers requests for an incarnation's submissions: the owner itself, or the peer
    /// that its records were handed over to.
    #[must_use]
    pub fn responsible_for(&self, incarnation: Incarnation) -> Option<&Peer> {
        let successor = || self.peers.values().find(|p| p.status.inherited.contains(&incarnation));
        self.peers.get(&incarnation).or_else(successor)
    }

    /// Addresses without a known peer that are to be contacted in this round.
    fn due_contacts(&mut self) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for (address, rounds) in &mut self.contacts {
            *rounds += 1;
            if *rounds <= FREQUENT_CONTACT_ROUNDS
                || rounds.is_multiple_of(RARE_CONTACT_INTERVAL_ROUNDS)
            {
                due.push(*address);
            }
        }
        self.contacts.retain(|_, rounds| *rounds < MAX_CONTACT_ROUNDS);
        due
    }

    /// Adds or updates the peer with this status. `is_direct` says that it comes from the peer
    /// itself.
    fn update(&mut self, status: Status, now: Instant, is_direct: bool) {
        let is_me = status.incarnation == self.identity.incarnation;
        if is_me || self.ended.contains(&status.incarnation) {
            return;
        }
        if is_direct {
            self.remove_predecessor(&status);
        }
        let known = self.peers.get(&status.incarnation).map(|peer| &peer.status);
        let is_same = known.is_some_and(|known| {
            known.draining == status.draining && known.weight == status.weight
        });
        self.change_count += u64::from(!is_same);
        self.contacts.remove(&status.address);
        self.missing.remove(&status.address);
        let peer = Peer { last_heard: now, is_direct, is_refusing: false, is_listed: true, status };
        self.peers.insert(peer.status.incarnation, peer);
    }

    /// Removes an earlier incarnation at the same address, which must have ended.
    fn remove_predecessor(&mut self, status: &Status) {
        let predecessor = self.peers.values().find(|peer| {
            peer.status.address == status.address && peer.status.incarnation != status.incarnation
        });
        if let Some(predecessor) = predecessor.cloned() {
            self.remove(predecessor.status.incarnation);
            self.ended.push_back(predecessor.status.incarnation);
            if self.ended.len() > MAX_ENDED {
                self.ended.pop_front();
            }
            self.replaced.push(predecessor);
        }
    }

    /// Applies the list of members in a delegate's heartbeat. Members that the delegate is
    /// responsible for and leaves out are no longer kept alive by its later heartbeats.
    fn apply_list(&mut self, others: &[Status], delegate: &Status, now: Instant) {
        let in_own_zone = self.identity.zone == delegate.zone;
        for peer in self.peers.values_mut() {
            if peer.is_reported_by(delegate, in_own_zone) && peer.is_indirect(now) {
                peer.is_listed = false;
            }
        }
        for status in others {
            let is_indirect =
                self.peers.get(&status.incarnation).is_none_or(|p| p.is_indirect(now));
            if is_indirect {
                self.update(status.clone(), now, false);
            }
        }
    }

    /// Handles a delegate's heartbeat without a list: all members that it listed before are alive.
    fn confirm_list(&mut self, delegate: &Status, now: Instant) {
        if !self.delegates(&delegate.zone).contains(&delegate.incarnation) {
            return;
        }
        let in_own_zone = self.identity.zone == delegate.zone;
        for peer in self.peers.values_mut() {
            if peer.is_listed && peer.is_reported_by(delegate, in_own_zone) && peer.is_indirect(now)
            {
                peer.last_heard = now;
                peer.is_direct = false;
            }
        }
    }

    /// Delegates of a zone: the members with the lowest incarnations.
    fn delegates(&self, zone: &Zone) -> BTreeSet<Incarnation> {
        let peers = self.peers.values().map(|peer| &peer.status);
        let members = peers.filter(|status| status.zone == *zone).map(|status| status.incarnation);
        let mut members: BTreeSet<_> = members.collect();
        if *zone == self.identity.zone {
            members.insert(self.identity.incarnation);
        }
        members.into_iter().take(DELEGATES_PER_ZONE).collect()
    }

    /// Whether this entry starts the exchange with `peer`. It also does if the peer was not heard
    /// directly, because the peer may not know it.
    fn starts_exchange(&self, peer: &Peer) -> bool {
        self.identity.incarnation < peer.status.incarnation || !peer.is_direct
    }
}

fn equal_except_load(listed: &[Status], others: &[Status]) -> bool {
    listed.len() == others.len() && listed.iter().zip(others).all(|(a, b)| a.equals_except_load(b))
}
