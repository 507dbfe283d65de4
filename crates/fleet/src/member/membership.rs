//! The hosts known to this one.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Target, Zone};
use xxhash_rust::xxh3::xxh3_64;

use super::{Beat, Card, Claim};

/// Silence after which a host counts as lost: eight heartbeats of a steward.
pub const LOST_AFTER: Duration = Duration::from_millis(800);
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
    pub card: Card,
    /// Its last heartbeat.
    pub beat: Beat,
    /// When it was last heard.
    pub heard: Instant,
    /// Whether it counts as alive.
    pub alive: bool,
    /// Whether its address refused a connection: its process is gone, or there is a cut.
    pub refused: bool,
}

/// All hosts known to this one.
#[derive(Debug)]
pub struct Roster {
    me: Card,
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
    pub leaving: bool,
}

impl Roster {
    /// A roster that knows only this host.
    #[must_use]
    pub fn new(me: Card, now: Instant) -> Self {
        Self {
            me,
            started: now,
            peers: BTreeMap::new(),
            orphaned: BTreeMap::new(),
            contested: BTreeMap::new(),
            isolated: None,
            claims: Vec::new(),
            leaving: false,
        }
    }

    /// This host.
    #[must_use]
    pub fn me(&self) -> &Card {
        &self.me
    }

    /// Another host.
    #[must_use]
    pub fn peer(&self, host: &Host) -> Option<&Peer> {
        self.peers.get(host)
    }

