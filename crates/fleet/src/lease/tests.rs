mod proof;

use std::time::{Duration, Instant, SystemTime};

use coltsfootshunt_core::name::{Host, Kind};
use coltsfootshunt_testkit::cases;

use super::{
    Attempt, Call, Change, Ended, Issuer, Order, Phase, Rejection, Report, Response, Running, Term,
    Timeout, Token, Tracker,
};
use crate::directory::tests::entry;
use crate::job::{End, Id, Room, Task};
use crate::lease;

const LEASE: Duration = Duration::from_millis(1_000);
const TERM: Term = Term { max: LEASE, resend_after: Duration::from_millis(1_300) };
const TOKEN: Token = Token(5);
/// The target's clock at its first answer, in milliseconds.
const CLOCK: u64 = 100;

fn task(index: u32) -> Task {
    Task { job: Id::try_from("0000000000000001").unwrap(), step: 0, index }
}

fn room() -> Room {
    Room { cpu_millis: 14_000, memory_mb: 64, accelerators: 0 }
}

fn attempt(now: Instant) -> Attempt {
    let owner = Host::try_from("owner").unwrap();
    Attempt::new(owner, Kind::try_from("cut").unwrap(), 1, room(), now)
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
    Response::Report(Report { clock_ms, started_at_ms: Some(1), running, ended })
}

/// A target that this host has claimed.
fn held(now: Instant) -> Tracker {
    let mut tracker = Tracker::new(entry("t", "a"), TERM, now);
    let claim = tracker.claim(TOKEN, now);
    let found = tracker.handle_response(&claim, report(CLOCK, &[], &[]), now);
    assert!(matches!(found[..], [Change::Claimed(TOKEN)]));
    tracker
}

fn start(tracker: &mut Tracker, index: u32, now: Instant) -> Call {
    tracker.start(&task(index), "work".into(), attempt(now), now)
}

fn started(tracker: &mut Tracker, index: u32, now: Instant) {
    let call = start(tracker, index, now);
    let found = tracker.handle_response(&call, Response::Accepted { clock_ms: CLOCK + 1 }, now);
    assert!(found.is_empty());
}

fn ends(found: &[Change]) -> Vec<(u32, End)> {
    let ended = found.iter().filter_map(|finding| match finding {
        Change::Ended { task, end, .. } => Some((task.index, *end)),
        _ => None,
    });
    ended.collect()
}

fn free_cpu(tracker: &Tracker, now: Instant) -> Option<u64> {
    tracker.available(now).map(|room| room.cpu_millis)
}

/// An unanswered start keeps its room until the fence is raised; then the list decides.
fn unanswered(listed: &[u32], ended: &[(u64, u32, lease::End)], wanted: &[(u32, End)], free: u64) {
    let now = Instant::now();
    let mut tracker = held(now);
    let call = start(&mut tracker, 0, now);
    assert_eq!(free_cpu(&tracker, now), Some(18_000), "a start takes its room at once");
    assert!(tracker.handle_response(&call, Response::NoResponse, now).is_empty());
    assert_eq!(free_cpu(&tracker, now), None, "nothing is certain");
    assert!(tracker.wants_claim(now));
    let claim = tracker.claim(Token(6), now);
    let found = tracker.handle_response(&claim, report(CLOCK + 50, listed, ended), now);
    assert_eq!(ends(&found), wanted);
    assert_eq!(free_cpu(&tracker, now), Some(free));
}

cases! { unanswered:
    it_runs(&[0], &[], &[], 18_000);
    it_is_not_there(&[], &[], &[(0, End::Lost)], 32_000);
    it_has_ended(&[], &[(1, 0, lease::End::Done)], &[(0, End::Done)], 32_000);
}

/// What a rejected start means.
fn rejected(rejection: Rejection, end: End, phase: Phase) {
    let now = Instant::now();
    let mut tracker = held(now);
    let call = start(&mut tracker, 0, now);
    let found = tracker.handle_response(&call, Response::Rejected(rejection), now);
    assert_eq!(ends(&found), [(0, end)]);
    assert_eq!(tracker.phase, phase);
}

cases! { rejected:
    by_a_higher_token(Rejection::Fenced, End::NotRun, Phase::Free);
    as_an_old_run(Rejection::StaleRun, End::NotRun, Phase::Held(TOKEN));
    for_want_of_room(Rejection::NoRoom, End::NotRun, Phase::Held(TOKEN));
    by_another_life(Rejection::OtherIncarnation, End::NotRun, Phase::Held(TOKEN));
}

