//! What a host knows of the split of its zone, and its part in it.
//!
//! Nothing here keeps two hosts from giving orders to one target: the fence at the target does. These rules keep the
//! members from ending each other's runs, and from leaving a target without a holder.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Target, Zone};

use super::{Demand, Member, Planner, Rank, ShareNotice, Split, SplitNotice};
use crate::lease::Token;
use crate::member::PEER_TIMEOUT;

/// Time for which the lead waits for the answers of the members of a proposed split: two of their heartbeats.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a host that did not answer may be proposed again.
const RETRY_DELAY: Duration = Duration::from_secs(3);
/// Longest time for which a target is left to a member that does not say by which split it acts.
const MAX_HANDOVER: Duration = Duration::from_secs(1);

/// Time after which a member that does not act by the split in force is left out, although it is alive: longer than
/// it may wait for a current list of the targets.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(2);

/// A change of the split in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The lead proposes a split.
    Proposed(Split),
    /// A split is in force at this host.
    Active(Split),
    /// No split is in force any more.
    Ended,
}

/// What a member has reported last.
#[derive(Clone, Debug)]
struct Report {
    notice: ShareNotice,
    at: Instant,
}

/// A split that the lead has proposed.
#[derive(Clone, Debug)]
struct Proposal {
    split: Split,
    since: Instant,
}

/// What decides which targets a host gives orders to, to notice a change.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Holding {
    rank: Option<Rank>,
    is_ready: bool,
    lost: usize,
}

/// A host's view of the split of its zone.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    /// The split in force; none where one host gives orders to all targets.
    active: Option<Split>,
    activated_at: Option<Instant>,
    /// As lead: the split that waits for answers.
    proposal: Option<Proposal>,
    /// As lead: number of the last split under the present claim.
    last_number: u64,
    /// As lead: when hosts did not answer a proposal last.
    unanswered: BTreeMap<Host, Instant>,
    planner: Planner,
    /// The proposed split that names this host.
    offered: Option<Rank>,
    /// Whether this host has a current list of the targets.
    is_ready: bool,
    /// When the lead confirmed the split in force last.
    confirmed_at: Option<Instant>,
    /// Reports of the other members.
    reports: BTreeMap<Host, Report>,
    /// As lead: when each member was known last to act by the split in force.
    followed_at: BTreeMap<Host, Instant>,
    /// Hosts that may still act by an earlier split.
    awaited: BTreeSet<Host>,
    /// Whether this host gives orders to each target, by the split in force.
    holds: HashMap<Target, bool>,
    /// Targets that have obeyed another host since the lead confirmed the split.
    lost: BTreeSet<Target>,
}

impl Shares {
    /// The split in force.
    #[must_use]
    pub fn active(&self) -> Option<&Split> {
        self.active.as_ref()
    }

    /// Whether there is a split, in force or proposed.
    #[must_use]
    pub fn is_in_use(&self) -> bool {
        self.active.is_some() || self.proposal.is_some() || self.offered.is_some()
    }

    /// Whether this host gives orders to a target by the split in force.
    #[must_use]
    pub fn holds(&self, target: &Target) -> bool {
        self.is_ready && self.holds.get(target) == Some(&true) && !self.lost.contains(target)
    }

    /// What decides which targets this host gives orders to. It differs after each change, but for two changes of
    /// the lost targets within a tick.
    #[must_use]
    pub fn holding(&self) -> Holding {
        Holding {
            rank: self.active.as_ref().map(|split| split.rank),
            is_ready: self.is_ready,
            lost: self.lost.len(),
        }
    }

    /// Number of targets that this host gives orders to by the split in force.
    #[must_use]
    pub fn held(&self) -> usize {
        if self.active.is_none() {
            return 0;
        }
        self.holds.keys().filter(|target| self.holds(target)).count()
    }

    /// Whether this host gives orders to any target by the split in force.
    #[must_use]
    pub fn serves(&self) -> bool {
        self.active.is_some() && self.holds.keys().any(|target| self.holds(target))
    }

    /// Works out which targets of the zone this host holds. What was worked out under the present split stays.
    pub fn update_targets(&mut self, me: &Host, targets: &BTreeSet<Target>) {
        let Some(active) = &self.active else {
            return;
        };
        self.holds.retain(|target, _| targets.contains(target));
        for target in targets {
            if !self.holds.contains_key(target) {
                self.holds.insert(target.clone(), active.holder(target) == Some(me));
            }
        }
    }

