//! Evidence for the end of a run, and the duration of leases.

use std::time::{Duration, Instant};

use coltsfootshunt_testkit::cases;

use super::{
    CLOCK, LEASE, claimed_tracker, ends, free_cpu, report, start, start_and_confirm, task,
};
use crate::directory::{Entry, tests::entry};
use crate::job::End;
use crate::lease::{self, Change, Ended, Evidence, Order, Rejection, Report, Response, Token};

/// A missing response proves nothing about a target that may still run: its attempts are lost only
/// once the lease has expired.
fn keeps_attempts_until_expiry(response: &Response) {
    let begin = Instant::now();
    let mut tracker = claimed_tracker(begin);
    start_and_confirm(&mut tracker, 0, begin);
    let renewed = begin + Duration::from_millis(300);
    let renewal = tracker.next_renewal(renewed).unwrap();
    tracker.handle_response(&renewal, report(CLOCK + 300, &[0], &[]), renewed);
    let mut now = renewed;
    let changes = loop {
        now += Duration::from_millis(10);
        let Some(call) = tracker.next_renewal(now) else {
            continue;
        };
        let changes = tracker.handle_response(&call, response.clone(), now);
        assert_eq!(free_cpu(&tracker, now), None, "free resources are unknown");
        if !changes.is_empty() {
            break changes;
        }
    };
    assert!(now - renewed > LEASE, "given up after {:?}", now - renewed);
    assert!(now - renewed < LEASE * 2, "given up after {:?}", now - renewed);
    assert_eq!(ends(&changes), [(0, End::Lost)]);
    assert!(matches!(changes.last(), Some(Change::Lost { evidence: Evidence::LeaseExpired, .. })));
}

cases! { keeps_attempts_until_expiry:
    after_refused_connections(&Response::NotSent);
    without_responses(&Response::NoResponse);
    after_responses_of_another_target(&Response::Rejected(Rejection::OtherIncarnation));
}

/// A start after an idle time grants a lease that is no longer than the maximum on the target's clock,
/// though the clock may lag behind its last reading.
fn bounds_lease_by_clock_drift(idle_ms: u64, clock_percent: u64) {
    let begin = Instant::now();
    let mut tracker = claimed_tracker(begin);
    let mut now = begin;
    let clock = |now: Instant| CLOCK + (now - begin).as_millis() as u64 * clock_percent / 100;
    while now < begin + Duration::from_millis(idle_ms) {
        now += Duration::from_millis(50);
        if let Some(renewal) = tracker.next_renewal(now) {
            tracker.handle_response(&renewal, report(clock(now), &[], &[]), now);
        }
    }
    let call = start(&mut tracker, 0, now);
    let Order::Start { lease_until_ms, .. } = call.order else {
        panic!("expected a start");
    };
    let granted = lease_until_ms.saturating_sub(clock(now));
    assert!(u128::from(granted) <= LEASE.as_millis(), "{granted} ms, longer than the maximum");
    assert!(u128::from(granted) >= LEASE.as_millis() * 4 / 5, "{granted} ms, too short to renew");
}

cases! { bounds_lease_by_clock_drift:
    without_idling(0, 98);
    after_idle_seconds_with_a_slow_clock(10_000, 98);
    after_idle_seconds_with_a_true_clock(10_000, 100);
    after_idle_minutes_with_a_slow_clock(300_000, 98);
    after_idle_minutes_with_a_true_clock(300_000, 100);
}

/// A start that was not sent has not run; other attempts at the target go on.
fn ends_unsent_start(response: Response) {
    let now = Instant::now();
    let mut tracker = claimed_tracker(now);
    start_and_confirm(&mut tracker, 0, now);
    let call = start(&mut tracker, 1, now);
    let changes = tracker.handle_response(&call, response, now);
    assert_eq!(ends(&changes), [(1, End::NotRun)]);
    assert!(tracker.contains(&task(0)));
    assert_eq!(free_cpu(&tracker, now), None);
}

cases! { ends_unsent_start:
    after_a_refused_connection(Response::NotSent);
    after_a_rejection_by_another_target(Response::Rejected(Rejection::OtherIncarnation));
}

/// Guards against leases by the clock of a target's earlier incarnation, which are too long: the
/// directory showed the new start time while the target was not claimed.
#[test]
fn a_restart_between_two_claims_is_noticed() {
    let begin = Instant::now();
    let mut tracker = claimed_tracker(begin);
    start_and_confirm(&mut tracker, 0, begin);
    let renewal = tracker.next_renewal(begin).unwrap();
    tracker.handle_response(&renewal, report(90_000, &[], &[(7, 0, lease::End::Done)]), begin);
    let renewal = tracker.next_renewal(begin + Duration::from_secs(9)).unwrap();
    let now = begin + Duration::from_secs(20);
    let changes = tracker.handle_response(&renewal, Response::NoResponse, now);
    assert!(matches!(changes.last(), Some(Change::Lost { .. })));
    tracker.update(&Entry { started_at_ms: 2, ..entry("t", "a") }, None);
    let claim = tracker.claim(Token(6), now);
    let restarted = |clock_ms, ended| {
        let report = Report { clock_ms, started_at_ms: Some(2), ended, ..Report::default() };
        Response::Report(report)
    };
    tracker.handle_response(&claim, restarted(30, Vec::new()), now);
    let call = start(&mut tracker, 1, now);
    let Order::Start { lease_until_ms, .. } = call.order else {
        panic!("expected a start");
    };
    assert!(lease_until_ms <= 30 + 1_000, "the lease ends at {lease_until_ms} ms on its clock");
    tracker.handle_response(&call, Response::Accepted { clock_ms: 31 }, now);
    let ended = Ended { sequence: 1, task: task(1), run: 1, end: lease::End::Done };
    let renewal = tracker.next_renewal(now).unwrap();
    let changes = tracker.handle_response(&renewal, restarted(40, vec![ended]), now);
    assert_eq!(ends(&changes), [(1, End::Done)]);
}
