mod ends;
mod proof;
mod start_times;
mod token;
mod unreadable;
mod watch;

use std::time::{Duration, Instant, SystemTime};

use coltsfootshunt_core::name::{Host, Kind};
use coltsfootshunt_testkit::cases;

use super::{
    Attempt, Call, Change, Ended, Issuer, Order, Phase, Rejection, Report, Response, Running, Term,
    Timeout, Token, Tracker,
};
use crate::directory::Entry;
use crate::directory::tests::entry;
use crate::job::{End, Id, Resources, Task};
use crate::lease;

const LEASE: Duration = Duration::from_millis(1_000);
const TERM: Term = Term { max: LEASE, resend_after: Duration::from_millis(1_300) };
const TOKEN: Token = Token(5);
/// The target's clock at its first response, in milliseconds.
const CLOCK: u64 = 100;

fn task(index: u32) -> Task {
    Task { job: Id::try_from("0000000000000001").unwrap(), step: 0, index }
}

fn resources() -> Resources {
    Resources { cpu_millis: 14_000, memory_mb: 64, accelerators: 0 }
}

fn attempt(now: Instant) -> Attempt {
    let owner = Host::try_from("owner").unwrap();
    Attempt::new(owner, Kind::try_from("cut").unwrap(), 1, resources(), now)
}

fn report(clock_ms: u64, running: &[u32], ended: &[(u64, u32, lease::End)]) -> Response {
    let running = running.iter().map(|index| Running { task: task(*index), run: 1 });
    let ended = ended.iter().map(|(sequence, index, end)| Ended {
        sequence: *sequence,
        task: task(*index),
        run: 1,
        end: *end,
    });
    let (running, ended) = (running.collect(), ended.collect());
    Response::Report(Report {
        clock_ms,
        started_at_ms: Some(1),
        running,
        ended,
        ..Report::default()
    })
}

/// Tracks a target that this host has claimed.
fn claimed_tracker(now: Instant) -> Tracker {
    let mut tracker = Tracker::new(entry("t", "a"), TERM, now);
    let claim = tracker.claim(TOKEN, now);
    let changes = tracker.handle_response(&claim, report(CLOCK, &[], &[]), now);
    assert!(matches!(changes[..], [Change::Claimed { token: TOKEN, .. }]));
    tracker
}

fn start(tracker: &mut Tracker, index: u32, now: Instant) -> Call {
    tracker.start(&task(index), "work".into(), attempt(now), now)
}

fn start_and_confirm(tracker: &mut Tracker, index: u32, now: Instant) {
    let call = start(tracker, index, now);
    let changes = tracker.handle_response(&call, Response::Accepted { clock_ms: CLOCK + 1 }, now);
    assert!(changes.is_empty());
}

fn ends(changes: &[Change]) -> Vec<(u32, End)> {
    let ended = changes.iter().filter_map(|change| match change {
        Change::Ended { task, end, .. } => Some((task.index, *end)),
        _ => None,
    });
    ended.collect()
}

fn free_cpu(tracker: &Tracker, now: Instant) -> Option<u64> {
    tracker.available(now).map(|resources| resources.cpu_millis)
}

/// A start without a response keeps its resources until the target is claimed with a new token; the
/// report then shows what became of it.
fn resolves_unconfirmed_start(
    listed: &[u32],
    ended: &[(u64, u32, lease::End)],
    wanted: &[(u32, End)],
    free: u64,
) {
    let now = Instant::now();
    let mut tracker = claimed_tracker(now);
    let call = start(&mut tracker, 0, now);
    assert_eq!(free_cpu(&tracker, now), Some(18_000), "a start takes its resources at once");
    assert!(tracker.handle_response(&call, Response::NoResponse, now).is_empty());
    assert_eq!(free_cpu(&tracker, now), None, "the state is uncertain");
    assert!(tracker.wants_claim(now));
    let claim = tracker.claim(Token(6), now);
    let changes = tracker.handle_response(&claim, report(CLOCK + 50, listed, ended), now);
    assert_eq!(ends(&changes), wanted);
    assert_eq!(free_cpu(&tracker, now), Some(free));
}

