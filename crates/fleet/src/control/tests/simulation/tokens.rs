//! Use of fencing tokens: each belongs to one process, and to one of its claims.

use std::collections::{BTreeMap, BTreeSet};
use std::time::UNIX_EPOCH;

use coltsfootshunt_core::clock::Clock;
use coltsfootshunt_core::name::{Target, Zone};

use super::Simulation;
use crate::lease::{Call, Order, Phase, Rejection, Response, Suffix, Token};
use crate::member::Claim;

/// One run of a host's process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Process {
    pub(super) host: usize,
    pub(super) incarnation: u64,
}

impl Process {
    /// Describes two different processes.
    fn describe_both(self, other: Self) -> String {
        if self.host == other.host {
            return format!("two incarnations of h{}", self.host);
        }
        let (low, high) = (self.host.min(other.host), self.host.max(other.host));
        format!("h{low} and h{high} both")
    }
}

/// Tokens used so far.
#[derive(Default)]
pub(super) struct Ledger {
    /// Process that first used a token at an incarnation of a target, which accepted it.
    accepted: BTreeMap<(Target, u64, Token), Process>,
    /// Claims on targets by each process.
    claimed: BTreeSet<(Process, Target, Token)>,
    /// Process that first claimed a zone with a token.
    zones: BTreeMap<(Zone, Token), Process>,
    /// Violations that were reported; each is reported once for a pair of processes and a target or
    /// zone.
    reported: BTreeSet<(Process, Process, String)>,
}

impl Ledger {
    /// Records that an incarnation of a target accepted a token. Returns the violation, if it had
    /// accepted that token from another process.
    fn accept(&mut self, by: Process, at: (Target, u64), token: Token) -> Option<String> {
        let (target, started_at_ms) = at;
        let key = (target.clone(), started_at_ms, token);
        let first = *self.accepted.entry(key).or_insert(by);
        let is_new = first != by && self.reported.insert((first, by, target.to_string()));
        is_new.then(|| format!("{} use token {token} on {target}", first.describe_both(by)))
    }

    /// Records that a process claims a target. Returns the violation, if it had claimed that target
    /// with the same token before.
    fn claim_target(&mut self, by: Process, target: &Target, token: Token) -> Option<String> {
        let is_repeated = !self.claimed.insert((by, target.clone(), token));
        let is_new = is_repeated && self.reported.insert((by, by, target.to_string()));
        is_new.then(|| format!("h{} claims {target} twice with token {token}", by.host))
    }

    /// Records that a process claims a zone. Returns the violation, if another process had claimed
    /// that zone with the same token, or the same process for an earlier claim.
    fn claim_zone(&mut self, by: Process, claim: &Claim) -> Option<String> {
        let Claim { zone, token } = claim;
        let first = self.zones.insert((zone.clone(), *token), by)?;
        if !self.reported.insert((first, by, zone.to_string())) {
            return None;
        }
        Some(if first == by {
            format!("h{} claims zone {zone} twice with token {token}", by.host)
        } else {
            format!("{} claim zone {zone} with token {token}", first.describe_both(by))
        })
    }
}

impl Simulation {
    fn process(&self, host: usize) -> Process {
        Process { host, incarnation: self.hosts[host].incarnation }
    }

    /// Records the token of a call that a host makes, if the call claims a target.
    pub(super) fn record_target_claim(&mut self, host: usize, call: &Call) {
        let phase = self.hosts[host].state.as_ref().and_then(|state| {
            let mut trackers = state.steward.trackers();
            trackers.find(|one| one.entry.name == call.target).map(|one| one.phase)
        });
        let is_claim =
            phase == Some(Phase::Claiming(call.token)) && matches!(call.order, Order::Renew { .. });
        if is_claim {
            let by = self.process(host);
            let violation = self.tokens.claim_target(by, &call.target, call.token);
            self.report(violation);
        }
    }

    /// Records the token of a zone that a host claims.
    pub(super) fn record_zone_claim(&mut self, host: usize, claim: &Claim) {
        let by = self.process(host);
        let violation = self.tokens.claim_zone(by, claim);
        self.report(violation);
    }

    /// Records the token of a call that a process made, unless the target has fenced it.
    pub(super) fn record_acceptance(&mut self, by: Process, call: &Call, response: &Response) {
        if matches!(response, Response::Rejected(Rejection::Fenced)) {
            return;
        }
        let Some(target) = self.targets.get(&call.target) else {
            return;
        };
        let at = (call.target.clone(), target.entry.started_at_ms);
        let violation = self.tokens.accept(by, at, call.token);
        self.report(violation);
    }

    fn report(&mut self, violation: Option<String>) {
        let now_ms = self.now_ms();
        self.violations.extend(violation.map(|one| format!("{now_ms} ms: {one}")));
    }

    /// Returns the token suffix of a host that is up.
    pub(in crate::control::tests) fn token_suffix(&self, host: usize) -> Option<Suffix> {
        Some(self.hosts[host].state.as_ref()?.issuer.suffix())
    }

    /// Returns how far the highest token of any host is ahead of the true time, in milliseconds.
    pub(in crate::control::tests) fn max_token_lead_ms(&self) -> u64 {
        let wall_time = self.time.wall_time().duration_since(UNIX_EPOCH).unwrap_or_default();
        let wall_ms = u64::try_from(wall_time.as_millis()).unwrap_or(u64::MAX);
        let states = self.hosts.iter().filter_map(|host| host.state.as_ref());
        let highest = states.map(|state| state.issuer.highest().0 >> 12).max();
        highest.unwrap_or_default().saturating_sub(wall_ms)
    }

    /// Returns the hosts that hold all targets of a zone.
    pub(in crate::control::tests) fn holders(&self, zone: &str) -> Vec<usize> {
        let of_zone: Vec<&Target> = self
            .targets
            .values()
            .filter(|target| target.entry.zone.to_string() == zone)
            .map(|target| &target.entry.name)
            .collect();
        let holds_all = |host: &usize| {
            let Some(state) = &self.hosts[*host].state else {
                return false;
            };
            let is_held = |name: &&Target| {
                state.steward.trackers().any(|one| {
                    one.entry.name == **name
                        && matches!(one.phase, Phase::Held(token) if token != Token::default())
                })
            };
            of_zone.iter().all(is_held)
        };
        (0..self.hosts.len()).filter(holds_all).collect()
    }
}
