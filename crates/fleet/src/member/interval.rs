//! How often a host sends heartbeats to each peer, and how long it waits for those of the peer.
//!
//! Load pattern: hundreds of hosts, of which few pairs have work in common. A host is watched closely where
//! its silence changes what this host does at once: by the hosts that have work with it, by its zone's
//! steward and the hosts that would follow that one. All other pairs only need to know that the other
//! exists. Each heartbeat says when the next one comes, and its receiver holds the sender to that.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Zone};

use super::membership::rank;
use super::{Identity, Membership, PEER_TIMEOUT, Peer};

/// Interval between the heartbeats of a steward to the hosts that it shares its free capacity with, which
/// changes within tens of milliseconds.
const STEWARD_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between heartbeats where the receiver acts on silence: a third of the silence after which a
/// host counts as lost.
pub const CLOSE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between heartbeats of hosts that have nothing in common. A host that ends or is cut off is then
/// known to all others within three seconds, as a batch that can't be delivered shows it.
pub const DISTANT_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of heartbeats per second from a steward, unless [`CLOSE_INTERVAL`] needs more.
const MAX_STEWARD_HEARTBEATS_PER_S: u32 = 100;
/// Time for which a host goes on as if it had common work with another one. The other one may learn later that
/// the work is over, and expects the close interval until then.
const WORK_HOLD: Duration = Duration::from_secs(1);
/// Number of hosts of a zone, the highest ranking ones, that are ready to follow its steward.
const SUCCESSORS: usize = 2;

/// What decides on the interval to each peer, worked out once for all of them.
#[derive(Debug)]
pub struct Intervals<'a> {
    membership: &'a Membership,
    /// Hosts of this host's zone that are ready to follow its steward.
    successors: BTreeSet<&'a Host>,
    /// Whether the zone of this host has a steward.
    has_own_steward: bool,
    /// Interval from this host to all others if it is a steward.
    steward: Duration,
}

impl<'a> Intervals<'a> {
    /// Works out what the intervals of a host depend on.
    #[must_use]
    pub fn new(membership: &'a Membership) -> Self {
        let zone = &membership.me().zone;
        let mut candidates: Vec<&Identity> = membership.candidates(zone).collect();
        candidates.sort_by_key(|identity| std::cmp::Reverse(rank(zone, identity)));
        let successors = candidates.into_iter().take(SUCCESSORS).map(|one| &one.host).collect();
        let round =
            Duration::from_secs(1) * u32::try_from(membership.alive().count()).unwrap_or(u32::MAX);
        Self {
            membership,
            successors,
            has_own_steward: membership.steward(zone).is_some(),
            steward: (round / MAX_STEWARD_HEARTBEATS_PER_S).clamp(STEWARD_INTERVAL, CLOSE_INTERVAL),
        }
    }

    /// Interval between heartbeats from this host to a peer.
    #[must_use]
    pub fn to(&self, peer: &Peer) -> Duration {
        let me = self.membership.me();
        let is_own_zone = peer.identity.zone == me.zone;
        if self.membership.serves_targets() {
            return self.steward;
        }
        // An earlier version, or a process that has not sent a heartbeat yet, expects the close interval.
        let tells_interval = peer.heartbeat.next_in_ms.is_some();
        let is_successor = |host| self.successors.contains(host);
        let is_close = !tells_interval
            || self.membership.has_busy_targets
            || self.membership.worked_at.contains_key(&peer.identity.host)
            || (is_own_zone && peer.serves_targets())
            || (is_own_zone && (is_successor(&me.host) || is_successor(&peer.identity.host)))
            || (!self.has_own_steward && (is_own_zone || peer.leads_zone()));
        if is_close { CLOSE_INTERVAL } else { DISTANT_INTERVAL }
    }
}

impl Peer {
    /// Interval after which the peer has announced its next heartbeat.
    #[must_use]
    pub fn announced_interval(&self) -> Duration {
        let announced = self.heartbeat.next_in_ms.map(|ms| Duration::from_millis(ms.into()));
        announced.unwrap_or(CLOSE_INTERVAL).clamp(CLOSE_INTERVAL, DISTANT_INTERVAL)
    }

    /// Silence after which the peer counts as lost.
    pub(super) fn timeout(&self) -> Duration {
        PEER_TIMEOUT * (self.announced_interval().as_millis() as u32)
            / (CLOSE_INTERVAL.as_millis() as u32)
    }
}

impl Membership {
    /// Sets the hosts that have tasks for this one, or tasks of it.
    pub fn set_working(&mut self, hosts: BTreeSet<Host>, now: Instant) {
        self.working_since.retain(|host, _| hosts.contains(host));
        self.worked_at.retain(|_, at| now.duration_since(*at) < WORK_HOLD);
        self.worked_at.extend(hosts.iter().map(|host| (host.clone(), now)));
        for host in hosts {
            self.working_since.entry(host).or_insert(now);
        }
    }

    /// Whether a host has tasks for this one, or tasks of it.
    #[must_use]
    pub fn works_with(&self, host: &Host) -> bool {
        self.working_since.contains_key(host)
    }

    /// Whether a peer counts as lost after [`PEER_TIMEOUT`] rather than later.
    #[must_use]
    pub fn is_watched_closely(&self, peer: &Peer) -> bool {
        self.works_with(&peer.identity.host) || peer.announced_interval() == CLOSE_INTERVAL
    }

    /// Peers that count as alive but have been silent for too long: for [`PEER_TIMEOUT`] if they have work
    /// with this host, or for their own timeout. The time before the start or the last pause of this
    /// process doesn't count.
    #[must_use]
    pub fn timed_out(&self, now: Instant) -> Vec<Host> {
        let timed_out = |peer: &&Peer| {
            let silent_since = peer.last_heard.max(self.started);
            let working_since = self.working_since.get(&peer.identity.host);
            let is_working_silent = working_since
                .is_some_and(|since| now.duration_since(silent_since.max(*since)) > PEER_TIMEOUT);
            is_working_silent || now.duration_since(silent_since) > peer.timeout()
        };
        self.alive().filter(timed_out).map(|peer| peer.identity.host.clone()).collect()
    }

    /// Peers to which a heartbeat is due, each with the interval until the next one. Counts them as sent.
    pub fn due_heartbeats(&mut self, now: Instant) -> Vec<(Host, Duration)> {
        let intervals = Intervals::new(self);
        let is_due = |peer: &Peer, interval: Duration| {
            peer.sent.is_none_or(|(at, announced)| {
                // A longer interval begins with a heartbeat that announces it.
                now.duration_since(at) >= interval.min(announced)
            })
        };
        let due = self.alive().map(|peer| (peer, intervals.to(peer)));
        let due = due.filter(|(peer, interval)| is_due(peer, *interval));
        let due: Vec<(Host, Duration)> =
            due.map(|(peer, interval)| (peer.identity.host.clone(), interval)).collect();
        for (host, interval) in &due {
            if let Some(peer) = self.peers.get_mut(host) {
                peer.sent = Some((now, *interval));
            }
        }
        due
    }

    /// Makes heartbeats to all peers due at once, because what they say has changed.
    pub fn announce(&mut self) {
        self.peers.values_mut().for_each(|peer| peer.sent = None);
    }

    /// Whether a zone has a steward.
    #[must_use]
    pub fn has_steward(&self, zone: &Zone) -> bool {
        self.steward(zone).is_some()
    }
}