cases! { resolves_unconfirmed_start:
    when_it_runs(&[0], &[], &[], 18_000);
    when_it_is_not_listed(&[], &[], &[(0, End::Lost)], 32_000);
    when_it_has_ended(&[], &[(1, 0, lease::End::Done)], &[(0, End::Done)], 32_000);
}

/// A rejected start ends the attempt with `NotRun`; only a fenced one releases the target.
fn ends_rejected_start(rejection: Rejection, end: End, phase: Phase) {
    let now = Instant::now();
    let mut tracker = claimed_tracker(now);
    let call = start(&mut tracker, 0, now);
    let changes = tracker.handle_response(&call, Response::Rejected(rejection), now);
    assert_eq!(ends(&changes), [(0, end)]);
    assert_eq!(tracker.phase, phase);
}

cases! { ends_rejected_start:
    by_a_higher_token(Rejection::Fenced, End::NotRun, Phase::Free);
    as_a_stale_run(Rejection::StaleRun, End::NotRun, Phase::Held(TOKEN));
    for_lack_of_resources(Rejection::NoRoom, End::NotRun, Phase::Held(TOKEN));
    by_another_incarnation(Rejection::OtherIncarnation, End::NotRun, Phase::Held(TOKEN));
}

/// After a takeover by another host, running attempts may run on and no resources are known.
fn releases_target(response: Response, wanted: End) {
    let now = Instant::now();
    let mut tracker = claimed_tracker(now);
    start_and_confirm(&mut tracker, 0, now);
    let renewal = tracker.next_renewal(now).unwrap();
    let changes = tracker.handle_response(&renewal, response, now);
    assert_eq!(ends(&changes), [(0, wanted)]);
    assert_eq!(tracker.phase, Phase::Free);
    assert_eq!(free_cpu(&tracker, now), None);
}

cases! { releases_target:
    when_fenced_by_another_host(Response::Rejected(Rejection::Fenced), End::Unresolved);
}

/// Without responses, two renewals extend the lease and later ones let it expire. Attempts end only
/// after the expiry.
#[test]
fn missed_renewals_let_the_lease_expire() {
    let start = Instant::now();
    let mut tracker = claimed_tracker(start);
    start_and_confirm(&mut tracker, 0, start);
    let mut now = start;
    let mut extends_lease = Vec::new();
    let changes = loop {
        let call = tracker.next_renewal(now).expect("renewals go on until the lease expires");
        let Order::Renew { lease_until_ms, .. } = &call.order else {
            panic!("expected a renewal");
        };
        extends_lease.push(lease_until_ms.is_some());
        now += call.timeout;
        let changes = tracker.handle_response(&call, Response::NoResponse, now);
        if !changes.is_empty() {
            break changes;
        }
        assert_eq!(free_cpu(&tracker, now), None);
    };
    assert_eq!(ends(&changes), [(0, End::Lost)]);
    assert!(extends_lease.starts_with(&[true, true]) && !extends_lease[2..].contains(&true));
    assert!(now - start > LEASE);
}

/// A renewal waits until the next end is overdue, since a lost one hides ends until it times out.
fn renewal_waits(expected_ms: u64, ran_ms: u64, wanted_ms: u64) {
    let start = Instant::now();
    let mut tracker = claimed_tracker(start);
    let expected = Duration::from_millis(expected_ms);
    let mut long = attempt(start);
    long.expected = expected;
    let call = tracker.start(&task(0), "work".into(), long, start);
    tracker.handle_response(&call, Response::Accepted { clock_ms: CLOCK + 1 }, start);
    let renewal = tracker.next_renewal(start + Duration::from_millis(ran_ms)).unwrap();
    let Order::Renew { max_wait, .. } = renewal.order else {
        panic!("expected a renewal");
    };
    assert_eq!(max_wait.as_millis(), u128::from(wanted_ms));
    assert!(renewal.timeout <= max_wait + Duration::from_millis(250));
}

