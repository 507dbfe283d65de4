//! The borrower's side: whom to ask for how many slots.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use coltsfootshunt_core::submission::Incarnation;

use super::lender::WISH_LIFE;

/// Time before the same peer is asked again; the wish stands there for as long.
const ASK_AGAIN: Duration = WISH_LIFE;
/// Time over which slots are collected before they go back, while their lender can do without.
const COLLECT: Duration = Duration::from_millis(250);
/// The same once the lender has asked for them.
const COLLECT_RECALLED: Duration = Duration::from_millis(40);
/// Peers that are asked where none is known to have a free slot.
const BLIND: usize = 1;

/// A peer that may lend.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The peer.
    pub peer: Incarnation,
    /// Whether it is in this entry's zone.
    pub is_same_zone: bool,
    /// Slots that it has free, by its last word.
    pub idle: u32,
    /// Tasks that wait there, by its last word.
    pub waiting: u32,
}

/// Slots on loan from one lender.
#[derive(Clone, Copy, Debug)]
pub struct Loan {
    /// The lender.
    pub lender: Incarnation,
    /// Slots.
    pub slots: u32,
    /// Slots that no task uses.
    pub idle: u32,
    /// Whether the time to start tasks on them is over.
    pub is_expired: bool,
}

/// Decides whom to ask.
pub trait Sharing: Send {
    /// Peers and the number of slots to ask each for, to get `wanted` in all.
    fn plan(&self, wanted: u32, candidates: &[Candidate]) -> Vec<(Incarnation, u32)>;

    /// Whether work can count on the slots of peers.
    fn can_borrow(&self) -> bool;
}

/// Asks the peers with most free slots, near ones first.
#[derive(Clone, Copy, Debug, Default)]
pub struct MostIdle;

/// Asks nobody; the baseline.
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
            let blind = candidates.iter().filter(|c| c.waiting == 0).take(BLIND);
            plan.extend(blind.map(|c| (c.peer, wanted)));
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

/// What was asked for and not answered.
#[derive(Debug, Default)]
pub struct Borrower {
    asked: BTreeMap<Incarnation, Asked>,
    recalled: BTreeSet<Incarnation>,
    returned: BTreeMap<Incarnation, Instant>,
}

#[derive(Debug)]
struct Asked {
    slots: u32,
    at: Instant,
}

impl Borrower {
    /// Whether this peer may be asked now.
    #[must_use]
    pub fn can_request(&self, peer: Incarnation, now: Instant) -> bool {
        self.asked.get(&peer).is_none_or(|asked| now.duration_since(asked.at) >= ASK_AGAIN)
    }

    /// Notes a question.
    pub fn record_request(&mut self, peer: Incarnation, slots: u32, now: Instant) {
        self.asked.insert(peer, Asked { slots, at: now });
    }

    /// Notes the answer; the peer may be asked again at once if it gave something.
    pub fn record_response(&mut self, peer: Incarnation, granted: u32) {
        if granted > 0 {
            self.asked.remove(&peer);
        } else if let Some(asked) = self.asked.get_mut(&peer) {
            asked.slots = 0;
        }
    }

    /// Slots that were asked for and not answered; a wish that could not be met counts no more.
    #[must_use]
    pub fn pending_slots(&self, now: Instant) -> u32 {
        let fresh = |asked: &&Asked| now.duration_since(asked.at) < ASK_AGAIN;
        self.asked.values().filter(fresh).map(|asked| asked.slots).sum()
    }

    /// The lender has use for its slots.
    pub fn record_recall(&mut self, lender: Incarnation) {
        self.recalled.insert(lender);
    }

    /// Whether idle slots of a loan go back now. A loan goes back whole as soon as all of it is
    /// idle, and in parts if the lender has use for it or its term is over.
    #[must_use]
    pub fn should_return(&self, loan: &Loan, has_work: bool, now: Instant) -> bool {
        if loan.idle == 0 {
            return false;
        }
        let free_to_go = !has_work || loan.is_expired;
        if loan.idle == loan.slots {
            return free_to_go;
        }
        let recalled = self.recalled.contains(&loan.lender);
        let collect = if recalled { COLLECT_RECALLED } else { COLLECT };
        let last = self.returned.get(&loan.lender);
        let collected = last.is_none_or(|at| now.duration_since(*at) >= collect);
        collected && if recalled { free_to_go } else { loan.is_expired }
    }

    /// Notes that slots went back.
    pub fn record_return(&mut self, lender: Incarnation, whole: bool, now: Instant) {
        self.returned.insert(lender, now);
        if whole {
            self.recalled.remove(&lender);
            self.returned.remove(&lender);
        }
    }

    /// Forgets a peer that is gone.
    pub fn forget(&mut self, peer: Incarnation) {
        self.asked.remove(&peer);
        self.recalled.remove(&peer);
        self.returned.remove(&peer);
    }
}
