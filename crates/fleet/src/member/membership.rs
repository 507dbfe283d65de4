//! The view of this host on its peers, and the rules for claiming zones.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Target, Zone};
use xxhash_rust::xxh3::xxh3_64;

use super::split::{Member, Shares};
use super::word::{Origin, Words};
use super::{Claim, Heartbeat, Identity};

/// Silence after which a peer counts as lost that has work with this host, or is watched closely for another
/// reason: eight heartbeat intervals of a steward.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after its start during which a host claims no zone, so that it hears existing claims first: a
/// few heartbeat intervals of a steward.
const CLAIM_DELAY: Duration = Duration::from_millis(450);
/// Time without live hosts after which a zone is taken over by a host of another zone, if all its hosts
/// refuse connections or announced their shutdown. A host that refuses connections may be alive behind a
/// network partition; the targets' responses then show that it still gives them orders.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_500);
/// Takeover delay where hosts of the zone may be alive behind a network partition and still dispatch
/// tasks there. Most partitions are shorter. Also the time for which a target's evidence of another
/// host counts as recent.
const PARTITION_TAKEOVER_DELAY: Duration = Duration::from_secs(8);
/// Time for which a host that hears no peer claims nothing, because the peers may be on the other side of
/// a network partition.
const MAX_ISOLATION: Duration = Duration::from_secs(10);
/// Time since its last contact for which a lost host may still count as alive behind a partition.
const LOST_PEER_RETENTION: Duration = Duration::from_secs(60);

/// What this host knows of a peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Identity of the process that was heard last.
    pub identity: Identity,
    /// Its last heartbeat; the default value until the first one.
    pub heartbeat: Heartbeat,
    /// Time of the last batch from it.
    pub last_heard: Instant,
    /// Whether it counts as alive: it was neither silent for too long nor found unreachable since.
    pub is_alive: bool,
    /// Whether its address refused the last connection: its process ended, or a partition rejects
    /// connections.
    pub is_refusing: bool,
    /// Time of the last heartbeat to it, and the interval that this announced; `None` if one is due.
    pub(super) sent: Option<(Instant, Duration)>,
    pub(super) words: Words,
}

/// All hosts known to this one, with their claims.
#[derive(Debug)]
pub struct Membership {
    me: Identity,
    /// Start of this process, or the end of its last pause.
    pub(super) started: Instant,
    /// Origin of the stamps of this process.
    pub(super) origin: Origin,
    /// Time up to which this host has handled all events; none if it handles each at once.
    pub(super) handled_until: Option<Instant>,
    pub(super) peers: BTreeMap<Host, Peer>,
    /// Hosts that have work with this one, and since when.
    pub(super) working_since: BTreeMap<Host, Instant>,
    /// Hosts that have or recently had work with this one, and when that was known last.
    pub(super) worked_at: BTreeMap<Host, Instant>,
    /// Zones without a live host that is not stopping, and since when.
    vacant_since: BTreeMap<Zone, Instant>,
    /// Time at which a target of a zone last showed that it obeys another host.
    rival_seen: BTreeMap<Zone, Instant>,
    /// Since when no peer has been alive although some may be behind a partition.
    isolated_since: Option<Instant>,
    /// Zones that this host claims.
    pub claims: Vec<Claim>,
    /// Whether this host is shutting down.
    pub is_stopping: bool,
    /// Whether its tasks run on targets that it no longer holds, whose new steward waits for them.
    pub has_busy_targets: bool,
    /// The split of the targets of this host's zone.
    pub shares: Shares,
}

impl Peer {
    /// Whether the peer leads a zone.
    #[must_use]
    pub fn leads_zone(&self) -> bool {
        self.heartbeat.leads_zone()
    }

    /// Whether the peer gives orders to targets.
    #[must_use]
    pub fn serves_targets(&self) -> bool {
        self.heartbeat.serves_targets()
    }
}

impl Membership {
    /// Creates a membership that consists of this host only.
    #[must_use]
    pub fn new(me: Identity, now: Instant) -> Self {
        Self {
            origin: Origin::new(&me, now),
            handled_until: None,
            me,
            started: now,
            peers: BTreeMap::new(),
            working_since: BTreeMap::new(),
            worked_at: BTreeMap::new(),
            vacant_since: BTreeMap::new(),
            rival_seen: BTreeMap::new(),
            isolated_since: None,
            claims: Vec::new(),
            is_stopping: false,
            has_busy_targets: false,
            shares: Shares::default(),
        }
    }