cases! { renewal_waits:
    until_the_next_end_is_overdue(200, 0, 270);
    for_a_short_run_at_least(10, 0, 50);
    no_longer_than_the_lease_allows(3_000, 0, 400);
    longer_the_more_an_end_is_overdue(100, 335, 200);
}

/// The timeout follows the response times, given in milliseconds; none stands for a lost response.
fn adapts_timeout(response_times: &[Option<u64>], wanted_ms: std::ops::RangeInclusive<u128>) {
    let mut timeout = Timeout::default();
    for response in response_times {
        match response {
            Some(millis) => timeout.record_response(Duration::from_millis(*millis)),
            None => timeout.record_miss(),
        }
    }
    assert!(wanted_ms.contains(&timeout.current().as_millis()), "{timeout:?}");
}

cases! { adapts_timeout:
    to_the_maximum_at_first(&[], 250..=250);
    to_the_minimum_for_fast_responses(&[Some(1); 30], 40..=40);
    to_four_times_a_steady_response_time(&[Some(45); 30], 180..=180);
    upwards_after_a_slow_response(&[Some(1), Some(30)], 120..=250);
    upwards_after_missed_responses(&[Some(1), None, None], 250..=250);
}

/// A recalled attempt is stopped once, and its task may then start elsewhere.
#[test]
fn recalled_attempts_are_stopped_and_end_as_lost() {
    let now = Instant::now();
    let mut tracker = claimed_tracker(now);
    start_and_confirm(&mut tracker, 0, now);
    assert_eq!(tracker.recall_where(|_| true), 1);
    assert_eq!(tracker.recall_where(|_| true), 0);
    assert_eq!(tracker.due_stops(now).len(), 1);
    let renewal = tracker.next_renewal(now).unwrap();
    let changes = tracker.handle_response(
        &renewal,
        report(CLOCK + 5, &[], &[(1, 0, lease::End::Stopped)]),
        now,
    );
    assert_eq!(ends(&changes), [(0, End::Lost)]);
}

/// A target that rejects renewals keeps running its attempts: none is lost before the lease expires.
fn survives_rejected_renewal(rejection: Rejection) {
    let start = Instant::now();
    let mut tracker = claimed_tracker(start);
    start_and_confirm(&mut tracker, 0, start);
    let renewal = tracker.next_renewal(start).unwrap();
    let changes = tracker.handle_response(&renewal, Response::Rejected(rejection), start);
    assert!(changes.is_empty());
    assert_eq!(free_cpu(&tracker, start), None);
    assert!(tracker.next_renewal(start).is_none(), "the next renewal is delayed");
    let later = start + Duration::from_millis(150);
    let renewal = tracker.next_renewal(later).unwrap();
    let changes = tracker.handle_response(
        &renewal,
        report(CLOCK + 9, &[], &[(1, 0, lease::End::Done)]),
        later,
    );
    assert_eq!(ends(&changes), [(0, End::Done)]);
}

cases! { survives_rejected_renewal:
    as_unhealthy(Rejection::Unhealthy);
    as_malformed(Rejection::Malformed);
}

/// An attempt that a report should list but doesn't is lost, unless the report is older than its start.
fn ends_unlisted(clock_ms: u64, wanted: &[(u32, End)]) {
    let now = Instant::now();
    let mut tracker = claimed_tracker(now);
    start_and_confirm(&mut tracker, 0, now);
    let renewal = tracker.next_renewal(now).unwrap();
    let changes = tracker.handle_response(&renewal, report(clock_ms, &[], &[]), now);
    assert_eq!(ends(&changes), wanted);
}

cases! { ends_unlisted:
    in_a_later_report(CLOCK + 2, &[(0, End::Lost)]);
    not_in_a_report_from_before_the_start(CLOCK, &[]);
}