/// What runs at a target that is lost or taken over.
fn given_up(answer: Response, wanted: End) {
    let now = Instant::now();
    let mut tracker = held(now);
    started(&mut tracker, 0, now);
    let renewal = tracker.next_renewal(now).unwrap();
    let found = tracker.handle_response(&renewal, answer, now);
    assert_eq!(ends(&found), [(0, wanted)]);
    assert_eq!(tracker.phase, Phase::Free);
    assert_eq!(free_cpu(&tracker, now), None);
}

cases! { given_up:
    to_another_host_runs_on(Response::Rejected(Rejection::Fenced), End::Adrift);
}

/// Renewals without answers: the lease is let go, and only after its end is anything said.
#[test]
fn silence_is_waited_out() {
    let start = Instant::now();
    let mut tracker = held(start);
    started(&mut tracker, 0, start);
    let mut now = start;
    let mut renewing = Vec::new();
    let found = loop {
        let call = tracker.next_renewal(now).expect("it is asked until its lease is over");
        let Order::Renew { lease_until_ms, .. } = &call.order else {
            panic!("a renewal");
        };
        renewing.push(lease_until_ms.is_some());
        now += call.timeout;
        let found = tracker.handle_response(&call, Response::NoResponse, now);
        if !found.is_empty() {
            break found;
        }
        assert_eq!(free_cpu(&tracker, now), None);
    };
    assert_eq!(ends(&found), [(0, End::Lost)]);
    assert!(renewing.starts_with(&[true, true]) && !renewing[2..].contains(&true));
    assert!(now - start > LEASE);
}

/// Orders that get no answer: how long a target is deaf or closed after one.
fn renewal_waits(expected_ms: u64, ran_ms: u64, wanted_ms: u64) {
    let start = Instant::now();
    let mut tracker = held(start);
    let expected = Duration::from_millis(expected_ms);
    let mut long = attempt(start);
    long.expected = expected;
    let call = tracker.start(&task(0), "work".into(), long, start);
    tracker.handle_response(&call, Response::Accepted { clock_ms: CLOCK + 1 }, start);
    let renewal = tracker.next_renewal(start + Duration::from_millis(ran_ms)).unwrap();
    let Order::Renew { max_wait, .. } = renewal.order else {
        panic!("a renewal");
    };
    assert_eq!(max_wait.as_millis(), u128::from(wanted_ms));
    assert!(renewal.timeout <= max_wait + Duration::from_millis(250));
}

cases! { renewal_waits:
    until_the_next_end_is_overdue(200, 0, 270);
    for_a_short_run_at_least(10, 0, 50);
    no_longer_than_the_lease_bears(3_000, 0, 400);
    ever_longer_for_what_is_overdue(100, 335, 200);
}

/// Answers that come after so many milliseconds; none that do not come.
fn times_out(answers: &[Option<u64>], wanted_ms: std::ops::RangeInclusive<u128>) {
    let mut timeout = Timeout::default();
    for answer in answers {
        match answer {
            Some(millis) => timeout.record_response(Duration::from_millis(*millis)),
            None => timeout.record_miss(),
        }
    }
    assert!(wanted_ms.contains(&timeout.current().as_millis()), "{timeout:?}");
}

cases! { times_out:
    late_before_anything_is_known(&[], 250..=250);
    early_where_answers_are_fast(&[Some(1); 30], 40..=40);
    later_where_answers_take_long(&[Some(45); 30], 180..=180);
    later_after_a_slow_answer(&[Some(1), Some(30)], 120..=250);
    later_again_after_missed_answers(&[Some(1), None, None], 250..=250);
}

/// What is recalled is stopped once, and its task may start elsewhere.
#[test]
fn recalled_attempts_are_stopped_and_end_as_lost() {
    let now = Instant::now();
    let mut tracker = held(now);
    started(&mut tracker, 0, now);
    assert_eq!(tracker.recall_where(|_| true), 1);
    assert_eq!(tracker.recall_where(|_| true), 0);
    assert_eq!(tracker.due_stops(now).len(), 1);
    let renewal = tracker.next_renewal(now).unwrap();
    let found = tracker.handle_response(
        &renewal,
        report(CLOCK + 5, &[], &[(1, 0, lease::End::Stopped)]),
        now,
    );
    assert_eq!(ends(&found), [(0, End::Lost)]);
}

/// A target that turns renewals away runs on: nothing there is lost before its lease is over.
fn turned_away(rejection: Rejection) {
    let start = Instant::now();
    let mut tracker = held(start);
    started(&mut tracker, 0, start);
    let renewal = tracker.next_renewal(start).unwrap();
    let found = tracker.handle_response(&renewal, Response::Rejected(rejection), start);
    assert!(found.is_empty());
    assert_eq!(free_cpu(&tracker, start), None);
    assert!(tracker.next_renewal(start).is_none(), "it is not asked again at once");
    let later = start + Duration::from_millis(150);
    let renewal = tracker.next_renewal(later).unwrap();
    let found = tracker.handle_response(
        &renewal,
        report(CLOCK + 9, &[], &[(1, 0, lease::End::Done)]),
        later,
    );
    assert_eq!(ends(&found), [(0, End::Done)]);
}

