//! Evidence that a task has ended: what a host considers over must not run any more.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::clock::Clock;
use coltsfootshunt_core::name::{Host, Kind};
use coltsfootshunt_testkit::cases;

use super::simulation::ManualClock;
use super::target::{MAX_LEASE_MS, Target, Work};
use crate::control::{Action, Event, Request, Response, Settings, State};
use crate::directory::tests::entry;
use crate::job::{Id, Resources, Task};
use crate::lease::{self, Attempt, Call, Change, Evidence, Order, Term, Token, Tracker};
use crate::member::Heartbeat;
use crate::member::tests::identity;
use crate::peer::{Ack, Batch, Message};
use crate::steward;

const TERM: Term =
    Term { max: Duration::from_millis(MAX_LEASE_MS), resend_after: Duration::from_millis(1_300) };
const ROOM: Resources = Resources { cpu_millis: 8_000, memory_mb: 64, accelerators: 0 };

fn execute(target: &mut Target, call: &Call, now_ms: u64) -> lease::Response {
    target.advance(now_ms);
    let work = |_: &Task| Work { resources: ROOM, run_ms: 5_000, fails: false };
    target.execute(call.token, &call.order, now_ms, work)
}

/// A steward that is partitioned from a target considers its tasks there over when its lease
/// expires. A second steward that took over the target must not have extended that lease, even if
/// the target executes the second steward's stops late.
#[test]
fn a_lease_expires_although_another_steward_took_the_target_over() {
    let start_time = Instant::now();
    let at = |ms: u64| start_time + Duration::from_millis(ms);
    let mut target = Target::new(entry("t", "a"), 0);
    let mut first = Tracker::new(entry("t", "a"), TERM, start_time);
    let mut second = Tracker::new(entry("t", "a"), TERM, start_time);
    let claim = first.claim(Token(5), at(1));
    let response = execute(&mut target, &claim, 1);
    first.handle_response(&claim, response, at(1));
    let task = Task { job: Id::try_from("0000000000000001").unwrap(), step: 0, index: 0 };
    let owner = Host::try_from("owner").unwrap();
    let attempt = Attempt::new(owner, Kind::try_from("cut").unwrap(), 1, ROOM, at(2));
    let start = first.start(&task, "work".into(), attempt, at(2));
    let response = execute(&mut target, &start, 2);
    first.handle_response(&start, response, at(2));
    // From here on the first steward is partitioned from the target, and the second takes it over.
    let mut pending: Vec<(u64, Call)> = Vec::new();
    for now_ms in 3..3_000 {
        let now = at(now_ms);
        if now_ms == 860 {
            let claim = second.claim(Token(6), now);
            let response = execute(&mut target, &claim, now_ms);
            second.handle_response(&claim, response, now);
        }
        if now_ms > 860 {
            // The target executes renewals of the second steward at once, and its stops late.
            second.due_stops(now);
            if let Some(renewal) = second.next_renewal(now) {
                let response = execute(&mut target, &renewal, now_ms);
                second.handle_response(&renewal, response, now);
            }
        }
        let due: Vec<Call> =
            pending.extract_if(.., |(at, _)| *at <= now_ms).map(|(_, call)| call).collect();
        for call in due {
            let changes = first.handle_response(&call, lease::Response::NoResponse, now);
            let over = |one: &Change| {
                matches!(one, Change::Ended { evidence: Evidence::LeaseExpired, .. })
            };
            if changes.iter().any(over) {
                target.advance(now_ms);
                assert!(!target.running.contains_key(&task), "the task still runs at {now_ms} ms");
                return;
            }
        }
        let calls = first.next_renewal(now).into_iter();
        pending.extend(calls.map(|call| (now_ms + call.timeout.as_millis() as u64, call)));
    }
    panic!("the task was never given up");
}

