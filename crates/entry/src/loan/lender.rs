//! The lender's side of loans: which peer has borrowed which of this steward's slots, and requests
//! that could not be met yet.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Target;
use coltsfootshunt_core::submission::Incarnation;

use super::Request;
use crate::target::LentSlots;

/// Time within which a borrower may start tasks on lent slots.
pub const TERM: Duration = Duration::from_millis(250);
/// Time for which an unmet request is kept.
pub(super) const REQUEST_LIFETIME: Duration = Duration::from_millis(250);
/// Time after a grant before the borrower's report of the slots it holds counts. An earlier report
/// may have crossed with a grant or a return.
const RECONCILE_DELAY: Duration = Duration::from_millis(2_500);

/// Time before a borrower is asked again to return slots.
const RECALL_INTERVAL: Duration = Duration::from_millis(200);

/// Slots that a steward has lent, and requests that it could not meet yet, by borrower.
#[derive(Debug, Default)]
pub struct Lender {
    loans: BTreeMap<Incarnation, Account>,
    requests: BTreeMap<Incarnation, PendingRequest>,
}

#[derive(Debug)]
struct Account {
    slots: BTreeMap<Target, u32>,
    granted_at: Instant,
    recalled_at: Option<Instant>,
}

#[derive(Debug)]
struct PendingRequest {
    request: Request,
    received_at: Instant,
}

impl Lender {
    /// Records slots that were granted.
    pub fn record_grant(&mut self, borrower: Incarnation, granted: &[LentSlots], now: Instant) {
        let account = self.loans.entry(borrower).or_insert_with(|| Account {
            slots: BTreeMap::new(),
            granted_at: now,
            recalled_at: None,
        });
        account.granted_at = now;
        for lent in granted {
            *account.slots.entry(lent.target.clone()).or_default() += lent.slots;
        }
    }

    /// Records slots that a borrower returned. Returns those that were on loan to it.
    pub fn record_return(
        &mut self,
        borrower: Incarnation,
        returned: &[LentSlots],
    ) -> Vec<LentSlots> {
        let Some(account) = self.loans.get_mut(&borrower) else {
            return Vec::new();
        };
        let mut accepted = Vec::new();
        for lent in returned {
            let Some(held) = account.slots.get_mut(&lent.target) else {
                continue;
            };
            let slots = lent.slots.min(*held);
            *held -= slots;
            if *held == 0 {
                account.slots.remove(&lent.target);
            }
            accepted.push(LentSlots { target: lent.target.clone(), slots });
        }
        accepted
    }

    /// Corrects the records by a borrower's report of the slots it holds, once no grant or return
    /// can be in transit. Returns the slots that the borrower does not hold.
    pub fn reconcile(
        &mut self,
        borrower: Incarnation,
        holding: &[LentSlots],
        now: Instant,
    ) -> Vec<LentSlots> {
        let Some(account) = self.loans.get(&borrower) else {
            return Vec::new();
        };
        if now.duration_since(account.granted_at) < RECONCILE_DELAY {
            return Vec::new();
        }
        let held = |target: &Target| {
            holding.iter().filter(|l| l.target == *target).map(|l| l.slots).sum::<u32>()
        };
        let excess = account.slots.iter().filter_map(|(target, slots)| {
            let slots = slots.saturating_sub(held(target));
            (slots > 0).then(|| LentSlots { target: target.clone(), slots })
        });
        let excess: Vec<_> = excess.collect();
        self.record_return(borrower, &excess)
    }

    /// Drops all records of a failed borrower. Returns the slots that were on loan to it.
    pub fn write_off(&mut self, borrower: Incarnation) -> Vec<LentSlots> {
        self.requests.remove(&borrower);
        let account = self.loans.remove(&borrower);
        let slots = account.map(|account| account.slots).unwrap_or_default();
        slots.into_iter().map(|(target, slots)| LentSlots { target, slots }).collect()
    }

    /// Returns the borrowers to ask for their slots now, and records that they were asked.
    pub fn begin_recalls(&mut self, now: Instant) -> Vec<Incarnation> {
        let mut asked = Vec::new();
        for (borrower, account) in &mut self.loans {
            let is_recent =
                account.recalled_at.is_some_and(|at| now.duration_since(at) < RECALL_INTERVAL);
            if is_recent || account.slots.is_empty() {
                continue;
            }
            account.recalled_at = Some(now);
            asked.push(*borrower);
        }
        asked
    }

    /// Whether there are unmet requests. Some may have expired.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.requests.is_empty()
    }

    /// Keeps a request that could not be met, in place of an earlier one of the same borrower.
    pub fn queue_request(&mut self, request: Request, now: Instant) {
        self.requests.insert(request.borrower, PendingRequest { request, received_at: now });
    }

    /// Removes and returns the oldest unmet request that has not expired.
    pub fn next_pending(&mut self, now: Instant) -> Option<Request> {
        self.requests
            .retain(|_, pending| now.duration_since(pending.received_at) < REQUEST_LIFETIME);
        let oldest = self.requests.iter().min_by_key(|(_, pending)| pending.received_at)?;
        let borrower = *oldest.0;
        self.requests.remove(&borrower).map(|pending| pending.request)
    }

    /// Number of slots lent to each borrower.
    pub fn iter(&self) -> impl Iterator<Item = (Incarnation, u32)> {
        self.loans.iter().map(|(borrower, account)| (*borrower, account.slots.values().sum()))
    }
}
