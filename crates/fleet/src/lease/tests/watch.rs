//! Watches on idle targets: an idle target that restarted smaller got several starts by its earlier capacity, since
//! nothing had called it meanwhile.

use std::time::{Duration, Instant};

use coltsfootshunt_testkit::cases;

use super::{CLOCK, TOKEN, claimed_tracker, free_cpu, report, start, start_and_confirm, task};
use crate::lease::{self, Call, Order, Phase, Rejection, Report, Response, Token, Tracker};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn wait_of(call: &Call) -> Duration {
    let Order::Renew { max_wait, .. } = call.order else {
        panic!("expected a renewal");
    };
    max_wait
}

fn is_watch(call: &Call) -> bool {
    wait_of(call) > ms(400)
}

/// A report without tasks at a time of the target's clock.
fn idle_report(now: Instant, begin: Instant) -> Response {
    report(CLOCK + now.duration_since(begin).as_millis() as u64, &[], &[])
}

/// Tracks a target on which a watch has been pending since the returned time.
fn watched_tracker(begin: Instant) -> (Tracker, Call, Instant) {
    let mut tracker = claimed_tracker(begin);
    let now = begin + ms(300);
    let renewal = tracker.next_renewal(now).unwrap();
    assert!(!is_watch(&renewal), "a watch could reach an incarnation that has not reported");
    tracker.handle_response(&renewal, idle_report(now, begin), now);
    let watch = tracker.next_renewal(now).unwrap();
    assert!(is_watch(&watch));
    assert!(matches!(watch.order, Order::Renew { lease_until_ms: None, .. }));
    assert!(tracker.next_renewal(now).is_none(), "one watch is enough");
    (tracker, watch, now)
}

/// A watch without a report leads to an immediate renewal, before anything starts.
fn checks_target_after(response: &Response) {
    let begin = Instant::now();
    let (mut tracker, watch, sent_at) = watched_tracker(begin);
    let now = sent_at + ms(2_000);
    assert!(free_cpu(&tracker, now).is_some());
    assert!(tracker.handle_response(&watch, response.clone(), now).is_empty());
    assert_eq!(free_cpu(&tracker, now), None, "the target may have restarted");
    let renewal = tracker.next_renewal(now).unwrap();
    assert!(wait_of(&renewal).is_zero());
    let Response::Report(restarted) = report(CLOCK, &[], &[]) else {
        unreachable!();
    };
    let restarted = Report { started_at_ms: Some(2), ..restarted };
    tracker.handle_response(&renewal, Response::Report(restarted), now);
    assert_eq!(free_cpu(&tracker, now), None, "its capacity isn't known");
    assert!(tracker.wants_claim(now));
}

cases! { checks_target_after:
    a_lost_connection(&Response::NoResponse);
    a_refused_connection(&Response::NotSent);
    a_rejection_as_unhealthy(&Response::Rejected(Rejection::Unhealthy));
    a_rejection_by_another_target(&Response::Rejected(Rejection::OtherIncarnation));
}

/// A target that has not restarted takes tasks again as soon as it has answered.
#[test]
fn lost_watch_costs_one_renewal() {
    let begin = Instant::now();
    let (mut tracker, watch, sent_at) = watched_tracker(begin);
    let now = sent_at + ms(2_000);
    tracker.handle_response(&watch, Response::NoResponse, now);
    let renewal = tracker.next_renewal(now).unwrap();
    let changes = tracker.handle_response(&renewal, idle_report(now, begin), now);
    assert!(changes.is_empty() && !tracker.wants_claim(now));
    assert!(free_cpu(&tracker, now).is_some());
    assert!(is_watch(&tracker.next_renewal(now).unwrap()));
}

/// Another host has claimed the target.
#[test]
fn fenced_watch_releases_the_target() {
    let begin = Instant::now();
    let (mut tracker, watch, sent_at) = watched_tracker(begin);
    tracker.handle_response(&watch, Response::Rejected(Rejection::Fenced), sent_at);
    assert_eq!(tracker.phase, Phase::Free);
}

/// Targets let a renewal wait for two seconds at most, so that an idle one gets 15 watches in 30 seconds, and a call
/// before the first. Each watch waits for this long, in milliseconds.
fn calls_while_idle(watch_ms: u64, rejection: Option<Rejection>, max_calls: usize) {
    let begin = Instant::now();
    let mut tracker = claimed_tracker(begin);
    let mut pending: Option<(Call, Instant)> = None;
    let mut calls = 0;
    for millis in 0..30_000 {
        let now = begin + ms(millis);
        if let Some((call, _)) = pending.take_if(|(_, ends_at)| *ends_at <= now) {
            let answer = rejection.filter(|_| is_watch(&call));
            let answer = answer.map_or(idle_report(now, begin), Response::Rejected);
            tracker.handle_response(&call, answer, now);
            assert!(free_cpu(&tracker, now).is_some());
        }
        if let Some(call) = tracker.next_renewal(now) {
            assert!(pending.is_none(), "two renewals at once");
            calls += 1;
            let waits = if is_watch(&call) { wait_of(&call).min(ms(watch_ms)) } else { ms(1) };
            pending = Some((call, now + waits));
        }
    }
    assert!(calls <= max_calls, "{calls} calls");
}