cases! { turned_away:
    as_unhealthy(Rejection::Unhealthy);
    as_malformed(Rejection::Malformed);
}

/// An attempt that a report should name and does not.
fn missing(clock_ms: u64, wanted: &[(u32, End)]) {
    let now = Instant::now();
    let mut tracker = held(now);
    started(&mut tracker, 0, now);
    let renewal = tracker.next_renewal(now).unwrap();
    let found = tracker.handle_response(&renewal, report(clock_ms, &[], &[]), now);
    assert_eq!(ends(&found), wanted);
}

cases! { missing:
    from_a_later_report_is_lost(CLOCK + 2, &[(0, End::Lost)]);
    from_a_report_made_before_it_started_runs_on(CLOCK, &[]);
}

/// What another steward started is stopped, and until it is gone nothing is placed.
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
    assert!(tracker.due_stops(now).is_empty(), "it is asked once");
    let renewal = tracker.next_renewal(now).unwrap();
    tracker.handle_response(&renewal, report(CLOCK + 9, &[], &[(1, 7, lease::End::Stopped)]), now);
    assert_eq!(free_cpu(&tracker, now), Some(32_000));
}

/// A target that restarted under its name obeys every token at first: only a new one tells.
#[test]
fn another_life_is_claimed_anew() {
    let now = Instant::now();
    let mut tracker = held(now);
    started(&mut tracker, 0, now);
    let renewal = tracker.next_renewal(now).unwrap();
    let other = Report { clock_ms: 3, started_at_ms: Some(2), ..Report::default() };
    let found = tracker.handle_response(&renewal, Response::Report(other.clone()), now);
    assert!(ends(&found).is_empty(), "an order for the earlier life may run in this one");
    assert!(tracker.wants_claim(now));
    let claim = tracker.claim(Token(6), now);
    let found = tracker.handle_response(&claim, Response::Report(other), now);
    assert_eq!(ends(&found), [(0, End::Lost)]);
    assert_eq!(free_cpu(&tracker, now), Some(32_000));
}

/// An answer to an earlier order must not count for a later one of the same number.
#[test]
fn a_late_answer_is_told_apart_by_its_token() {
    let now = Instant::now();
    let mut tracker = held(now);
    let first = start(&mut tracker, 0, now);
    tracker.handle_response(&first, Response::NoResponse, now);
    let claim = tracker.claim(Token(6), now);
    tracker.handle_response(&claim, report(CLOCK + 5, &[], &[]), now);
    start(&mut tracker, 0, now);
    let found = tracker.handle_response(&first, Response::Rejected(Rejection::Fenced), now);
    assert!(found.is_empty());
    assert!(tracker.contains(&task(0)));
    assert_eq!(tracker.phase, Phase::Held(Token(6)));
}

/// What nobody wants is stopped, but not before its start is answered.
#[test]
fn unwanted_attempts_are_stopped() {
    let now = Instant::now();
    let mut tracker = held(now);
    let call = start(&mut tracker, 0, now);
    tracker.cancel_where(|_, _| true);
    assert!(tracker.due_stops(now).is_empty());
    tracker.handle_response(&call, Response::Accepted { clock_ms: CLOCK + 1 }, now);
    assert_eq!(tracker.due_stops(now).len(), 1);
    assert_eq!(free_cpu(&tracker, now), Some(18_000), "what is being stopped still counts");
}

fn minted(wall_ms: [u64; 2]) {
    let at = |millis| SystemTime::UNIX_EPOCH + Duration::from_millis(millis);
    let mut issuer = Issuer::new(77);
    let first = issuer.next(at(wall_ms[0]));
    let second = issuer.next(at(wall_ms[1]));
    assert!(second > first);
    let other = Issuer::new(78).next(at(wall_ms[0]));
    assert_ne!(first, other, "two processes differ");
}

cases! { minted:
    rises_with_the_time([1_000, 1_001]);
    rises_within_a_millisecond([1_000, 1_000]);
    rises_when_the_clock_goes_back([1_000, 500]);
}

#[test]
fn a_token_rises_over_what_others_use() {
    let mut issuer = Issuer::new(1);
    issuer.observe(Token(1 << 50));
    assert!(issuer.next(SystemTime::UNIX_EPOCH) > Token(1 << 50));
}