    /// Whether this host needs a current list of the targets for a split that names it.
    #[must_use]
    pub fn awaits_targets(&self, me: &Host) -> bool {
        let is_named =
            self.offered.is_some() || self.active.as_ref().is_some_and(|one| one.names(me));
        is_named && !self.is_ready
    }

    /// Records that this host has a current list of the targets.
    pub fn set_ready(&mut self) {
        self.is_ready = true;
    }

    /// Forgets the split: this host was paused, is stopping, or has resigned as the lead.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Forgets what a host has reported.
    pub fn forget(&mut self, host: &Host) {
        self.reports.remove(host);
    }

    /// Records that a target of this host obeys another one. Until the lead confirms the split, the other one
    /// keeps it: the lead may have left this host out.
    pub fn lose(&mut self, target: &Target) {
        self.lost.insert(target.clone());
    }

    /// Records the report of another member.
    pub fn record_share(&mut self, host: &Host, notice: ShareNotice, now: Instant) {
        let rank = self.active.as_ref().map(|active| active.rank);
        if rank.is_some_and(|rank| notice.rank >= rank) {
            self.awaited.remove(host);
        }
        if rank == Some(notice.rank) {
            self.followed_at.insert(host.clone(), now);
        }
        self.reports.insert(host.clone(), Report { notice, at: now });
    }

    /// Whether a member reports that its tasks still run on a target that another one holds.
    pub fn is_busy(&self, target: &Target, is_alive: impl Fn(&Host) -> bool, now: Instant) -> bool {
        let is_recent = |report: &Report| now.duration_since(report.at) <= PEER_TIMEOUT;
        let mut reports =
            self.reports.iter().filter(|(host, one)| is_recent(one) && is_alive(host));
        reports.any(|(_, one)| one.notice.busy_targets.contains(target))
    }

    /// Whether this host may claim targets that it did not hold before: all hosts that may hold one act by the
    /// split in force, or had the time to. Another host than the lead must hear the lead.
    pub fn may_claim(&self, is_lead: bool, is_alive: impl Fn(&Host) -> bool, now: Instant) -> bool {
        let is_past = |at: Option<Instant>, time| at.is_none_or(|at| now.duration_since(at) > time);
        let is_awaited = self.awaited.iter().any(is_alive);
        let is_settled = !is_awaited || is_past(self.activated_at, MAX_HANDOVER);
        is_settled
            && (is_lead || !is_past(self.confirmed_at, PEER_TIMEOUT) && self.confirmed_at.is_some())
    }

    /// Applies the state that the zone's lead reports. Returns the change.
    pub fn apply(&mut self, me: &Host, notice: SplitNotice, now: Instant) -> Option<Change> {
        let known = self.active.as_ref().map(|one| one.rank);
        let SplitNotice { rank: last, active, proposed, .. } = notice;
        let offered = proposed.filter(|split| split.names(me)).map(|split| split.rank);
        let Some(split) = active else {
            self.offered = offered;
            // The lead has ended its split, or is a new one that knows none.
            let is_ended = known.is_some_and(|rank| rank < last);
            return is_ended.then(|| self.end()).map(|()| Change::Ended);
        };
        let is_same_claim = known.is_some_and(|rank| rank.token == split.rank.token);
        if is_same_claim && known > Some(split.rank) {
            return None;
        }
        self.offered = offered;
        self.confirmed_at = Some(now);
        self.lost.clear();
        if known == Some(split.rank) {
            return None;
        }
        self.activate(me, split.clone(), now);
        Some(Change::Active(split))
    }

    /// Puts a split in force.
    fn activate(&mut self, me: &Host, split: Split, now: Instant) {
        let before = self.active.iter().flat_map(|one| &one.members);
        let members = before.chain(&split.members).map(|member| &member.host);
        let has_answered = |host: &Host| {
            self.reports.get(host).is_some_and(|report| report.notice.rank >= split.rank)
        };
        let awaited = self.awaited.iter().chain(members);
        let awaited = awaited.filter(|host| *host != me && !has_answered(host));
        self.awaited = awaited.cloned().collect();
        let followed = split.members.iter().map(|member| (member.host.clone(), now));
        self.followed_at = followed.collect();
        let is_named = split.names(me);
        self.is_ready &= is_named;
        self.holds.clear();
        self.lost.clear();
        self.active = Some(split);
        self.activated_at = Some(now);
    }