cases! { calls_while_idle:
    are_one_for_each_wait(10_000, None, 16);
    are_few_if_the_target_waits_less(800, None, 62);
    are_few_if_the_target_does_not_wait(1, None, 62);
    are_few_if_the_target_rejects_watches(1, Some(Rejection::Malformed), 8);
}

/// A task on an idle target costs its start, a renewal that waits for its end, the acknowledgement of the end and a
/// watch: one call more than without watches.
#[test]
fn task_on_an_idle_target_takes_four_calls() {
    const TASKS: u32 = 10;
    let begin = Instant::now();
    let (mut tracker, mut watch, mut now) = watched_tracker(begin);
    let mut calls = 0;
    for number in 1..=TASKS {
        now += ms(1_000);
        let call = start(&mut tracker, number, now);
        let clock_ms = CLOCK + now.duration_since(begin).as_millis() as u64;
        tracker.handle_response(&call, Response::Accepted { clock_ms }, now);
        let renewal = tracker.next_renewal(now).unwrap();
        now += ms(50);
        let Response::Report(ended) = idle_report(now, begin) else {
            unreachable!();
        };
        let end = lease::Ended {
            sequence: u64::from(number),
            task: task(number),
            run: 1,
            end: lease::End::Done,
        };
        let ended = Report { ended: vec![end], ..ended };
        tracker.handle_response(&renewal, Response::Report(ended.clone()), now);
        tracker.handle_response(&watch, Response::Report(ended), now);
        calls += 2;
        for _ in 0..100 {
            now += ms(10);
            if let Some(call) = tracker.next_renewal(now) {
                calls += 1;
                if is_watch(&call) {
                    watch = call;
                } else {
                    tracker.handle_response(&call, idle_report(now, begin), now);
                }
            }
        }
    }
    assert_eq!(calls, 4 * TASKS);
}

/// The report of a watch that an attempt has overtaken may be older than those of the attempt's renewals.
#[test]
fn overtaken_watch_changes_nothing() {
    let begin = Instant::now();
    let (mut tracker, watch, sent_at) = watched_tracker(begin);
    let now = sent_at + ms(500);
    start_and_confirm(&mut tracker, 0, now);
    let renewal = tracker.next_renewal(now).expect("the watch doesn't renew the lease");
    assert!(!is_watch(&renewal) && !wait_of(&renewal).is_zero());
    let ended = || report(CLOCK + 400, &[], &[(1, 0, lease::End::Done)]);
    tracker.handle_response(&renewal, ended(), now);
    assert!(tracker.is_idle());
    tracker.handle_response(&watch, ended(), now);
    start_and_confirm(&mut tracker, 1, now);
    let renewal = tracker.next_renewal(now).expect("renewals aren't delayed");
    let Order::Renew { acknowledged, .. } = renewal.order else {
        unreachable!();
    };
    assert_eq!(acknowledged, 1);
    assert!(tracker.contains(&task(1)));
}

/// A restarted target answers a watch that an attempt has overtaken. The attempt may be the first of its incarnation.
#[test]
fn overtaken_watch_shows_a_restart() {
    let begin = Instant::now();
    let (mut tracker, watch, sent_at) = watched_tracker(begin);
    start_and_confirm(&mut tracker, 0, sent_at);
    let restarted = Report { started_at_ms: Some(2), ..Report::default() };
    tracker.handle_response(&watch, Response::Report(restarted), sent_at + ms(100));
    assert!(tracker.wants_claim(sent_at + ms(100)));
}

/// A watch of an earlier claim says nothing about the present one.
#[test]
fn watch_of_an_earlier_claim_is_ignored() {
    let begin = Instant::now();
    let (mut tracker, watch, sent_at) = watched_tracker(begin);
    tracker.void_token();
    let claim = tracker.claim(Token(TOKEN.0 + 1), sent_at);
    tracker.handle_response(&claim, idle_report(sent_at, begin), sent_at);
    assert!(is_watch(&tracker.next_renewal(sent_at).unwrap()), "the new claim has a watch");
    tracker.handle_response(&watch, Response::NoResponse, sent_at);
    assert!(free_cpu(&tracker, sent_at).is_some());
}
