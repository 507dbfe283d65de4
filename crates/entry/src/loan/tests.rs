//! Tests of slot loans.

use std::time::{Duration, Instant};

use coltsfootshunt_core::config::Resources;
use coltsfootshunt_core::name::Target;
use coltsfootshunt_core::submission::Incarnation;
use coltsfootshunt_testkit::cases;

use super::{Borrower, Candidate, Disabled, Lender, Loan, MostIdle, Request, Sharing};
use crate::target::LentSlots;

const PEER: Incarnation = Incarnation(3);

fn lent(slots: u32) -> LentSlots {
    LentSlots { target: Target::try_from("target").expect("a valid name"), slots }
}

fn total_slots(lent: &[LentSlots]) -> u32 {
    lent.iter().map(|lent| lent.slots).sum()
}

/// Checks how many slots are requested from which peer. Peers are given as (same zone, idle
/// slots, waiting tasks), the expected requests as (index of the peer, slots).
fn plans(sharing: &dyn Sharing, wanted: u32, peers: &[(bool, u32, u32)], expected: &[(u64, u32)]) {
    let candidate =
        |(number, (is_same_zone, idle, waiting)): (usize, &(bool, u32, u32))| Candidate {
            peer: Incarnation(number as u64),
            is_same_zone: *is_same_zone,
            idle: *idle,
            waiting: *waiting,
        };
    let candidates: Vec<_> = peers.iter().enumerate().map(candidate).collect();
    let plan = sharing.plan(wanted, &candidates);
    let found: Vec<_> = plan.into_iter().map(|(peer, slots)| (peer.0, slots)).collect();
    assert_eq!(found, expected);
}

cases! { plans:
    no_peers(&MostIdle, 5, &[], &[]);
    one_peer_is_enough(&MostIdle, 5, &[(true, 3, 0), (true, 9, 0)], &[(1, 5)]);
    two_peers_are_needed(&MostIdle, 11, &[(true, 3, 0), (true, 9, 0)], &[(1, 9), (0, 2)]);
    same_zone_first(&MostIdle, 5, &[(false, 50, 0), (true, 3, 0)], &[(1, 3), (0, 2)]);
    no_idle_slots(&MostIdle, 5, &[(true, 0, 0), (true, 0, 7)], &[(0, 5)]);
    all_peers_are_full(&MostIdle, 5, &[(true, 0, 4), (true, 0, 7)], &[]);
    baseline_requests_nothing(&Disabled, 5, &[(true, 9, 0)], &[]);
}

/// Returned slots count only up to the number lent.
fn returns(granted: u32, returned: u32, accepted: u32) {
    let now = Instant::now();
    let mut lender = Lender::default();
    lender.record_grant(PEER, &[lent(granted)], now);
    assert_eq!(total_slots(&lender.record_return(PEER, &[lent(returned)])), accepted);
}

cases! { returns:
    some(5, 2, 2);
    all(5, 5, 5);
    more_than_lent(5, 9, 5);
}

/// The borrower's report of the slots it holds makes up for a lost message, but only once no
/// message can be in transit.
fn reconciles(granted: u32, held: u32, secs: u64, freed: u32) {
    let now = Instant::now();
    let mut lender = Lender::default();
    lender.record_grant(PEER, &[lent(granted)], now);
    let later = now + Duration::from_secs(secs);
    assert_eq!(total_slots(&lender.reconcile(PEER, &[lent(held)], later)), freed);
}

cases! { reconciles:
    too_early(5, 2, 1, 0);
    some_were_lost(5, 2, 3, 3);
    all_were_lost(5, 0, 3, 5);
    none_were_lost(5, 5, 3, 0);
}

/// All slots of a failed borrower are freed, once.
#[test]
fn failed_borrower_is_written_off() {
    let mut lender = Lender::default();
    lender.record_grant(PEER, &[lent(5)], Instant::now());
    assert_eq!(total_slots(&lender.write_off(PEER)), 5);
    assert_eq!(total_slots(&lender.write_off(PEER)), 0);
}

/// An unmet request is kept for a short time.
fn keeps_request(millis: u64, is_kept: bool) {
    let now = Instant::now();
    let mut lender = Lender::default();
    lender.queue_request(Request { borrower: PEER, needs: Resources::default(), slots: 1 }, now);
    let later = now + Duration::from_millis(millis);
    assert_eq!(lender.next_pending(later).is_some(), is_kept);
    assert!(lender.next_pending(later).is_none(), "a request is returned only once");
}

cases! { keeps_request:
    at_once(0, true);
    before_expiry(200, true);
    after_expiry(300, false);
}

/// Whether idle slots of a loan of 4 slots are returned now, 50 ms after the last return.
fn returns_idle(idle: u32, is_expired: bool, is_recalled: bool, has_work: bool, expected: bool) {
    let mut borrower = Borrower::default();
    let now = Instant::now();
    let earlier = Duration::from_millis(50);
    borrower.record_return(PEER, false, now - earlier);
    if is_recalled {
        borrower.record_recall(PEER);
    }
    let loan = Loan { lender: PEER, slots: 4, idle, is_expired };
    assert_eq!(borrower.should_return(&loan, has_work, now), expected);
}

cases! { returns_idle:
    all_in_use(0, true, true, false, false);
    some_idle_and_not_recalled(2, false, false, false, false);
    all_idle(4, false, false, false, true);
    all_idle_but_tasks_wait(4, false, false, true, false);
    recalled(2, false, true, false, true);
    recalled_but_tasks_wait(2, false, true, true, false);
    expired_but_returned_recently(2, true, false, false, false);
    expired_and_all_idle(4, true, false, true, true);
}
