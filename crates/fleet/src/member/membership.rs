//! The hosts known to this one.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Target, Zone};
use xxhash_rust::xxh3::xxh3_64;

use super::{Claim, Heartbeat, Identity};

/// Silence after which a host counts as lost: eight heartbeats of a steward.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after the start in which a host listens before it claims anything: some heartbeats of a
/// steward.
const SETTLE: Duration = Duration::from_millis(450);
/// Time after which another zone's host takes the targets of a zone whose hosts refuse connections or
/// have said that they stop. They may live behind a cut; their targets then show it.
const ORPHANED_FOR: Duration = Duration::from_millis(1_500);
/// The same where the zone's hosts are only silent: they may be behind a cut, and go on there. Most
/// cuts are shorter.
const SILENT_FOR: Duration = Duration::from_secs(8);
/// Time for which a host that hears nobody leaves all to the others.
const ISOLATED_FOR: Duration = Duration::from_secs(10);
/// Time for which a lost host still counts as a member that may be behind a cut.
const REMEMBER_FOR: Duration = Duration::from_secs(60);

/// Another host.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Who it is.
    pub identity: Identity,
    /// Its last heartbeat.
    pub heartbeat: Heartbeat,
    /// When it was last heard.
    pub last_heard: Instant,
    /// Whether it counts as alive.
    pub alive: bool,
    /// Whether its address refused a connection: its process is gone, or there is a cut.
    pub is_refusing: bool,
}

/// All hosts known to this one.
#[derive(Debug)]
pub struct Membership {
    me: Identity,
    started: Instant,
    peers: BTreeMap<Host, Peer>,
    /// Since when no host of a zone has been alive.
    orphaned: BTreeMap<Zone, Instant>,
    /// When a target of a zone last obeyed another host.
    contested: BTreeMap<Zone, Instant>,
    /// Since when this host has heard nobody.
    isolated: Option<Instant>,
    /// This host's claims.
    pub claims: Vec<Claim>,
    /// Whether this host is stopping.
    pub is_stopping: bool,
}

impl Membership {
    /// A roster that knows only this host.
    #[must_use]
    pub fn new(me: Identity, now: Instant) -> Self {
        Self {
            me,
            started: now,
            peers: BTreeMap::new(),
            orphaned: BTreeMap::new(),
            contested: BTreeMap::new(),
            isolated: None,
            claims: Vec::new(),
            is_stopping: false,
        }
    }

    /// This host.
    #[must_use]
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// Another host.
    #[must_use]
    pub fn peer(&self, host: &Host) -> Option<&Peer> {
        self.peers.get(host)
    }

    /// When a host was last heard, if it ever was; this host is heard all the time.
    #[must_use]
    pub fn last_heard(&self, host: &Host, now: Instant) -> Option<Instant> {
        if *host == self.me.host { Some(now) } else { Some(self.peers.get(host)?.last_heard) }
    }