    /// Identity of this host.
    #[must_use]
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// Looks up a peer, alive or not.
    #[must_use]
    pub fn peer(&self, host: &Host) -> Option<&Peer> {
        self.peers.get(host)
    }

    /// All peers ever heard, alive or not.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Largest share of the processor of a host that was ever heard, or of this one, in thousandths of a core.
    #[must_use]
    pub fn max_cpu_millis(&self) -> u32 {
        let peers = self.peers.values().map(|peer| peer.identity.cpu_millis);
        peers.fold(self.me.cpu_millis, u32::max)
    }

    /// Peers that are alive.
    pub fn alive(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| peer.is_alive)
    }

    /// Records that a host was heard. Returns whether it is new, was lost before, or has restarted.
    pub fn record_contact(&mut self, identity: &Identity, now: Instant) -> bool {
        if identity.host == self.me.host {
            return false;
        }
        self.isolated_since = None;
        let known = self.peers.get(&identity.host).filter(|peer| peer.identity == *identity);
        let is_new = known.is_none_or(|peer| !peer.is_alive);
        if is_new {
            let words = known.map(|peer| peer.words.clone()).unwrap_or_default();
            let heartbeat = Heartbeat::default();
            let identity = identity.clone();
            let peer = Peer {
                identity,
                heartbeat,
                last_heard: now,
                is_alive: true,
                is_refusing: false,
                sent: None,
                words,
            };
            self.peers.insert(peer.identity.host.clone(), peer);
        } else if let Some(peer) = self.peers.get_mut(&identity.host) {
            peer.last_heard = now;
        }
        is_new
    }

    /// Stores the heartbeat of a known peer.
    pub fn record_heartbeat(&mut self, host: &Host, heartbeat: Heartbeat) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.heartbeat = heartbeat;
        }
    }

    /// Replaces the load of a peer, to account for tasks sent to it since its last heartbeat. The load of one that
    /// has given up its targets since is outdated.
    pub fn set_load(&mut self, host: &Host, load: crate::routing::Load) {
        if let Some(peer) = self.peers.get_mut(host).filter(|peer| peer.serves_targets()) {
            peer.heartbeat.load = load;
        }
    }

    /// Marks a peer as lost. `refused` says that its address refused a connection. Returns whether the
    /// peer counted as alive.
    pub fn mark_lost(&mut self, host: &Host, refused: bool) -> bool {
        let Some(peer) = self.peers.get_mut(host) else {
            return false;
        };
        peer.is_refusing = refused;
        std::mem::take(&mut peer.is_alive)
    }

    /// Updates which of the zones have no hosts, and whether this host is isolated.
    pub fn update_zones(&mut self, zones: impl Iterator<Item = Zone>, now: Instant) {
        for zone in zones {
            if self.candidates(&zone).next().is_some() {
                self.vacant_since.remove(&zone);
            } else {
                self.vacant_since.entry(zone).or_insert(now);
            }
        }
        // A peer that is not watched closely counts as alive for longer than this host may go on serving
        // if all others are out of reach.
        let is_heard = |peer: &Peer| now.duration_since(peer.last_heard) <= PEER_TIMEOUT;
        let no_peer_heard =
            !self.alive().any(is_heard) && self.maybe_partitioned(now).next().is_some();
        self.isolated_since = if no_peer_heard { self.isolated_since.or(Some(now)) } else { None };
    }

    /// Lost peers that may be alive behind a network partition: they are silent, or they refuse
    /// connections and a target of their zone has shown that another host gives it orders.
    fn maybe_partitioned(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| {
            let is_recent = now.duration_since(peer.last_heard) < LOST_PEER_RETENTION;
            let rival_seen = self.rival_seen.get(&peer.identity.zone);
            let has_rival = rival_seen.is_some_and(|at| {
                *at > peer.last_heard || now.duration_since(*at) < PARTITION_TAKEOVER_DELAY
            });
            is_recent
                && !peer.is_alive
                && (!peer.is_refusing || has_rival)
                && !peer.heartbeat.is_stopping
        })
    }

    /// Records that a target of a zone claimed by this host obeys another host. Returns whether this host
    /// should resign the zone, because a host that ranks higher there may be alive behind a partition.
    pub fn record_rival(&mut self, zone: &Zone, now: Instant) -> bool {
        self.rival_seen.insert(zone.clone(), now);
        self.has_rival(zone, now)
    }

    /// Whether a host that may be behind a partition ranks higher than this one as the steward of a
    /// zone, and one of the zone's targets has recently shown that another host gives it orders.
    fn has_rival(&self, zone: &Zone, now: Instant) -> bool {
        let rival_seen = self.rival_seen.get(zone);
        let is_recent =
            rival_seen.is_some_and(|at| now.duration_since(*at) < PARTITION_TAKEOVER_DELAY);
        is_recent
            && self
                .maybe_partitioned(now)
                .any(|peer| rank(zone, &peer.identity) > rank(zone, &self.me))
    }

    /// Time for which a zone must be without hosts before this host may take it over; `None` if this host
    /// must leave it alone.
    fn takeover_delay(&self, zone: &Zone, now: Instant) -> Option<Duration> {
        if !self.maybe_partitioned(now).any(|peer| peer.identity.zone == *zone) {
            return Some(TAKEOVER_DELAY);
        }
        // The smaller side of a partition doesn't take over zones of the other side.
        let is_larger_side = self.alive().count() > self.maybe_partitioned(now).count();
        is_larger_side.then_some(PARTITION_TAKEOVER_DELAY)
    }

    /// Whether this host hears no peer although some may be alive. It stops being true after
    /// `MAX_ISOLATION`, so that a host whose peers are all gone serves again.
    #[must_use]
    pub fn is_isolated(&self, now: Instant) -> bool {
        self.isolated_since.is_some_and(|since| now.duration_since(since) < MAX_ISOLATION)
    }

    /// Discards what is outdated after this process was paused: its claims and the peers' loads. Every
    /// live peer gets a full timeout to be heard again.
    pub fn reset_after_pause(&mut self, now: Instant) {
        for peer in self.peers.values_mut().filter(|peer| peer.is_alive) {
            peer.heartbeat.load = crate::routing::Load::default();
        }
        self.peers.values_mut().for_each(|peer| peer.words.forget());
        self.started = now;
        self.vacant_since.clear();
        self.claims.clear();
        self.shares.clear();
        // The first message after the pause tells the hosts that had work with this one to give it up.
        self.announce();
    }

    /// Steward of a zone, if one is known: the live host with the highest claim. Claims of the zone's own
    /// hosts win over those of other hosts.
    #[must_use]
    pub fn steward(&self, zone: &Zone) -> Option<(&Host, &Claim)> {
        let others = self.alive().map(|peer| (&peer.identity, &peer.heartbeat.claims));
        let all = others.chain([(&self.me, &self.claims)]);
        let claims =
            all.flat_map(|(identity, claims)| claims.iter().map(move |claim| (identity, claim)));
        let of_zone = claims.filter(|(_, claim)| claim.zone == *zone);
        // The name decides between equal tokens, so that all hosts see the same steward.
        let highest = of_zone
            .max_by_key(|(identity, claim)| (identity.zone == *zone, claim.token, &identity.host));
        highest.map(|(identity, claim)| (&identity.host, claim))
    }

    /// Whether this host claims a zone.
    #[must_use]
    pub fn has_claim(&self, zone: &Zone) -> bool {
        self.claims.iter().any(|claim| claim.zone == *zone)
    }

    /// Whether this host leads a zone.
    #[must_use]
    pub fn leads_zone(&self) -> bool {
        !self.claims.is_empty()
    }

    /// Whether this host gives orders to targets: it leads a zone, or has a share of its zone's targets.
    #[must_use]
    pub fn serves_targets(&self) -> bool {
        self.leads_zone() || self.shares.serves()
    }

    /// Whether this host is a member of the split of its zone.
    #[must_use]
    pub fn is_member(&self) -> bool {
        self.shares.active().is_some_and(|split| split.names(&self.me.host))
    }

    /// Whether this host gives orders to a target of a zone.
    #[must_use]
    pub fn holds(&self, zone: &Zone, target: &Target) -> bool {
        if self.is_split(zone) { self.shares.holds(target) } else { self.has_claim(zone) }
    }

    /// Whether this host may claim a target that it holds, as far as the other members of a split are concerned.
    #[must_use]
    pub fn may_take(&self, zone: &Zone, target: &Target, now: Instant) -> bool {
        let is_alive = |host: &Host| self.peer(host).is_some_and(|peer| peer.is_alive);
        !self.is_split(zone)
            || !self.shares.is_busy(target, is_alive, now)
                && self.shares.may_claim(self.has_claim(zone), is_alive, now)
    }

    /// Whether the targets of a zone are divided among several hosts, by what this host knows. Only hosts of the
    /// zone take part.
    fn is_split(&self, zone: &Zone) -> bool {
        self.shares.active().is_some() && *zone == self.me.zone
    }

    /// Hosts of this zone that may be members of its split: this one first, then the others by rank. They are alive,
    /// not stopping, and read the messages on splits.
    #[must_use]
    pub fn available_members(&self) -> Vec<Member> {
        let is_available = |peer: &&Peer| {
            let heartbeat = &peer.heartbeat;
            peer.identity.zone == self.me.zone && heartbeat.reads_zones && !heartbeat.is_stopping
        };
        let peers = self.alive().filter(is_available).map(|peer| &peer.identity);
        let mut peers: Vec<&Identity> = peers.collect();
        peers.sort_by_key(|identity| std::cmp::Reverse(rank(&self.me.zone, identity)));
        let all = std::iter::once(&self.me).chain(peers);
        let member = |one: &Identity| Member { host: one.host.clone(), cpu_millis: one.cpu_millis };
        all.map(member).collect()
    }

    /// Whether this host should become the steward of a zone.
    #[must_use]
    pub fn should_claim(&self, zone: &Zone, now: Instant) -> bool {
        let may_claim = now.duration_since(self.started) > CLAIM_DELAY;
        if !may_claim || self.is_stopping || self.is_isolated(now) || self.steward(zone).is_some() {
            return false;
        }
        if self.has_rival(zone, now) {
            return false;
        }
        let mut own = self.candidates(zone).peekable();
        if own.peek().is_some() {
            return best(zone, own).is_some_and(|identity| identity.host == self.me.host);
        }
        let vacant_for = self.vacant_since.get(zone).map(|since| now.duration_since(*since));
        let delay = self.takeover_delay(zone, now);
        if vacant_for.zip(delay).is_none_or(|(vacant_for, delay)| vacant_for < delay) {
            return false;
        }
        // Stewards watch the hosts of a zone without a steward closely, so they know best that it has none.
        let is_steward = |identity: &&Identity| {
            let peer = self.peers.get(&identity.host);
            peer.map_or(self.leads_zone(), Peer::leads_zone)
        };
        let stewards = best(zone, self.identities().filter(is_steward));
        let best = stewards.or_else(|| best(zone, self.identities()));
        best.is_some_and(|identity| identity.host == self.me.host)
    }

    /// Whether this host should resign as steward of a zone: another claim is higher, the zone has hosts
    /// of its own again, or this host is stopping.
    #[must_use]
    pub fn should_resign(&self, zone: &Zone) -> bool {
        let is_outranked = self.steward(zone).is_some_and(|(host, _)| *host != self.me.host);
        let is_foreign = self.me.zone != *zone && self.candidates(zone).next().is_some();
        is_outranked || is_foreign || self.is_stopping
    }

    /// Whether a live peer reports that its tasks still run on a target that it no longer holds.
    #[must_use]
    pub fn is_busy_elsewhere(&self, target: &Target) -> bool {
        self.alive().any(|peer| peer.heartbeat.busy_targets.contains(target))
    }

    /// Hosts of a zone that may become its steward.
    pub(super) fn candidates<'a>(&'a self, zone: &'a Zone) -> impl Iterator<Item = &'a Identity> {
        self.identities().filter(move |identity| identity.zone == *zone)
    }

    /// Identities of all live hosts that are not stopping, including this one.
    fn identities(&self) -> impl Iterator<Item = &Identity> {
        let others =
            self.alive().filter(|peer| !peer.heartbeat.is_stopping).map(|peer| &peer.identity);
        let me = (!self.is_stopping).then_some(&self.me);
        others.chain(me)
    }
}

/// The highest ranking host as the steward of a zone.
fn best<'a>(zone: &Zone, identities: impl Iterator<Item = &'a Identity>) -> Option<&'a Identity> {
    identities.max_by_key(|identity| rank(zone, identity))
}

/// Rank of a host as the steward of a zone: hosts of the zone come first, then those with a larger share of
/// the processor. A hash of zone and host breaks ties, so that zones get different stewards.
pub(super) fn rank(zone: &Zone, identity: &Identity) -> (bool, u32, u64) {
    let hash = xxh3_64(format!("{zone}/{}", identity.host).as_bytes());
    (identity.zone == *zone, identity.cpu_millis, hash)
}
