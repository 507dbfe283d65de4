//! The split of this host's zone: decided where this host leads the zone, followed where it does not.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Target, Zone};

use super::State;
use super::claims::UNREPORTED_TOKENS;
use crate::lease::Token;
use crate::member::Identity;
use crate::member::split::{Change, Demand, ShareNotice, Split, SplitNotice};
use crate::peer::Message;
use crate::report::Record;

/// Number of hosts, the highest ranking ones, that are told of a split so that they can go on with it as lead.
const SUCCESSORS: usize = 2;

/// What the other hosts of the zone were told last.
#[derive(Debug, Default)]
pub(super) struct Told {
    split: Option<SplitNotice>,
    share: Option<ShareNotice>,
    /// Number of targets that were recorded as held.
    held: usize,
}

impl State {
    /// Goes on with the last known split of this host's zone, which it has just claimed.
    pub(super) fn continue_split(&mut self, zone: &Zone, token: Token, now: Instant) {
        if *zone == self.membership.me().zone {
            let members = self.membership.available_members();
            let change = self.membership.shares.lead(token, &members, now);
            self.apply_changes(change);
        }
    }

    /// Decides on the split as lead, and updates which targets this host holds. Where the zone is not dense and
    /// was not, there is no split and nothing is done.
    pub(super) fn maintain_shares(&mut self, now: Instant) {
        let zone = self.membership.me().zone.clone();
        if self.must_leave_split(&zone) {
            self.membership.shares.clear();
        }
        let claim = self.membership.claims.iter().find(|claim| claim.zone == zone);
        let token = claim.map(|claim| claim.token);
        let is_dense = self.dense_zones.contains(&zone);
        let has_split = self.membership.shares.is_in_use();
        if !is_dense && !has_split && self.told.held == 0 {
            return;
        }
        let targets: BTreeSet<Target> = self.zone_targets(&zone);
        if let Some(token) = token.filter(|_| is_dense || has_split) {
            let demand = Demand {
                is_dense,
                targets: targets.len(),
                targets_per_core: self.settings.targets_per_core,
                max_cpu_millis: self.membership.max_cpu_millis(),
                hosts: 0,
                backlog: self.backlog.age(),
            };
            let available = self.membership.available_members();
            let shares = &mut self.membership.shares;
            let changes = shares.decide((&zone, token), &available, demand, now);
            self.apply_changes(changes);
        }
        self.update_held(&zone, &targets, now);
    }

    /// Whether this host must give up its share: it is stopping, or the zone's lead is of a version that knows no
    /// splits and claims all targets.
    fn must_leave_split(&self, zone: &Zone) -> bool {
        if !self.membership.shares.is_in_use() {
            return false;
        }
        let lead = self.membership.steward(zone).and_then(|(host, _)| self.membership.peer(host));
        self.membership.is_stopping || lead.is_some_and(|peer| !peer.heartbeat.reads_zones)
    }

    fn zone_targets(&self, zone: &Zone) -> BTreeSet<Target> {
        let of_zone = self.directory.iter().filter(|entry| entry.zone == *zone);
        of_zone.map(|entry| entry.name.clone()).collect()
    }

    /// Updates which targets this host holds, and returns the queued tasks if there is none any more.
    fn update_held(&mut self, zone: &Zone, targets: &BTreeSet<Target>, now: Instant) {
        let me = self.membership.me().host.clone();
        self.membership.shares.update_targets(&me, targets);
        let (before, held) = (self.told.held, self.membership.shares.held());
        if before == held {
            return;
        }
        self.told.held = held;
        let zone = zone.clone();
        if held > 0 {
            let known = targets.len();
            self.record(Record::ShareTaken { zone, targets: held, before, known });
        } else {
            let busy = self.steward.busy_unclaimed(&self.membership).len();
            self.record(Record::ShareReleased { zone, before, busy });
        }
        if !self.membership.serves_targets() {
            self.return_queued(now);
        }
        if (before == 0) != (held == 0) {
            // Owners send their tasks by the load that heartbeats report.
            self.membership.announce();
        }
    }

    /// Records changes of the split.
    fn apply_changes(&mut self, changes: impl IntoIterator<Item = Change>) {
        for change in changes {
            match change {
                Change::Proposed(split) => {
                    let (zone, token, number, members) = described(split);
                    self.record(Record::SplitProposed { zone, token, number, members });
                }
                Change::Active(split) => {
                    self.expect_unreported_tokens(&split);
                    let (zone, token, number, members) = described(split);
                    self.record(Record::SplitActive { zone, token, number, members });
                    self.membership.announce();
                }
                Change::Ended => self.membership.announce(),
            }
        }
    }

    /// Raises the own tokens above those that a lost member may have issued since its last report.
    fn expect_unreported_tokens(&mut self, split: &Split) {
        let zone = &split.zone;
        let mut peers = self.membership.peers();
        if peers.any(|peer| peer.identity.zone == *zone && !peer.is_alive) {
            self.issuer.observe(self.issuer.highest(), UNREPORTED_TOKENS);
        }
    }