    /// Ends the split in force.
    fn end(&mut self) {
        self.active = None;
        self.awaited.clear();
        self.holds.clear();
        self.lost.clear();
        self.is_ready = false;
    }

    /// The state that this host reports as a member, if it takes part in a split.
    #[must_use]
    pub fn share(
        &self,
        zone: &Zone,
        (busy_targets, highest_token): (Vec<Target>, Token),
        backlog_ms: u32,
    ) -> Option<ShareNotice> {
        if self.active.is_none() && self.offered.is_none() {
            return None;
        }
        let rank = self.active.as_ref().map(|one| one.rank).unwrap_or_default();
        let ready_for = self.offered.filter(|_| self.is_ready);
        let zone = zone.clone();
        Some(ShareNotice { zone, rank, ready_for, busy_targets, highest_token, backlog_ms })
    }

    /// Hosts other than this one that take or took part in a split.
    pub fn participants(&self, me: &Host) -> BTreeSet<Host> {
        let proposed = self.proposal.iter().map(|one| &one.split);
        let members = self.active.iter().chain(proposed).flat_map(|one| &one.members);
        let hosts = members.map(|member| &member.host).chain(&self.awaited);
        hosts.filter(|host| *host != me).cloned().collect()
    }

    /// The state that this host reports as the lead, if there is a split or a proposal.
    #[must_use]
    pub fn notice(&self, zone: &Zone, token: Token) -> Option<SplitNotice> {
        let proposed = self.proposal.as_ref().map(|one| one.split.clone());
        let active = self.active.clone();
        let has_any = active.is_some() || proposed.is_some();
        let rank = Rank { token, number: self.last_number };
        has_any.then(|| SplitNotice { zone: zone.clone(), rank, active, proposed })
    }

    /// The state that this host reports as the lead once it has no split any more.
    #[must_use]
    pub fn ended(&self, zone: &Zone, token: Token) -> SplitNotice {
        let rank = Rank { token, number: self.last_number };
        SplitNotice { zone: zone.clone(), rank, active: None, proposed: None }
    }

    /// Rank of the next split under the claim of this host.
    fn next_rank(&mut self, token: Token) -> Rank {
        self.last_number += 1;
        Rank { token, number: self.last_number }
    }

    /// Goes on with the last known split under a new claim of this host. `members` are the hosts of the zone
    /// that may be members, this one first.
    pub fn lead(&mut self, token: Token, members: &[Member], now: Instant) -> Option<Change> {
        let me = members.first()?.clone();
        self.proposal = None;
        self.offered = None;
        self.unanswered.clear();
        self.last_number = 0;
        let known = self.active.clone()?;
        let remaining = |member: &&Member| members.iter().any(|one| one.host == member.host);
        let others = known.members.iter().filter(|one| one.host != me.host).filter(remaining);
        let members: Vec<Member> = std::iter::once(me.clone()).chain(others.cloned()).collect();
        self.planner = Planner::with_members(members.len(), now);
        let split = Split { zone: known.zone, rank: self.next_rank(token), members };
        self.activate(&me.host, split.clone(), now);
        self.is_ready = true;
        Some(Change::Active(split))
    }

    /// Decides as lead on the split of its zone. `available` are the hosts of the zone that are alive and can take
    /// part, this one first and then the highest ranking ones.
    pub fn decide(
        &mut self,
        (zone, token): (&Zone, Token),
        available: &[Member],
        demand: Demand,
        now: Instant,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        let Some(me) = available.first() else {
            return changes;
        };
        self.is_ready = true;
        changes.extend(self.drop_lost(token, me, available, now));
        self.unanswered.retain(|_, at| now.duration_since(*at) < RETRY_DELAY);
        let candidates = self.candidates(available);
        let recent = self.reports.values().filter(|one| now.duration_since(one.at) <= PEER_TIMEOUT);
        let backlogs = recent.map(|report| report.notice.backlog_ms);
        let reported = Duration::from_millis(backlogs.max().unwrap_or_default().into());
        let backlog = demand.backlog.max(reported);
        let demand = Demand { hosts: candidates.len(), backlog, ..demand };
        let count = self.planner.plan(&demand, now);
        if self.proposal.is_some() {
            changes.extend(self.conclude(me, available, now));
            return changes;
        }
        let members: Vec<Member> = candidates.into_iter().take(count).collect();
        let is_alone = self.active.is_none() && members.len() == 1;
        let is_same = |one: &Split| {
            one.members.len() == members.len()
                && members.iter().all(|member| one.names(&member.host))
        };
        if !is_alone && !self.active.as_ref().is_some_and(is_same) {
            let split = Split { zone: zone.clone(), rank: self.next_rank(token), members };
            self.proposal = Some(Proposal { split: split.clone(), since: now });
            changes.push(Change::Proposed(split));
            changes.extend(self.conclude(me, available, now));
        } else if !demand.is_dense && self.is_over(available, now) {
            self.end();
            self.last_number += 1;
            changes.push(Change::Ended);
        }
        changes
    }