    /// When a host was last heard, if it ever was; this host is heard all the time.
    #[must_use]
    pub fn heard(&self, host: &Host, now: Instant) -> Option<Instant> {
        if *host == self.me.host { Some(now) } else { Some(self.peers.get(host)?.heard) }
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
    pub fn hear(&mut self, card: &Card, now: Instant) -> bool {
        if card.host == self.me.host {
            return false;
        }
        self.isolated = None;
        let news = self.peers.get(&card.host).is_none_or(|peer| !peer.alive || peer.card != *card);
        if news {
            let beat = Beat::default();
            let card = card.clone();
            let peer = Peer { card, beat, heard: now, alive: true, refused: false };
            self.peers.insert(peer.card.host.clone(), peer);
        } else if let Some(peer) = self.peers.get_mut(&card.host) {
            peer.heard = now;
        }
        news
    }

    /// Takes a heartbeat in.
    pub fn beat(&mut self, host: &Host, beat: Beat) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.beat = beat;
        }
    }

    /// Counts a host's load as changed by what was sent to it.
    pub fn set_load(&mut self, host: &Host, load: crate::routing::Load) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.beat.load = load;
        }
    }

    /// A host can't be reached; whether it counted as alive.
    pub fn lose(&mut self, host: &Host, refused: bool) -> bool {
        let Some(peer) = self.peers.get_mut(host) else {
            return false;
        };
        peer.refused = refused;
        std::mem::take(&mut peer.alive)
    }

    /// Hosts that have just become silent.
    pub fn silent(&mut self, now: Instant) -> Vec<Host> {
        let silent = |peer: &&Peer| peer.alive && now.duration_since(peer.heard) > LOST_AFTER;
        self.peers.values().filter(silent).map(|peer| peer.card.host.clone()).collect()
    }

    /// Keeps the view of zones without hosts and of isolation up to date.
    pub fn settle(&mut self, zones: impl Iterator<Item = Zone>, now: Instant) {
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
            let recent = now.duration_since(peer.heard) < REMEMBER_FOR;
            let seen = self.contested.get(&peer.card.zone);
            let lives =
                seen.is_some_and(|at| *at > peer.heard || now.duration_since(*at) < SILENT_FOR);
            recent && !peer.alive && (!peer.refused || lives) && !peer.beat.leaving
        })
    }

    /// A target of a zone that this host claims obeys another one. Whether this host leaves the
    /// zone to it: it does so if a host that comes before it there may be behind a cut.
    pub fn contest(&mut self, zone: &Zone, now: Instant) -> bool {
        self.contested.insert(zone.clone(), now);
        self.is_contested(zone, now)
    }

    /// Whether a host that can't be reached comes before this one as the steward of a zone, and
    /// one of the zone's targets has shown lately that another host lives.
    fn is_contested(&self, zone: &Zone, now: Instant) -> bool {
        let seen = self.contested.get(zone);
        let recent = seen.is_some_and(|at| now.duration_since(*at) < SILENT_FOR);
        recent && self.missing(now).any(|peer| rank(zone, &peer.card) > rank(zone, &self.me))
    }

    /// How long a zone must be without hosts before this host may take it; none if never.
    fn patience(&self, zone: &Zone, now: Instant) -> Option<Duration> {
        if !self.missing(now).any(|peer| peer.card.zone == *zone) {
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
    pub fn refresh(&mut self, now: Instant) {
        for peer in self.peers.values_mut().filter(|peer| peer.alive) {
            peer.heard = now;
            peer.beat.load = crate::routing::Load::default();
        }
        self.started = now;
        self.orphaned.clear();
        self.claims.clear();
    }

    /// Steward of a zone's targets, if one is known: the highest claim of a live host, and of the
    /// zone's own hosts before others.
    #[must_use]
    pub fn steward(&self, zone: &Zone) -> Option<(&Host, &Claim)> {
        let others = self.alive().map(|peer| (&peer.card, &peer.beat.claims));
        let all = others.chain([(&self.me, &self.claims)]);
        let claims = all.flat_map(|(card, claims)| claims.iter().map(move |claim| (card, claim)));
        let of_zone = claims.filter(|(_, claim)| claim.zone == *zone);
        let highest = of_zone.max_by_key(|(card, claim)| (card.zone == *zone, claim.token));
        highest.map(|(card, claim)| (&card.host, claim))
    }

    /// Whether this host claims a zone.
    #[must_use]
    pub fn claims(&self, zone: &Zone) -> bool {
        self.claims.iter().any(|claim| claim.zone == *zone)
    }

    /// Whether this host should become steward of a zone.
    #[must_use]
    pub fn should_claim(&self, zone: &Zone, now: Instant) -> bool {
        let settled = now.duration_since(self.started) > SETTLE;
        if !settled || self.leaving || self.is_isolated(now) || self.steward(zone).is_some() {
            return false;
        }
        if self.is_contested(zone, now) {
            return false;
        }
        let mut own = self.candidates(zone).peekable();
        if own.peek().is_some() {
            return best(zone, own).is_some_and(|card| card.host == self.me.host);
        }
        let orphaned = self.orphaned.get(zone).map(|since| now.duration_since(*since));
        let patience = self.patience(zone, now);
        if orphaned.zip(patience).is_none_or(|(orphaned, patience)| orphaned < patience) {
            return false;
        }
        best(zone, self.cards()).is_some_and(|card| card.host == self.me.host)
    }

    /// Whether this host should give a zone up: another claim is higher, or the zone has hosts of
    /// its own again.
    #[must_use]
    pub fn should_yield(&self, zone: &Zone) -> bool {
        let outdone = self.steward(zone).is_some_and(|(host, _)| *host != self.me.host);
        let foreign = self.me.zone != *zone && self.candidates(zone).next().is_some();
        outdone || foreign || self.leaving
    }

    /// Whether another live host still has work under way on a target.
    #[must_use]
    pub fn is_held(&self, target: &Target) -> bool {
        self.alive().any(|peer| peer.beat.held.contains(target))
    }

    fn candidates<'a>(&'a self, zone: &'a Zone) -> impl Iterator<Item = &'a Card> {
        self.cards().filter(move |card| card.zone == *zone)
    }

    /// Live hosts that are not stopping, this one too.
    fn cards(&self) -> impl Iterator<Item = &Card> {
        let others = self.alive().filter(|peer| !peer.beat.leaving).map(|peer| &peer.card);
        let me = (!self.leaving).then_some(&self.me);
        others.chain(me)
    }
}

/// The host that comes first as the steward of a zone.
fn best<'a>(zone: &Zone, cards: impl Iterator<Item = &'a Card>) -> Option<&'a Card> {
    cards.max_by_key(|card| rank(zone, card))
}

/// Order of hosts as stewards of a zone: its own before others, then by processor; among equals the
/// hash decides, differently for each zone.
fn rank(zone: &Zone, card: &Card) -> (bool, u32, u64) {
    let hash = xxh3_64(format!("{zone}/{}", card.host).as_bytes());
    (card.zone == *zone, card.weight, hash)
}