    /// Follows the split that the lead of this host's zone reports. Of two hosts that claim the zone, the one with
    /// the higher claim decides.
    pub(super) fn handle_split(&mut self, from: &Identity, notice: SplitNotice, now: Instant) {
        let me = self.membership.me();
        let zone = me.zone.clone();
        let lead = self.membership.steward(&zone).map(|(host, claim)| (host, claim.token));
        let is_lead = lead == Some((&from.host, notice.rank.token));
        if notice.zone != zone || !is_lead || from.host == me.host || self.membership.is_stopping {
            return;
        }
        let host = me.host.clone();
        let change = self.membership.shares.apply(&host, notice, now);
        if change.is_some() {
            self.apply_changes(change);
            let targets = self.zone_targets(&zone);
            self.update_held(&zone, &targets, now);
            // The others claim no target of an earlier split until they know that this host acts by the new one.
            self.send_share(&BTreeSet::new());
        }
    }

    /// Records by which split another host of this zone acts.
    pub(super) fn handle_share(&mut self, from: &Identity, notice: ShareNotice, now: Instant) {
        let me = self.membership.me();
        if notice.zone == me.zone && from.zone == me.zone && from.host != me.host {
            // A claim must follow the last order of the host that held the target.
            self.issuer.observe(notice.highest_token, Duration::ZERO);
            self.membership.shares.record_share(&from.host, notice, now);
        }
    }

    /// Tells the other hosts of the zone about the split: all that take part if something has changed, else those
    /// that are due a heartbeat.
    pub(super) fn send_shares(&mut self, due: &BTreeSet<Host>) {
        if !self.membership.shares.is_in_use() && self.told.split.is_none() {
            self.told.share = None;
            return;
        }
        self.send_split(due);
        self.send_share(due);
    }

    /// Tells, as lead, how the targets are divided.
    fn send_split(&mut self, due: &BTreeSet<Host>) {
        let zone = self.membership.me().zone.clone();
        let claim = self.membership.claims.iter().find(|claim| claim.zone == zone);
        let Some(token) = claim.map(|claim| claim.token) else {
            self.told.split = None;
            return;
        };
        let notice = self.membership.shares.notice(&zone, token);
        // The end of a split is told once.
        let is_changed = notice != self.told.split;
        let has_ended = notice.is_none() && self.told.split.is_some();
        let ended = has_ended.then(|| self.membership.shares.ended(&zone, token));
        self.told.split.clone_from(&notice);
        let Some(notice) = notice.or(ended) else {
            return;
        };
        let me = &self.membership.me().host;
        let mut hosts = self.membership.shares.participants(me);
        let successors = self.membership.available_members().into_iter().skip(1).take(SUCCESSORS);
        hosts.extend(successors.map(|member| member.host));
        hosts.retain(|host| is_changed || due.contains(host));
        self.send_to_members(&hosts, &Message::Split(notice));
    }

    /// Tells, as member, by which split this host acts. A host that was left out tells it until the targets that
    /// it had are idle.
    fn send_share(&mut self, due: &BTreeSet<Host>) {
        let zone = self.membership.me().zone.clone();
        let mut busy_targets = self.steward.busy_unclaimed(&self.membership);
        busy_targets.retain(|name| {
            self.steward.tracker(name).is_some_and(|tracker| tracker.entry.zone == zone)
        });
        let state = (busy_targets, self.issuer.highest());
        let backlog_ms = u32::try_from(self.backlog.age().as_millis()).unwrap_or(u32::MAX);
        let notice = self.membership.shares.share(&zone, state, backlog_ms);
        let Some(notice) = notice else {
            self.told.share = None;
            return;
        };
        let content =
            |notice: &ShareNotice| (notice.rank, notice.ready_for, notice.busy_targets.clone());
        let is_changed = self.told.share.as_ref().map(content) != Some(content(&notice));
        let takes_part = self.membership.is_member()
            || notice.ready_for.is_some()
            || !notice.busy_targets.is_empty();
        let me = &self.membership.me().host;
        let mut hosts = self.membership.shares.participants(me);
        let lead = self.membership.steward(&zone).map(|(host, _)| host);
        hosts.extend(lead.filter(|host| *host != me).cloned());
        hosts.retain(|host| is_changed || takes_part && due.contains(host));
        self.told.share = Some(notice.clone());
        self.send_to_members(&hosts, &Message::Share(notice));
    }

    fn send_to_members(&mut self, hosts: &BTreeSet<Host>, message: &Message) {
        let zone = &self.membership.me().zone;
        let reads = self.membership.alive().filter(|peer| {
            let is_chosen = hosts.contains(&peer.identity.host);
            is_chosen && peer.identity.zone == *zone && peer.heartbeat.reads_zones
        });
        let addresses: Vec<_> = reads.map(|peer| peer.identity.address).collect();
        addresses.into_iter().for_each(|address| self.send(address, message.clone()));
    }
}

/// Zone, token, number and names of the members of a split.
fn described(split: Split) -> (Zone, Token, u64, Vec<Host>) {
    let members = split.members.into_iter().map(|member| member.host).collect();
    (split.zone, split.rank.token, split.rank.number, members)
}