/// A batch that a partition delayed until its sender was given up is rejected: the sender has
/// responded to its callers since, and the tasks in the batch may run elsewhere by now.
#[test]
fn a_batch_of_a_session_that_was_given_up_is_rejected() {
    let clock = Arc::new(ManualClock::new());
    let settings = Settings {
        identity: identity("me", "a", 250),
        seeds: Vec::new(),
        steward: steward::Settings { term: TERM, remote_factor: 1.5 },
        stop_timeout: Duration::from_secs(5),
        max_targets_age: Duration::from_secs(1),
        targets_per_core: 200,
        evacuation: crate::evacuation::Settings::default(),
    };
    let mut state = State::new(settings, Arc::clone(&clock) as Arc<dyn Clock>);
    let mut deliver = |number: u64| {
        let messages = vec![Message::Heartbeat(Heartbeat::default())];
        let batch =
            Batch { from: identity("owner", "b", 250), session: 1, sequence: number, messages };
        state.detect_pause();
        let request_id = crate::job::RequestId(number);
        state.handle(Event::Request(request_id, Request::Deliver(batch)));
        let acks = state.advance().into_iter().filter_map(|action| match action {
            Action::Respond(_, Response::Ack(ack)) => Some(ack),
            _ => None,
        });
        let acks: Vec<Ack> = acks.collect();
        for ms in (0..=1_400).step_by(50) {
            clock.set(number * 1_400 - 1_400 + ms);
            state.detect_pause();
            state.advance();
        }
        acks
    };
    assert_eq!(deliver(1), [Ack::Accepted]);
    assert_eq!(deliver(2), [Ack::SessionLost], "1.4 s later");
}

/// A steward that takes over a target must not extend the lease of tasks that others started there.
#[test]
fn a_takeover_extends_no_lease_of_other_stewards_tasks() {
    let now = Instant::now();
    let mut target = Target::new(entry("t", "a"), 0);
    let task = Task { job: Id::try_from("0000000000000001").unwrap(), step: 0, index: 0 };
    let order = Order::Start { task, run: 1, spec: "work".into(), lease_until_ms: 1_000 };
    target.execute(Token(5), &order, 1, |_| Work { resources: ROOM, run_ms: 5_000, fails: false });
    let mut tracker = Tracker::new(entry("t", "a"), TERM, now);
    let claim = tracker.claim(Token(6), now);
    let response = execute(&mut target, &claim, 2);
    tracker.handle_response(&claim, response, now);
    let renewal = tracker.next_renewal(now).unwrap();
    let Order::Renew { lease_until_ms, .. } = renewal.order else {
        panic!("expected a renewal");
    };
    assert_eq!(lease_until_ms, None, "the steward has no task of its own there");
}

/// Guards against a task that runs twice: it started right after a takeover, under the lease that
/// the former steward had extended, and outlived the moment at which its caller may resend it. Its
/// owner was last heard `silent_ms` before the takeover.
fn starts_after_takeover(silent_ms: u64, starts: bool) {
    const TAKEOVER_MS: u64 = 1_000;
    let start_time = Instant::now();
    let at = |ms: u64| start_time + Duration::from_millis(ms);
    let mut target = Target::new(entry("t", "a"), 0);
    let id = |index| Task { job: Id::try_from("0000000000000001").unwrap(), step: 0, index };
    // The former steward's task ends at once, but its lease does not.
    let order = Order::Start { task: id(0), run: 1, spec: "work".into(), lease_until_ms: 2_000 };
    let short = Work { resources: ROOM, run_ms: 1, fails: false };
    target.execute(Token(5), &order, TAKEOVER_MS - 1, |_| short);
    let mut tracker = Tracker::new(entry("t", "a"), TERM, start_time);
    let claim = tracker.claim(Token(6), at(TAKEOVER_MS));
    let response = execute(&mut target, &claim, TAKEOVER_MS);
    tracker.handle_response(&claim, response, at(TAKEOVER_MS));
    let heard_ms = TAKEOVER_MS - silent_ms;
    let max_silence = tracker.max_silence(at(TAKEOVER_MS));
    let can_start = max_silence.is_some_and(|max| Duration::from_millis(silent_ms) <= max);
    if can_start {
        let owner = Host::try_from("owner").unwrap();
        let kind = Kind::try_from("cut").unwrap();
        let mut attempt = Attempt::new(owner, kind, 1, ROOM, at(TAKEOVER_MS));
        attempt.owner_heard_at = at(heard_ms);
        let start = tracker.start(&id(1), "work".into(), attempt, at(TAKEOVER_MS));
        execute(&mut target, &start, TAKEOVER_MS);
        assert!(target.running.contains_key(&id(1)));
        target.advance(heard_ms + TERM.resend_after.as_millis() as u64);
        assert!(target.running.is_empty(), "the task runs when its caller may resend it");
    }
    assert_eq!(can_start, starts);
}

cases! { starts_after_takeover:
    for_an_owner_heard_after_it(0, true);
    for_an_owner_heard_just_before(100, true);
    not_for_an_owner_heard_earlier(300, false);
    not_for_a_silent_owner(800, false);
}