/// Attempts that another steward started are stopped, and nothing is started before they have ended.
#[test]
fn orphans_are_stopped_before_anything_starts() {
    let now = Instant::now();
    let mut tracker = Tracker::new(entry("t", "a"), TERM, now);
    let claim = tracker.claim(TOKEN, now);
    tracker.handle_response(&claim, report(CLOCK, &[7], &[]), now);
    assert_eq!(free_cpu(&tracker, now), None);
    let stops = tracker.due_stops(now);
    assert!(
        matches!(&stops[..], [Call { order: Order::Stop { task, run: 1 }, .. }] if task.index == 7)
    );
    assert!(tracker.due_stops(now).is_empty(), "the stop is sent once");
    let renewal = tracker.next_renewal(now).unwrap();
    tracker.handle_response(&renewal, report(CLOCK + 9, &[], &[(1, 7, lease::End::Stopped)]), now);
    assert_eq!(free_cpu(&tracker, now), Some(32_000));
}

/// A restarted target accepts any token at first, so it may have carried out an order meant for its
/// earlier incarnation. Attempts are lost only after a claim with a new token.
#[test]
fn a_new_incarnation_is_claimed_again() {
    let now = Instant::now();
    let mut tracker = claimed_tracker(now);
    start_and_confirm(&mut tracker, 0, now);
    let renewal = tracker.next_renewal(now).unwrap();
    let other = Report { clock_ms: 3, started_at_ms: Some(2), ..Report::default() };
    let changes = tracker.handle_response(&renewal, Response::Report(other.clone()), now);
    assert!(ends(&changes).is_empty(), "an order for the earlier incarnation may run in this one");
    assert!(tracker.wants_claim(now));
    let claim = tracker.claim(Token(6), now);
    let changes = tracker.handle_response(&claim, Response::Report(other), now);
    assert_eq!(ends(&changes), [(0, End::Lost)]);
    assert_eq!(free_cpu(&tracker, now), None, "the entry is that of the earlier incarnation");
    tracker.update(&Entry { started_at_ms: 2, ..entry("t", "a") }, Some(now));
    assert_eq!(free_cpu(&tracker, now), Some(32_000));
}

/// A response to an earlier start must not count for a later one with the same run number.
#[test]
fn a_late_response_is_recognised_by_its_token() {
    let now = Instant::now();
    let mut tracker = claimed_tracker(now);
    let first = start(&mut tracker, 0, now);
    tracker.handle_response(&first, Response::NoResponse, now);
    let claim = tracker.claim(Token(6), now);
    tracker.handle_response(&claim, report(CLOCK + 5, &[], &[]), now);
    start(&mut tracker, 0, now);
    let changes = tracker.handle_response(&first, Response::Rejected(Rejection::Fenced), now);
    assert!(changes.is_empty());
    assert!(tracker.contains(&task(0)));
    assert_eq!(tracker.phase, Phase::Held(Token(6)));
}

/// A cancelled attempt is stopped, but not before its start is confirmed.
#[test]
fn cancelled_attempts_are_stopped() {
    let now = Instant::now();
    let mut tracker = claimed_tracker(now);
    let call = start(&mut tracker, 0, now);
    tracker.cancel_where(|_, _| true);
    assert!(tracker.due_stops(now).is_empty());
    tracker.handle_response(&call, Response::Accepted { clock_ms: CLOCK + 1 }, now);
    assert_eq!(tracker.due_stops(now).len(), 1);
    assert_eq!(
        free_cpu(&tracker, now),
        Some(18_000),
        "an attempt that is being stopped still uses resources"
    );
}

fn issues_increasing_tokens(wall_ms: [u64; 2]) {
    let at = |millis| SystemTime::UNIX_EPOCH + Duration::from_millis(millis);
    let mut issuer = Issuer::new(77);
    let first = issuer.next(at(wall_ms[0]));
    let second = issuer.next(at(wall_ms[1]));
    assert!(second > first);
    let other = Issuer::new(78).next(at(wall_ms[0]));
    assert_ne!(first, other, "tokens of two processes differ");
}

cases! { issues_increasing_tokens:
    over_time([1_000, 1_001]);
    within_a_millisecond([1_000, 1_000]);
    when_the_clock_goes_back([1_000, 500]);
}

#[test]
fn issued_tokens_exceed_observed_ones() {
    let mut issuer = Issuer::new(1);
    issuer.observe(Token(1 << 50), Duration::ZERO);
    assert!(issuer.next(SystemTime::UNIX_EPOCH) > Token(1 << 50));
}
