//! Whether what a host takes for over is over.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::clock::Clock;
use coltsfootshunt_core::name::{Host, Kind};

use super::simulation::Time;
use super::target::{LEASE_MS, Target, Work};
use crate::control::{Action, Event, Request, Response, Settings, State};
use crate::directory::tests::entry;
use crate::job::{Id, Resources, Task};
use crate::lease::{self, Attempt, Call, Change, Evidence, Order, Term, Token, Tracker};
use crate::member::Heartbeat;
use crate::member::tests::identity;
use crate::peer::{Ack, Batch, Message};
use crate::steward;

const TERM: Term =
    Term { max: Duration::from_millis(LEASE_MS), resend_after: Duration::from_millis(1_300) };
const ROOM: Resources = Resources { cpu_millis: 8_000, memory_mb: 64, accelerators: 0 };

fn carry_out(target: &mut Target, call: &Call, now_ms: u64) -> lease::Response {
    target.pass(now_ms);
    let work = |_: &Task| Work { resources: ROOM, takes_ms: 5_000, fails: false };
    target.take(call.token, &call.order, now_ms, work)
}

/// A steward that is cut off from a target counts what runs there as over at the end of the lease that it
/// gave; another steward that has taken the target over meanwhile must not have prolonged that, even if the
/// target carries its stops out late.
#[test]
fn a_lease_is_over_although_another_steward_has_the_target() {
    let began = Instant::now();
    let at = |ms: u64| began + Duration::from_millis(ms);
    let mut target = Target::new(entry("t", "a"), 0);
    let mut first = Tracker::new(entry("t", "a"), TERM, began);
    let mut second = Tracker::new(entry("t", "a"), TERM, began);
    let claim = first.claim(Token(5), at(1));
    let answer = carry_out(&mut target, &claim, 1);
    first.handle_response(&claim, answer, at(1));
    let task = Task { job: Id::try_from("0000000000000001").unwrap(), step: 0, index: 0 };
    let owner = Host::try_from("owner").unwrap();
    let attempt = Attempt::new(owner, Kind::try_from("cut").unwrap(), 1, ROOM, at(2));
    let start = first.start(&task, "work".into(), attempt, at(2));
    let answer = carry_out(&mut target, &start, 2);
    first.handle_response(&start, answer, at(2));
    // From here on the first steward is cut off from the target, and the second takes it over.
    let mut pending: Vec<(u64, Call)> = Vec::new();
    for now_ms in 3..3_000 {
        let now = at(now_ms);
        if now_ms == 860 {
            let claim = second.claim(Token(6), now);
            let answer = carry_out(&mut target, &claim, now_ms);
            second.handle_response(&claim, answer, now);
        }
        if now_ms > 860 {
            // Its stops are carried out late; its renewals are not.
            second.due_stops(now);
            if let Some(renewal) = second.next_renewal(now) {
                let answer = carry_out(&mut target, &renewal, now_ms);
                second.handle_response(&renewal, answer, now);
            }
        }
        let due: Vec<Call> =
            pending.extract_if(.., |(at, _)| *at <= now_ms).map(|(_, call)| call).collect();
        for call in due {
            let found = first.handle_response(&call, lease::Response::NoResponse, now);
            let over = |one: &Change| {
                matches!(one, Change::Ended { evidence: Evidence::LeaseExpired, .. })
            };
            if found.iter().any(over) {
                target.pass(now_ms);
                assert!(!target.running.contains_key(&task), "it runs on at {now_ms} ms");
                return;
            }
        }
        let calls = first.next_renewal(now).into_iter();
        pending.extend(calls.map(|call| (now_ms + call.timeout.as_millis() as u64, call)));
    }
    panic!("it was never given up");
}

/// A message that a cut held up until its sender was given up, and told its caller so, is void: the work in it
/// may run elsewhere by now.
#[test]
fn a_message_of_a_session_that_was_given_up_is_void() {
    let clock = Arc::new(Time::new());
    let settings = Settings {
        identity: identity("me", "a", 250),
        seeds: Vec::new(),
        steward: steward::Settings { term: TERM, remote_factor: 1.5 },
        stop_timeout: Duration::from_secs(5),
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

/// A steward that takes a target over lets what others started there come to its end.
#[test]
fn a_takeover_gives_no_lease_to_what_others_started() {
    let now = Instant::now();
    let mut target = Target::new(entry("t", "a"), 0);
    let task = Task { job: Id::try_from("0000000000000001").unwrap(), step: 0, index: 0 };
    let order = Order::Start { task, run: 1, spec: "work".into(), lease_until_ms: 1_000 };
    target.take(Token(5), &order, 1, |_| Work { resources: ROOM, takes_ms: 5_000, fails: false });
    let mut picture = Tracker::new(entry("t", "a"), TERM, now);
    let claim = picture.claim(Token(6), now);
    let answer = carry_out(&mut target, &claim, 2);
    picture.handle_response(&claim, answer, now);
    let renewal = picture.next_renewal(now).unwrap();
    let Order::Renew { lease_until_ms, .. } = renewal.order else {
        panic!("a renewal");
    };
    assert_eq!(lease_until_ms, None, "nothing of its own runs there");
}
