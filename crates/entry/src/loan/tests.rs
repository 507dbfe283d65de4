//! Tests of this slice.

use std::time::{Duration, Instant};

use coltsfootshunt_core::config::Resources;
use coltsfootshunt_core::name::Target;
use coltsfootshunt_core::submission::Incarnation;
use coltsfootshunt_testkit::cases;

use super::{Borrower, Candidate, Disabled, Lender, Loan, MostIdle, Request, Sharing};
use crate::target::LentSlots;

const PEER: Incarnation = Incarnation(3);

fn offer(slots: u32) -> LentSlots {
    LentSlots { target: Target::try_from("target").expect("a name"), slots }
}

fn slots(offers: &[LentSlots]) -> u32 {
    offers.iter().map(|offer| offer.slots).sum()
}

/// Peers as (near, idle, waiting), and whom to ask for how many slots.
fn plans(sharing: &dyn Sharing, wanted: u32, peers: &[(bool, u32, u32)], asked: &[(u64, u32)]) {
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
    assert_eq!(found, asked);
}

cases! { plans:
    nobody(&MostIdle, 5, &[], &[]);
    one_is_enough(&MostIdle, 5, &[(true, 3, 0), (true, 9, 0)], &[(1, 5)]);
    two_are_needed(&MostIdle, 11, &[(true, 3, 0), (true, 9, 0)], &[(1, 9), (0, 2)]);
    near_ones_first(&MostIdle, 5, &[(false, 50, 0), (true, 3, 0)], &[(1, 3), (0, 2)]);
    nobody_idle(&MostIdle, 5, &[(true, 0, 0), (true, 0, 7)], &[(0, 5)]);
    all_are_full(&MostIdle, 5, &[(true, 0, 4), (true, 0, 7)], &[]);
    baseline_asks_nobody(&Disabled, 5, &[(true, 9, 0)], &[]);
}

/// What comes back counts only as far as it was lent.
fn gives_back(lent: u32, back: u32, counted: u32) {
    let now = Instant::now();
    let mut lender = Lender::default();
    lender.record_grant(PEER, &[offer(lent)], now);
    assert_eq!(slots(&lender.record_return(PEER, &[offer(back)])), counted);
}

cases! { gives_back:
    part(5, 2, 2);
    all(5, 5, 5);
    more_than_all(5, 9, 5);
}

/// A lost message is made good by the borrower's own word, once none can be under way.
fn reconciles(lent: u32, held: u32, secs: u64, freed: u32) {
    let now = Instant::now();
    let mut lender = Lender::default();
    lender.record_grant(PEER, &[offer(lent)], now);
    let later = now + Duration::from_secs(secs);
    assert_eq!(slots(&lender.reconcile(PEER, &[offer(held)], later)), freed);
}

cases! { reconciles:
    too_early(5, 2, 1, 0);
    some_were_lost(5, 2, 3, 3);
    all_were_lost(5, 0, 3, 5);
    nothing_was_lost(5, 5, 3, 0);
}

/// A dead borrower's slots are written off whole.
#[test]
fn dead_borrower_is_written_off() {
    let mut lender = Lender::default();
    lender.record_grant(PEER, &[offer(5)], Instant::now());
    assert_eq!(slots(&lender.write_off(PEER)), 5);
    assert_eq!(slots(&lender.write_off(PEER)), 0);
}

/// A wish that could not be met stands for a short time.
fn wish_stands(millis: u64, stands: bool) {
    let now = Instant::now();
    let mut lender = Lender::default();
    lender.queue_request(Request { borrower: PEER, needs: Resources::default(), slots: 1 }, now);
    let later = now + Duration::from_millis(millis);
    assert_eq!(lender.next_pending(later).is_some(), stands);
    assert!(lender.next_pending(later).is_none(), "it is met once");
}

cases! { wish_stands:
    at_once(0, true);
    for_a_while(200, true);
    not_for_long(300, false);
}

/// A loan of 4 slots with so many spare goes back now, or not.
fn goes_back(idle: u32, is_expired: bool, recalled: bool, has_work: bool, wanted: bool) {
    let mut borrower = Borrower::default();
    let now = Instant::now();
    let earlier = Duration::from_millis(50);
    borrower.record_return(PEER, false, now - earlier);
    if recalled {
        borrower.record_recall(PEER);
    }
    let loan = Loan { lender: PEER, slots: 4, idle, is_expired };
    assert_eq!(borrower.should_return(&loan, has_work, now), wanted);
}

cases! { goes_back:
    all_in_use(0, true, true, false, false);
    some_idle_and_lender_has_plenty(2, false, false, false, false);
    all_idle(4, false, false, false, true);
    all_idle_but_work_waits(4, false, false, true, false);
    recalled(2, false, true, false, true);
    recalled_but_work_waits(2, false, true, true, false);
    term_over_but_collected_a_moment_ago(2, true, false, false, false);
    term_over_and_all_idle(4, true, false, true, true);
}