    /// All other hosts that were ever heard.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Other hosts that live.
    pub fn alive(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| peer.alive)
    }

    /// Takes a sign of life in; whether the host is new, back or another run of its process.
    pub fn record_contact(&mut self, identity: &Identity, now: Instant) -> bool {
        if identity.host == self.me.host {
            return false;
        }
        self.isolated = None;
        let news = self
            .peers
            .get(&identity.host)
            .is_none_or(|peer| !peer.alive || peer.identity != *identity);
        if news {
            let heartbeat = Heartbeat::default();
            let identity = identity.clone();
            let peer =
                Peer { identity, heartbeat, last_heard: now, alive: true, is_refusing: false };
            self.peers.insert(peer.identity.host.clone(), peer);
        } else if let Some(peer) = self.peers.get_mut(&identity.host) {
            peer.last_heard = now;
        }
        news
    }

    /// Takes a heartbeat in.
    pub fn record_heartbeat(&mut self, host: &Host, heartbeat: Heartbeat) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.heartbeat = heartbeat;
        }
    }

    /// Counts a host's load as changed by what was sent to it.
    pub fn set_load(&mut self, host: &Host, load: crate::routing::Load) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.heartbeat.load = load;
        }
    }

    /// A host can't be reached; whether it counted as alive.
    pub fn mark_lost(&mut self, host: &Host, refused: bool) -> bool {
        let Some(peer) = self.peers.get_mut(host) else {
            return false;
        };
        peer.is_refusing = refused;
        std::mem::take(&mut peer.alive)
    }

    /// Hosts that have just become silent.
    pub fn timed_out(&mut self, now: Instant) -> Vec<Host> {
        let silent =
            |peer: &&Peer| peer.alive && now.duration_since(peer.last_heard) > PEER_TIMEOUT;
        self.peers.values().filter(silent).map(|peer| peer.identity.host.clone()).collect()
    }

    /// Keeps the view of zones without hosts and of isolation up to date.
    pub fn update_zones(&mut self, zones: impl Iterator<Item = Zone>, now: Instant) {
        for zone in zones {
            if self.candidates(&zone).next().is_some() {
                self.orphaned.remove(&zone);
            } else {
                self.orphaned.entry(zone).or_insert(now);
            }
        }
        let alone = self.alive().next().is_none() && self.missing(now).next().is_some();
        self.isolated = if alone { self.isolated.or(Some(now)) } else { None };
    }

    /// Hosts that may well live, behind a cut: they are silent, or they refuse connections and a
    /// target of their zone has shown that another host gives it orders.
    fn missing(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| {
            let recent = now.duration_since(peer.last_heard) < REMEMBER_FOR;
            let seen = self.contested.get(&peer.identity.zone);
            let lives = seen
                .is_some_and(|at| *at > peer.last_heard || now.duration_since(*at) < SILENT_FOR);
            recent && !peer.alive && (!peer.is_refusing || lives) && !peer.heartbeat.is_stopping
        })
    }

    /// A target of a zone that this host claims obeys another one. Whether this host leaves the
    /// zone to it: it does so if a host that comes before it there may be behind a cut.
    pub fn record_rival(&mut self, zone: &Zone, now: Instant) -> bool {
        self.contested.insert(zone.clone(), now);
        self.is_contested(zone, now)
    }

    /// Whether a host that can't be reached comes before this one as the steward of a zone, and
    /// one of the zone's targets has shown lately that another host lives.
    fn is_contested(&self, zone: &Zone, now: Instant) -> bool {
        let seen = self.contested.get(zone);
        let recent = seen.is_some_and(|at| now.duration_since(*at) < SILENT_FOR);
        recent && self.missing(now).any(|peer| rank(zone, &peer.identity) > rank(zone, &self.me))
    }

    /// How long a zone must be without hosts before this host may take it; none if never.
    fn patience(&self, zone: &Zone, now: Instant) -> Option<Duration> {
        if !self.missing(now).any(|peer| peer.identity.zone == *zone) {
            return Some(ORPHANED_FOR);
        }
        // The side of a cut with fewer hosts leaves the other side's zones alone.
        let more = self.alive().count() > self.missing(now).count();
        more.then_some(SILENT_FOR)
    }

    /// Whether this host hears nobody though others should be there.
    #[must_use]
    pub fn is_isolated(&self, now: Instant) -> bool {
        self.isolated.is_some_and(|since| now.duration_since(since) < ISOLATED_FOR)
    }

    /// After a pause of this process nothing known of others is fresh: they get time to be heard.
    pub fn reset_after_pause(&mut self, now: Instant) {
        for peer in self.peers.values_mut().filter(|peer| peer.alive) {
            peer.last_heard = now;
            peer.heartbeat.load = crate::routing::Load::default();
        }
        self.started = now;
        self.orphaned.clear();
        self.claims.clear();
    }

    /// Steward of a zone's targets, if one is known: the highest claim of a live host, and of the
    /// zone's own hosts before others.
    #[must_use]
    pub fn steward(&self, zone: &Zone) -> Option<(&Host, &Claim)> {
        let others = self.alive().map(|peer| (&peer.identity, &peer.heartbeat.claims));
        let all = others.chain([(&self.me, &self.claims)]);
        let claims =
            all.flat_map(|(identity, claims)| claims.iter().map(move |claim| (identity, claim)));
        let of_zone = claims.filter(|(_, claim)| claim.zone == *zone);
        let highest = of_zone.max_by_key(|(identity, claim)| (identity.zone == *zone, claim.token));
        highest.map(|(identity, claim)| (&identity.host, claim))
    }

    /// Whether this host claims a zone.
    #[must_use]
    pub fn has_claim(&self, zone: &Zone) -> bool {
        self.claims.iter().any(|claim| claim.zone == *zone)
    }

    /// Whether this host should become steward of a zone.
    #[must_use]
    pub fn should_claim(&self, zone: &Zone, now: Instant) -> bool {
        let settled = now.duration_since(self.started) > SETTLE;
        if !settled || self.is_stopping || self.is_isolated(now) || self.steward(zone).is_some() {
            return false;
        }
        if self.is_contested(zone, now) {
            return false;
        }
        let mut own = self.candidates(zone).peekable();
        if own.peek().is_some() {
            return best(zone, own).is_some_and(|identity| identity.host == self.me.host);
        }
        let orphaned = self.orphaned.get(zone).map(|since| now.duration_since(*since));
        let patience = self.patience(zone, now);
        if orphaned.zip(patience).is_none_or(|(orphaned, patience)| orphaned < patience) {
            return false;
        }
        best(zone, self.identities()).is_some_and(|identity| identity.host == self.me.host)
    }

    /// Whether this host should give a zone up: another claim is higher, or the zone has hosts of
    /// its own again.
    #[must_use]
    pub fn should_resign(&self, zone: &Zone) -> bool {
        let outdone = self.steward(zone).is_some_and(|(host, _)| *host != self.me.host);
        let foreign = self.me.zone != *zone && self.candidates(zone).next().is_some();
        outdone || foreign || self.is_stopping
    }

    /// Whether another live host still has work under way on a target.
    #[must_use]
    pub fn is_busy_elsewhere(&self, target: &Target) -> bool {
        self.alive().any(|peer| peer.heartbeat.busy_targets.contains(target))
    }

    fn candidates<'a>(&'a self, zone: &'a Zone) -> impl Iterator<Item = &'a Identity> {
        self.identities().filter(move |identity| identity.zone == *zone)
    }

    /// Live hosts that are not stopping, this one too.
    fn identities(&self) -> impl Iterator<Item = &Identity> {
        let others =
            self.alive().filter(|peer| !peer.heartbeat.is_stopping).map(|peer| &peer.identity);
        let me = (!self.is_stopping).then_some(&self.me);
        others.chain(me)
    }
}

/// The host that comes first as the steward of a zone.
fn best<'a>(zone: &Zone, identities: impl Iterator<Item = &'a Identity>) -> Option<&'a Identity> {
    identities.max_by_key(|identity| rank(zone, identity))
}

/// Order of hosts as stewards of a zone: its own before others, then by processor; among equals the
/// hash decides, differently for each zone.
fn rank(zone: &Zone, identity: &Identity) -> (bool, u32, u64) {
    let hash = xxh3_64(format!("{zone}/{}", identity.host).as_bytes());
    (identity.zone == *zone, identity.cpu_millis, hash)
}