    /// Whether the split names the lead alone and nobody acts by an earlier one.
    fn is_over(&self, available: &[Member], now: Instant) -> bool {
        let is_awaited = available.iter().any(|one| self.awaited.contains(&one.host));
        let is_settled = self.activated_at.is_some_and(|at| now.duration_since(at) > MAX_HANDOVER);
        self.active.as_ref().is_some_and(|one| one.members.len() == 1) && !is_awaited && is_settled
    }

    /// Hosts that may be members: this one, the present ones, and others of at least half the strongest one's
    /// share of the processor that have not failed to answer.
    fn candidates(&self, available: &[Member]) -> Vec<Member> {
        let strongest = available.iter().map(|one| one.cpu_millis).max().unwrap_or_default();
        let is_present =
            |member: &Member| self.active.as_ref().is_some_and(|one| one.names(&member.host));
        let is_eligible = |member: &&Member| {
            member.cpu_millis * 2 >= strongest && !self.unanswered.contains_key(&member.host)
        };
        let (me, others) = available.split_at(1);
        let present = others.iter().filter(|one| is_present(one));
        let new = others.iter().filter(|one| !is_present(one)).filter(is_eligible);
        me.iter().chain(present).chain(new).cloned().collect()
    }

    /// Puts a split without the members that are lost or stopping, or that don't follow, in force at once.
    fn drop_lost(
        &mut self,
        token: Token,
        me: &Member,
        available: &[Member],
        now: Instant,
    ) -> Option<Change> {
        let active = self.active.as_ref()?;
        let follows = |member: &Member| {
            let followed_at = self.followed_at.get(&member.host);
            followed_at.is_some_and(|at| now.duration_since(*at) <= FOLLOW_TIMEOUT)
        };
        let is_kept = |member: &Member| {
            member.host == me.host || available.contains(member) && follows(member)
        };
        let (members, dropped): (Vec<Member>, Vec<Member>) =
            active.members.iter().cloned().partition(is_kept);
        if dropped.is_empty() {
            return None;
        }
        self.proposal = None;
        self.unanswered.extend(dropped.into_iter().map(|one| (one.host, now)));
        let zone = active.zone.clone();
        let split = Split { zone, rank: self.next_rank(token), members };
        self.activate(&me.host, split.clone(), now);
        Some(Change::Active(split))
    }

    /// Puts the proposed split in force once all its members have answered, or without new ones that did not answer
    /// in time. A present member that is behind keeps its place, since it has runs to end.
    fn conclude(&mut self, me: &Member, available: &[Member], now: Instant) -> Option<Change> {
        let Proposal { split, since } = self.proposal.as_ref()?;
        let has_answered = |member: &Member| {
            let ready_for = self.reports.get(&member.host).and_then(|one| one.notice.ready_for);
            let is_available = available.iter().any(|one| one.host == member.host);
            member.host == me.host || is_available && ready_for == Some(split.rank)
        };
        let is_complete = split.members.iter().all(has_answered);
        if !is_complete && now.duration_since(*since) < PROPOSAL_TIMEOUT {
            return None;
        }
        let present = |member: &Member| self.active.iter().any(|one| one.members.contains(member));
        let (members, missing): (Vec<Member>, Vec<Member>) =
            split.members.iter().cloned().partition(|one| has_answered(one) || present(one));
        let is_same = self.active.as_ref().map_or(members.len() == 1, |one| one.members == members);
        let split = Split { members, ..split.clone() };
        self.proposal = None;
        self.unanswered.extend(missing.into_iter().map(|one| (one.host, now)));
        if is_same {
            return None;
        }
        self.activate(&me.host, split.clone(), now);
        Some(Change::Active(split))
    }
}
