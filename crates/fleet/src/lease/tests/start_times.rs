//! Start times of a target in the directory and in its own reports.

use std::time::{Duration, Instant};

use coltsfootshunt_testkit::cases;

use super::{CLOCK, LEASE, TERM, TOKEN, claimed_tracker, ends, free_cpu, start_and_confirm};
use crate::directory::tests::entry;
use crate::job::End;
use crate::lease::{self, Call, Evidence, Order, Phase, Report, Response, Token, Tracker};

fn report(started_at_ms: Option<u64>) -> Response {
    Response::Report(Report { clock_ms: CLOCK, started_at_ms, ..Report::default() })
}

fn update(tracker: &mut Tracker, listed: u64) {
    let mut listed_entry = entry("t", "a");
    listed_entry.started_at_ms = listed;
    tracker.update(&listed_entry);
}

/// A directory entry with a start time that the target's report has contradicted led to a claim with
/// every update, so that hardly anything could start there. Each step is the start time in the
/// directory and the target's own, and whether the steward claims the target.
fn claims_target(steps: &[(u64, Option<u64>, bool)]) {
    let begin = Instant::now();
    let mut first = entry("t", "a");
    first.started_at_ms = steps[0].0;
    let mut tracker = Tracker::new(first, TERM, begin);
    let mut claims = Vec::new();
    for (number, (listed, own, _)) in steps.iter().enumerate() {
        let now = begin + LEASE * number as u32;
        update(&mut tracker, *listed);
        let is_claimed = tracker.wants_claim(now);
        if is_claimed {
            let claim = tracker.claim(Token(TOKEN.0 + number as u64), now);
            tracker.handle_response(&claim, report(*own), now);
        }
        claims.push(is_claimed);
        assert!(free_cpu(&tracker, now).is_some(), "nothing can start in step {number}");
    }
    assert_eq!(claims, steps.iter().map(|step| step.2).collect::<Vec<_>>());
}

cases! { claims_target:
    once_while_the_directory_is_right(&[(1, Some(1), true), (1, Some(1), false)]);
    once_while_the_directory_is_stale(
        &[(1, Some(2), true), (1, Some(2), false), (1, Some(2), false), (2, Some(2), false)]);
    once_more_for_a_foreign_start_time(
        &[(1, Some(1), true), (9, Some(1), true), (9, Some(1), false), (9, Some(1), false)]);
    once_more_for_each_of_alternating_start_times(
        &[(1, Some(1), true), (9, Some(1), true), (8, Some(1), true), (1, Some(1), false),
            (9, Some(1), false), (8, Some(1), false), (9, Some(1), false)]);
    once_more_if_its_reports_lack_the_start_time(
        &[(1, None, true), (2, None, true), (2, None, false), (2, None, false)]);
    again_for_a_new_incarnation(
        &[(1, Some(1), true), (1, Some(1), false), (2, Some(2), true), (2, Some(2), false)]);
    again_for_a_new_incarnation_after_a_stale_entry(
        &[(1, Some(2), true), (1, Some(2), false), (3, Some(3), true), (3, Some(3), false)]);
    again_for_a_new_incarnation_with_an_earlier_start_time(
        &[(5, Some(5), true), (5, Some(5), false), (3, Some(3), true), (3, Some(3), false)]);
    again_for_an_entry_that_lacked_the_start_time(
        &[(0, Some(1), true), (0, Some(1), false), (2, Some(2), true), (2, Some(2), false)]);
}

/// The response to a claim that was sent before the directory showed a new incarnation may come from
/// the earlier one, so it contradicts nothing.
#[test]
fn a_claim_from_before_a_new_incarnation_does_not_hide_it() {
    let now = Instant::now();
    let mut tracker = Tracker::new(entry("t", "a"), TERM, now);
    let claim = tracker.claim(TOKEN, now);
    update(&mut tracker, 2);
    tracker.handle_response(&claim, report(Some(1)), now);
    assert_eq!(tracker.phase, Phase::Held(TOKEN));
    update(&mut tracker, 2);
    assert!(tracker.wants_claim(now));
}

/// A claim without a response settles nothing.
#[test]
fn a_claim_without_response_is_repeated() {
    let now = Instant::now();
    let mut tracker = Tracker::new(entry("t", "a"), TERM, now);
    let claim = tracker.claim(TOKEN, now);
    tracker.handle_response(&claim, report(Some(1)), now);
    update(&mut tracker, 2);
    let claim = tracker.claim(Token(6), now);
    tracker.handle_response(&claim, Response::NoResponse, now);
    let later = now + Duration::from_millis(500);
    update(&mut tracker, 2);
    assert!(tracker.wants_claim(later));
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
