//! Reports with rows that can't be decoded.

use std::time::{Duration, Instant};

use super::{
    CLOCK, LEASE, TERM, TOKEN, claimed_tracker, ends, free_cpu, report, start_and_confirm, task,
};
use crate::directory::tests::entry;
use crate::job::End;
use crate::lease::{Change, Evidence, Order, Report, Response, Tracker, Unreadable};

/// Returns a report with rows of running attempts that can't be decoded, besides those that can.
fn report_with(clock_ms: u64, running: &[u32], unreadable: usize) -> Response {
    report_with_rows(clock_ms, running, (unreadable, 0))
}

/// The same, with unreadable rows of running and of ended attempts.
fn report_with_rows(
    clock_ms: u64,
    running: &[u32],
    (unreadable_running, unreadable_ended): (usize, usize),
) -> Response {
    let Response::Report(readable) = report(clock_ms, running, &[]) else {
        unreachable!();
    };
    let sample = (unreadable_running + unreadable_ended > 0).then(|| "row".into());
    let unreadable = Unreadable { running: unreadable_running, ended: unreadable_ended, sample };
    Response::Report(Report { unreadable, ..readable })
}

fn evidence(changes: &[Change]) -> Vec<Evidence> {
    let ends = changes.iter().filter_map(|change| match change {
        Change::Ended { evidence, .. } => Some(*evidence),
        _ => None,
    });
    ends.collect()
}

/// Attempts that can't be named can't be stopped, so the target is asked until they have ended, without
/// extending the lease on which their former steward relies.
#[test]
fn unnamed_attempts_get_no_lease_and_are_waited_for() {
    let now = Instant::now();
    let mut tracker = Tracker::new(entry("t", "a"), TERM, now);
    let claim = tracker.claim(TOKEN, now);
    tracker.handle_response(&claim, report_with(CLOCK, &[], 1), now);
    for number in 1..5 {
        assert_eq!(free_cpu(&tracker, now), None);
        assert!(tracker.due_stops(now).is_empty());
        let renewal = tracker.next_renewal(now).expect("the target is asked again");
        let Order::Renew { lease_until_ms, max_wait, .. } = renewal.order else {
            panic!("expected a renewal");
        };
        assert_eq!(lease_until_ms, None);
        assert!(max_wait > Duration::ZERO, "the renewal waits for an end");
        tracker.handle_response(&renewal, report_with(CLOCK + number, &[], 1), now);
    }
    let renewal = tracker.next_renewal(now).unwrap();
    tracker.handle_response(&renewal, report_with(CLOCK + 9, &[], 0), now);
    assert_eq!(free_cpu(&tracker, now), Some(32_000));
}

/// An attempt that a report doesn't list may be in an unreadable row, however long that row stays. It is
/// over once the lease is, which ends after the last word of its owner.
#[test]
fn a_hidden_attempt_ends_with_its_lease() {
    let begin = Instant::now();
    let mut tracker = claimed_tracker(begin);
    start_and_confirm(&mut tracker, 0, begin);
    start_and_confirm(&mut tracker, 1, begin);
    let mut now = begin;
    let mut extended = begin;
    let changes = loop {
        now += Duration::from_millis(100);
        let renewal = tracker.next_renewal(now).unwrap();
        if matches!(renewal.order, Order::Renew { lease_until_ms: Some(_), .. }) {
            extended = now;
        }
        let clock_ms = CLOCK + (now - begin).as_millis() as u64;
        let changes = tracker.handle_response(&renewal, report_with(clock_ms, &[1], 1), now);
        assert_eq!(free_cpu(&tracker, now), None);
        if !ends(&changes).is_empty() {
            break changes;
        }
    };
    assert_eq!(ends(&changes), [(0, End::Lost)]);
    assert_eq!(evidence(&changes), [Evidence::LeaseExpired]);
    assert!(now - extended > LEASE, "ended {:?} after the last extension", now - extended);
    assert!(tracker.contains(&task(1)), "the target lists it as running");
}

/// Unreadable rows that stay are one change, not one with each report.
#[test]
fn unreadable_rows_are_one_change_until_there_are_more() {
    let now = Instant::now();
    let mut tracker = claimed_tracker(now);
    start_and_confirm(&mut tracker, 0, now);
    let rows = [(1, 0), (1, 0), (1, 1), (2, 0), (2, 1), (1, 1), (0, 0), (0, 1)];
    let mut now = now;
    let told = rows.map(|unreadable| {
        now += Duration::from_millis(100);
        let renewal = tracker.next_renewal(now).unwrap();
        let response = report_with_rows(CLOCK + 2, &[0], unreadable);
        let changes = tracker.handle_response(&renewal, response, now);
        changes.iter().any(|change| matches!(change, Change::Unreadable(_)))
    });
    assert_eq!(told, [true, false, true, true, true, false, false, true]);
}

/// A target responds at once while it lists an end, so an unreadable one led to renewals without pause.
/// The target stays open: no running attempt is in such a row.
#[test]
fn renewals_are_delayed_while_only_unreadable_ends_are_listed() {
    let now = Instant::now();
    let mut tracker = claimed_tracker(now);
    start_and_confirm(&mut tracker, 0, now);
    let renewal = tracker.next_renewal(now).unwrap();
    tracker.handle_response(&renewal, report_with_rows(CLOCK + 2, &[0], (0, 1)), now);
    assert!(tracker.next_renewal(now).is_none());
    assert!(tracker.next_renewal(now + Duration::from_millis(100)).is_some());
    assert_eq!(free_cpu(&tracker, now), Some(18_000));
}
