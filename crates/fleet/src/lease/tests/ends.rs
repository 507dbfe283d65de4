//! Sequence numbers of ends: which ends count, and which are acknowledged.

use std::time::{Duration, Instant};

use coltsfootshunt_testkit::cases;

use super::{CLOCK, TERM, TOKEN, claimed_tracker, ends, report, start_and_confirm};
use crate::directory::tests::entry;
use crate::job::End;
use crate::lease::{self, Order, Phase, Token, Tracker};

/// Number of attempts that the steward starts.
const ATTEMPTS: u32 = 3;
/// Time between two reports.
const INTERVAL: Duration = Duration::from_millis(300);

/// One report: the sequence numbers and tasks of the listed ends, the tasks whose ends become known, and
/// the sequence number that is acknowledged afterwards.
type Step<'a> = (&'a [(u64, u32)], &'a [u32], u64);

/// An end with a wild sequence number made all later ends of its target count as processed: they were
/// acknowledged unseen, and the runs counted as lost. `claimed` are the ends in the report of the claim.
fn processes_ends(claimed: &[(u64, u32)], steps: &[Step]) {
    let begin = Instant::now();
    let mut tracker = Tracker::new(entry("t", "a"), TERM, begin);
    let claim = tracker.claim(TOKEN, begin);
    let done = |rows: &[(u64, u32)]| -> Vec<(u64, u32, lease::End)> {
        rows.iter().map(|(sequence, index)| (*sequence, *index, lease::End::Done)).collect()
    };
    tracker.handle_response(&claim, report(CLOCK, &[], &done(claimed)), begin);
    assert_eq!(tracker.phase, Phase::Held(TOKEN));
    (0..ATTEMPTS).for_each(|index| start_and_confirm(&mut tracker, index, begin));
    let mut running: Vec<u32> = (0..ATTEMPTS).collect();
    for (number, (listed, wanted, acknowledged)) in steps.iter().enumerate() {
        let now = begin + INTERVAL * (number as u32 + 1);
        let clock = CLOCK + 300 * (number as u64 + 1);
        running.retain(|index| !listed.iter().any(|row| row.1 == *index));
        let renewal = tracker.next_renewal(now).expect("a renewal is due");
        let changes =
            tracker.handle_response(&renewal, report(clock, &running, &done(listed)), now);
        let wanted: Vec<(u32, End)> = wanted.iter().map(|index| (*index, End::Done)).collect();
        assert_eq!(ends(&changes), wanted, "in report {number}");
        let claim = tracker.claim(Token(TOKEN.0 + 1 + number as u64), now);
        let Order::Renew { acknowledged: sent, .. } = claim.order else {
            panic!("expected a renewal");
        };
        assert_eq!(sent, *acknowledged, "after report {number}");
        tracker.phase = Phase::Held(renewal.token);
    }
}

cases! { processes_ends:
    in_order(&[], &[(&[(1, 0)], &[0], 1), (&[(2, 1), (3, 2)], &[1, 2], 3)]);
    out_of_order(&[], &[(&[(3, 2), (1, 0), (2, 1)], &[2, 0, 1], 3)]);
    after_those_of_an_earlier_steward(&[(58, 9)], &[(&[(59, 0)], &[0], 59), (&[(60, 1)], &[1], 60)]);
    after_those_that_an_earlier_steward_acknowledged(
        &[], &[(&[(700, 0)], &[0], 700), (&[(701, 1)], &[1], 701)]);
    once_if_they_are_listed_again(&[], &[(&[(1, 0)], &[0], 1), (&[(1, 0), (2, 1)], &[1], 2)]);
    after_one_with_the_largest_number(
        &[], &[(&[(1, 0), (u64::MAX, 1)], &[0, 1], 1), (&[(3, 2)], &[2], 3)]);
    after_only_one_with_the_largest_number(
        &[], &[(&[(u64::MAX, 0)], &[0], 0), (&[(2, 1), (u64::MAX, 0)], &[1], 2),
            (&[(3, 2)], &[2], 3)]);
    after_one_with_a_number_out_of_reach(
        &[(58, 9)], &[(&[(800, 0)], &[0], 58), (&[(60, 1), (800, 0)], &[1], 60)]);
    after_one_with_the_largest_number_at_the_claim(
        &[(u64::MAX, 9)], &[(&[(700, 0), (u64::MAX, 9)], &[0], 700), (&[(701, 1)], &[1], 701)]);
    after_one_with_the_number_zero(
        &[(58, 9)], &[(&[(0, 0)], &[0], 58), (&[(0, 0), (60, 1)], &[1], 60)]);
    after_one_with_an_earlier_number(
        &[(58, 9)], &[(&[(7, 0)], &[0], 58), (&[(60, 1)], &[1], 60)]);
}

/// A target responds at once while it lists an end, so an end that can't be acknowledged led to renewals
/// without pause.
#[test]
fn renewals_are_delayed_while_nothing_new_is_listed() {
    let now = Instant::now();
    let mut tracker = claimed_tracker(now);
    start_and_confirm(&mut tracker, 0, now);
    let wild = [(u64::MAX, 9, lease::End::Done)];
    let renewal = tracker.next_renewal(now).unwrap();
    tracker.handle_response(&renewal, report(CLOCK + 1, &[0], &wild), now);
    let renewal = tracker.next_renewal(now).expect("the end was new");
    tracker.handle_response(&renewal, report(CLOCK + 1, &[0], &wild), now);
    assert!(tracker.next_renewal(now).is_none());
    assert!(tracker.next_renewal(now + INTERVAL).is_some());
}

/// No end can follow one with the largest number: the next number must not overflow.
#[test]
fn the_largest_number_at_the_largest_clock_is_the_last() {
    let now = Instant::now();
    let mut tracker = Tracker::new(entry("t", "a"), TERM, now);
    let claim = tracker.claim(TOKEN, now);
    let last = [(u64::MAX, 9, lease::End::Done)];
    tracker.handle_response(&claim, report(u64::MAX, &[], &last), now);
    let claim = tracker.claim(Token(6), now);
    tracker.handle_response(&claim, report(u64::MAX, &[], &last), now);
    assert_eq!(tracker.phase, Phase::Held(Token(6)));
}
