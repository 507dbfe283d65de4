//! Start times of a target in the directory and in its own reports.

use std::time::Instant;

use coltsfootshunt_testkit::cases;

use super::{CLOCK, LEASE, claimed_tracker, ends, start_and_confirm};
use crate::directory::tests::entry;
use crate::job::End;
use crate::lease::{self, Call, Evidence, Order, Report, Response, Token, Tracker};

fn report(started_at_ms: Option<u64>) -> Response {
    Response::Report(Report { clock_ms: CLOCK, started_at_ms, ..Report::default() })
}

fn update(tracker: &mut Tracker, listed: u64) {
    let mut listed_entry = entry("t", "a");
    listed_entry.started_at_ms = listed;
    tracker.update(&listed_entry);
}

/// If the directory showed a new incarnation before its first report, the ends of that incarnation were
/// taken for processed ones of the earlier one: they were acknowledged unseen, and the runs were lost.
fn counts_ends_of_a_new_incarnation(show: fn(&mut Tracker, Instant) -> Call) {
    let begin = Instant::now();
    let mut tracker = claimed_tracker(begin);
    start_and_confirm(&mut tracker, 0, begin);
    let renewal = tracker.next_renewal(begin).unwrap();
    let ended = [(3, 0, lease::End::Done)];
    let changes = tracker.handle_response(&renewal, super::report(CLOCK + 2, &[], &ended), begin);
    assert_eq!(ends(&changes), [(0, End::Done)]);
    let later = begin + LEASE * 2;
    let claim = show(&mut tracker, later);
    tracker.handle_response(&claim, report(Some(2)), later);
    start_and_confirm(&mut tracker, 1, later);
    let renewal = tracker.next_renewal(later).unwrap();
    let Order::Renew { lease_until_ms: Some(lease_until_ms), acknowledged, .. } = renewal.order
    else {
        panic!("expected an extension of the lease");
    };
    assert_eq!(acknowledged, 0, "acknowledges ends that were not listed");
    let longest_ms = LEASE.as_millis() as u64;
    assert!(lease_until_ms <= CLOCK + 1 + longest_ms, "lease until {lease_until_ms} ms");
    let Response::Report(ended) = super::report(CLOCK + 9, &[], &[(1, 1, lease::End::Done)]) else {
        unreachable!();
    };
    let ended = Report { started_at_ms: Some(2), ..ended };
    let changes = tracker.handle_response(&renewal, Response::Report(ended), later);
    assert_eq!(ends(&changes), [(1, End::Done)]);
}

fn show_while_released(tracker: &mut Tracker, now: Instant) -> Call {
    tracker.release(End::Lost, Evidence::LeaseExpired, &mut Vec::new());
    update(tracker, 2);
    tracker.claim(Token(6), now)
}

fn show_during_a_claim(tracker: &mut Tracker, now: Instant) -> Call {
    let claim = tracker.claim(Token(6), now);
    update(tracker, 2);
    claim
}

cases! { counts_ends_of_a_new_incarnation:
    shown_while_the_target_was_released(show_while_released);
    shown_while_a_claim_was_pending(show_during_a_claim);
}
