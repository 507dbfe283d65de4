//! What proves that a run is over, and how long a lease lasts.

use std::time::{Duration, Instant};

use coltsfootshunt_testkit::cases;

use super::{CLOCK, LEASE, ends, free_cpu, held, report, start, started, task};
use crate::job::End;
use crate::lease::{Change, Evidence, Order, Rejection, Response};

/// What no answer says of a target that may live on: nothing, until its lease is over.
fn proves_nothing(answer: &Response) {
    let began = Instant::now();
    let mut tracker = held(began);
    started(&mut tracker, 0, began);
    let renewed = began + Duration::from_millis(300);
    let renewal = tracker.next_renewal(renewed).unwrap();
    tracker.handle_response(&renewal, report(CLOCK + 300, &[0], &[]), renewed);
    let mut now = renewed;
    let found = loop {
        now += Duration::from_millis(10);
        let Some(call) = tracker.next_renewal(now) else {
            continue;
        };
        let found = tracker.handle_response(&call, answer.clone(), now);
        assert_eq!(free_cpu(&tracker, now), None, "its room is not known");
        if !found.is_empty() {
            break found;
        }
    };
    assert!(now - renewed > LEASE, "given up after {:?}", now - renewed);
    assert!(now - renewed < LEASE * 2, "given up after {:?}", now - renewed);
    assert_eq!(ends(&found), [(0, End::Lost)]);
    assert!(matches!(found.last(), Some(Change::Lost { evidence: Evidence::LeaseExpired, .. })));
}

cases! { proves_nothing:
    a_refused_connection(&Response::NotSent);
    silence(&Response::NoResponse);
    an_answer_of_another_target(&Response::Rejected(Rejection::OtherIncarnation));
}

/// A target whose clock may be slow was idle for so long: the lease of a start, beyond its clock then.
fn lease_granted(idle_ms: u64, clock_percent: u64) {
    let began = Instant::now();
    let mut tracker = held(began);
    let mut now = began;
    let clock = |now: Instant| CLOCK + (now - began).as_millis() as u64 * clock_percent / 100;
    while now < began + Duration::from_millis(idle_ms) {
        now += Duration::from_millis(50);
        if let Some(look) = tracker.next_renewal(now) {
            tracker.handle_response(&look, report(clock(now), &[], &[]), now);
        }
    }
    let call = start(&mut tracker, 0, now);
    let Order::Start { lease_until_ms, .. } = call.order else {
        panic!("a start");
    };
    let granted = lease_until_ms.saturating_sub(clock(now));
    assert!(u128::from(granted) <= LEASE.as_millis(), "{granted} ms, more than is reckoned");
    assert!(u128::from(granted) >= LEASE.as_millis() * 4 / 5, "{granted} ms, too short to renew");
}

cases! { lease_granted:
    at_once(0, 98);
    after_seconds_by_a_slow_clock(10_000, 98);
    after_seconds_by_a_true_clock(10_000, 100);
    after_minutes_by_a_slow_clock(300_000, 98);
    after_minutes_by_a_true_clock(300_000, 100);
}

/// A start that was not sent has not run; what runs beside it goes on.
fn unsent(answer: Response) {
    let now = Instant::now();
    let mut tracker = held(now);
    started(&mut tracker, 0, now);
    let call = start(&mut tracker, 1, now);
    let found = tracker.handle_response(&call, answer, now);
    assert_eq!(ends(&found), [(1, End::NotRun)]);
    assert!(tracker.contains(&task(0)));
    assert_eq!(free_cpu(&tracker, now), None);
}

cases! { unsent:
    since_the_connection_was_refused(Response::NotSent);
    since_another_target_answered(Response::Rejected(Rejection::OtherIncarnation));
}
