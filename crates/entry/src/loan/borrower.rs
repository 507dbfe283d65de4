//! The borrower's side of loans: which peers to ask for how many slots, and when to return them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use coltsfootshunt_core::submission::Incarnation;

use super::lender::REQUEST_LIFETIME;

/// Time before the same peer is asked again. The lender keeps an unmet request for as long.
const REQUEST_INTERVAL: Duration = REQUEST_LIFETIME;
/// Time over which idle slots are collected before they are returned to a lender that has not
/// recalled them.
const RETURN_INTERVAL: Duration = Duration::from_millis(250);
/// The same time for a lender that has recalled its slots.
const RECALLED_RETURN_INTERVAL: Duration = Duration::from_millis(40);
/// Most peers that are asked if none is known to have a free slot.
const MAX_SPECULATIVE_REQUESTS: usize = 1;

/// A peer that may lend slots.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Incarnation of the peer.
    pub peer: Incarnation,
    /// Whether the peer is in this entry's zone.
    pub is_same_zone: bool,
    /// Free slots of the peer, as last reported.
    pub idle: u32,
    /// Tasks waiting at the peer, as last reported.
    pub waiting: u32,
}

/// All slots borrowed from one lender.
#[derive(Clone, Copy, Debug)]
pub struct Loan {
    /// The steward that lends the slots.
    pub lender: Incarnation,
    /// Number of slots on loan.
    pub slots: u32,
    /// Slots on loan that no task uses.
    pub idle: u32,
    /// Whether some of the slots can start no more tasks: their term is over, or their target is
    /// leaving.
    pub is_expired: bool,
}

/// Decides which peers to borrow from.
pub trait Sharing: Send {
    /// The peers to ask, with the number of slots to request from each, to get `wanted` slots in
    /// total.
    fn plan(&self, wanted: u32, candidates: &[Candidate]) -> Vec<(Incarnation, u32)>;

    /// Whether slots of peers can be borrowed, so that admission may count on them.
    fn can_borrow(&self) -> bool;
}

/// Borrows from the peers with the most free slots, those in the same zone first.
#[derive(Clone, Copy, Debug, Default)]
pub struct MostIdle;

/// Never borrows. This is the baseline for comparisons.
#[derive(Clone, Copy, Debug, Default)]
pub struct Disabled;

impl Sharing for MostIdle {
    fn plan(&self, wanted: u32, candidates: &[Candidate]) -> Vec<(Incarnation, u32)> {
        let mut sorted: Vec<_> = candidates.iter().filter(|c| c.idle > 0).collect();
        sorted.sort_by_key(|c| (!c.is_same_zone, u32::MAX - c.idle, c.peer));
        let mut plan = Vec::new();
        let mut missing = wanted;
        for candidate in sorted {
            if missing == 0 {
                return plan;
            }
            let slots = missing.min(candidate.idle);
            plan.push((candidate.peer, slots));
            missing -= slots;
        }
        if plan.is_empty() {
            let speculative =
                candidates.iter().filter(|c| c.waiting == 0).take(MAX_SPECULATIVE_REQUESTS);
            plan.extend(speculative.map(|c| (c.peer, wanted)));
        }
        plan
    }

    fn can_borrow(&self) -> bool {
        true
    }
}

impl Sharing for Disabled {
    fn can_borrow(&self) -> bool {
        false
    }

    fn plan(&self, _wanted: u32, _candidates: &[Candidate]) -> Vec<(Incarnation, u32)> {
        Vec::new()
    }
}

/// Requests, recalls and returns of this entry's loans, by lender.
#[derive(Debug, Default)]
pub struct Borrower {
    requests: BTreeMap<Incarnation, SentRequest>,
    recalled: BTreeSet<Incarnation>,
    last_returns: BTreeMap<Incarnation, Instant>,
}

#[derive(Debug)]
struct SentRequest {
    slots: u32,
    sent_at: Instant,
}

impl Borrower {
    /// Whether this peer may be asked now.
    #[must_use]
    pub fn can_request(&self, peer: Incarnation, now: Instant) -> bool {
        self.requests
            .get(&peer)
            .is_none_or(|request| now.duration_since(request.sent_at) >= REQUEST_INTERVAL)
    }

    /// Records that slots were requested from a peer.
    pub fn record_request(&mut self, peer: Incarnation, slots: u32, now: Instant) {
        self.requests.insert(peer, SentRequest { slots, sent_at: now });
    }

    /// Records the response of a peer. If it granted any slots, it may be asked again at once.
    pub fn record_response(&mut self, peer: Incarnation, granted: u32) {
        if granted > 0 {
            self.requests.remove(&peer);
        } else if let Some(request) = self.requests.get_mut(&peer) {
            request.slots = 0;
        }
    }

    /// Slots requested recently from peers that have not responded yet.
    #[must_use]
    pub fn pending_slots(&self, now: Instant) -> u32 {
        let recent =
            |request: &&SentRequest| now.duration_since(request.sent_at) < REQUEST_INTERVAL;
        self.requests.values().filter(recent).map(|request| request.slots).sum()
    }

    /// Records that a lender needs its slots back.
    pub fn record_recall(&mut self, lender: Incarnation) {
        self.recalled.insert(lender);
    }

    /// Whether the idle slots of a loan should be returned now. A loan is returned whole as soon
    /// as all its slots are idle, and in parts if the lender recalled it or its term is over.
    #[must_use]
    pub fn should_return(&self, loan: &Loan, has_work: bool, now: Instant) -> bool {
        if loan.idle == 0 {
            return false;
        }
        let is_dispensable = !has_work || loan.is_expired;
        if loan.idle == loan.slots {
            return is_dispensable;
        }
        let is_recalled = self.recalled.contains(&loan.lender);
        let interval = if is_recalled { RECALLED_RETURN_INTERVAL } else { RETURN_INTERVAL };
        let last = self.last_returns.get(&loan.lender);
        let is_due = last.is_none_or(|at| now.duration_since(*at) >= interval);
        is_due && if is_recalled { is_dispensable } else { loan.is_expired }
    }

    /// Records that slots were returned. `whole` says that none remain on loan from this lender.
    pub fn record_return(&mut self, lender: Incarnation, whole: bool, now: Instant) {
        self.last_returns.insert(lender, now);
        if whole {
            self.recalled.remove(&lender);
            self.last_returns.remove(&lender);
        }
    }

    /// Drops all records of a failed peer.
    pub fn forget(&mut self, peer: Incarnation) {
        self.requests.remove(&peer);
        self.recalled.remove(&peer);
        self.last_returns.remove(&peer);
    }
}
