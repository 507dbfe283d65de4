//! The steward's side: who holds which of its slots, and who asked in vain.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Target;
use coltsfootshunt_core::submission::Incarnation;

use super::Request;
use crate::target::LentSlots;

/// Time within which a borrower may start tasks on lent slots.
pub const TERM: Duration = Duration::from_millis(250);
/// Time for which an unmet wish stands.
pub(super) const WISH_LIFE: Duration = Duration::from_millis(250);
/// Time after a grant before the borrower's own word on what it holds counts.
const SETTLE: Duration = Duration::from_millis(2_500);

/// Time before a borrower is asked again to give slots back.
const RECALL_AGAIN: Duration = Duration::from_millis(200);

/// The book of a steward.
#[derive(Debug, Default)]
pub struct Lender {
    lent: BTreeMap<Incarnation, Account>,
    wishes: BTreeMap<Incarnation, Wish>,
}

#[derive(Debug)]
struct Account {
    slots: BTreeMap<Target, u32>,
    granted: Instant,
    recalled: Option<Instant>,
}

#[derive(Debug)]
struct Wish {
    want: Request,
    since: Instant,
}

impl Lender {
    /// Notes slots that were granted.
    pub fn record_grant(&mut self, borrower: Incarnation, offers: &[LentSlots], now: Instant) {
        let account = self.lent.entry(borrower).or_insert_with(|| Account {
            slots: BTreeMap::new(),
            granted: now,
            recalled: None,
        });
        account.granted = now;
        for offer in offers {
            *account.slots.entry(offer.target.clone()).or_default() += offer.slots;
        }
    }

    /// Notes slots that came back. Returns those that were really lent.
    pub fn record_return(&mut self, borrower: Incarnation, offers: &[LentSlots]) -> Vec<LentSlots> {
        let Some(account) = self.lent.get_mut(&borrower) else {
            return Vec::new();
        };
        let mut back = Vec::new();
        for offer in offers {
            let Some(held) = account.slots.get_mut(&offer.target) else {
                continue;
            };
            let slots = offer.slots.min(*held);
            *held -= slots;
            if *held == 0 {
                account.slots.remove(&offer.target);
            }
            back.push(LentSlots { target: offer.target.clone(), slots });
        }
        back
    }

    /// Sets the book right after a borrower's word on what it holds, once no grant or return can
    /// be under way. Returns slots that were lent by the book only.
    pub fn reconcile(
        &mut self,
        borrower: Incarnation,
        holding: &[LentSlots],
        now: Instant,
    ) -> Vec<LentSlots> {
        let Some(account) = self.lent.get(&borrower) else {
            return Vec::new();
        };
        if now.duration_since(account.granted) < SETTLE {
            return Vec::new();
        }
        let held = |target: &Target| {
            holding.iter().filter(|o| o.target == *target).map(|o| o.slots).sum::<u32>()
        };
        let excess = account.slots.iter().filter_map(|(target, slots)| {
            let slots = slots.saturating_sub(held(target));
            (slots > 0).then(|| LentSlots { target: target.clone(), slots })
        });
        let excess: Vec<_> = excess.collect();
        self.record_return(borrower, &excess)
    }

    /// Writes off all that a dead borrower held.
    pub fn write_off(&mut self, borrower: Incarnation) -> Vec<LentSlots> {
        self.wishes.remove(&borrower);
        let account = self.lent.remove(&borrower);
        let slots = account.map(|account| account.slots).unwrap_or_default();
        slots.into_iter().map(|(target, slots)| LentSlots { target, slots }).collect()
    }

    /// Borrowers to ask for slots back, now that there is use for them.
    pub fn begin_recalls(&mut self, now: Instant) -> Vec<Incarnation> {
        let mut asked = Vec::new();
        for (borrower, account) in &mut self.lent {
            let waits = account.recalled.is_some_and(|at| now.duration_since(at) < RECALL_AGAIN);
            if waits || account.slots.is_empty() {
                continue;
            }
            account.recalled = Some(now);
            asked.push(*borrower);
        }
        asked
    }

    /// Whether a wish stands.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.wishes.is_empty()
    }

    /// Remembers what could not be granted.
    pub fn queue_request(&mut self, want: Request, now: Instant) {
        self.wishes.insert(want.borrower, Wish { want, since: now });
    }

    /// Takes the oldest wish that still stands.
    pub fn next_pending(&mut self, now: Instant) -> Option<Request> {
        self.wishes.retain(|_, wish| now.duration_since(wish.since) < WISH_LIFE);
        let oldest = self.wishes.iter().min_by_key(|(_, wish)| wish.since)?;
        let borrower = *oldest.0;
        self.wishes.remove(&borrower).map(|wish| wish.want)
    }

    /// Slots lent to each borrower.
    pub fn iter(&self) -> impl Iterator<Item = (Incarnation, u32)> {
        self.lent.iter().map(|(borrower, account)| (*borrower, account.slots.values().sum()))
    }
}
