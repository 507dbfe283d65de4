//! Responses of a host that has just started.

use std::sync::Arc;
use std::time::Duration;

use coltsfootshunt_core::clock::Clock;
use coltsfootshunt_core::name::{Kind, Zone};
use coltsfootshunt_testkit::cases;

use super::simulation::ManualClock;
use crate::config::tests::{document, route};
use crate::control::{Action, Event, Request, Response, Settings, State};
use crate::directory;
use crate::evacuation;
use crate::job::{
    Id, Outcome, Patience, Plan, Refusal, RequestId, Requirements, Resources, Step, Submission,
};
use crate::lease::{Term, Token};
use crate::member::tests::identity;
use crate::member::{Claim, Heartbeat, Identity};
use crate::peer::{Batch, Message};
use crate::report::Record;
use crate::routing::Load;
use crate::steward;
use crate::store::{self, Listing, Update};

/// A host that knows the configuration, but no peer and no target.
pub(super) fn host_without_peers(clock: &Arc<ManualClock>) -> State {
    host_with(clock, evacuation::Settings::default())
}

/// As above, with settings for the evacuation of zones.
pub(super) fn host_with(clock: &Arc<ManualClock>, evacuation: evacuation::Settings) -> State {
    let term = Term { max: Duration::from_secs(1), resend_after: Duration::from_millis(1_300) };
    let settings = Settings {
        identity: identity("me", "a", 250),
        seeds: Vec::new(),
        steward: steward::Settings { term, remote_factor: 1.5 },
        stop_timeout: Duration::from_secs(5),
        max_targets_age: Duration::from_secs(1),
        targets_per_core: 200,
        evacuation,
    };
    let mut state = State::new(settings, Arc::clone(clock) as Arc<dyn Clock>);
    let document = Arc::new(document(1, vec![route("cut", "/a/")]));
    state.handle(Event::Store(Update::Document(document)));
    state
}

/// Delivers a heartbeat of a steward in another availability zone.
pub(super) fn deliver_steward_heartbeat(state: &mut State) {
    deliver_steward_session(state, 1, 1);
}

/// Delivers the first batch of a session of the steward: a heartbeat.
pub(super) fn deliver_steward_session(state: &mut State, incarnation: u64, session: u64) {
    let claims = vec![Claim { zone: Zone::try_from("b").unwrap(), token: Token(2) }];
    let load = Load { free_slots: 8, slots: 10, ..Load::default() };
    let heartbeat = Message::Heartbeat(Heartbeat { claims, load, ..Heartbeat::default() });
    let from = Identity { incarnation, ..identity("steward", "b", 250) };
    deliver_batch_of(state, from, session, vec![heartbeat]);
}

/// Delivers the first batch of a steward in another availability zone.
pub(super) fn deliver_batch_of_steward(state: &mut State, messages: Vec<Message>) {
    deliver_batch_of(state, identity("steward", "b", 250), 1, messages);
}

fn deliver_batch_of(state: &mut State, from: Identity, session: u64, messages: Vec<Message>) {
    let batch = Batch { from, session, sequence: 1, messages };
    state.handle(Event::Request(RequestId(1), Request::Deliver(batch)));
}

/// Submits a job of two tasks of 50 ms; returns the actions of the host.
pub(super) fn submit(state: &mut State) -> Vec<Action> {
    let resources = Resources { cpu_millis: 14_000, memory_mb: 64, accelerators: 0 };
    let requirements = Requirements { resources, estimate_ms: 50, ..Requirements::default() };
    let plan =
        Plan::new("work".into(), vec![Step { count: 2, requirements, after: Vec::new() }]).unwrap();
    let submission = Submission {
        id: Id::try_from("0000000000000001").unwrap(),
        kind: Kind::try_from("cut").unwrap(),
        plan: Arc::new(plan),
        patience: Patience::from(Duration::from_millis(1_500)),
    };
    state.handle(Event::Request(RequestId(2), Request::Submit(submission)));
    state.advance()
}

fn is_sent(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Send(_, Message::Run(_))))
}

#[test]
fn does_not_fail_jobs_before_a_target_is_known() {
    let mut state = host_without_peers(&Arc::new(ManualClock::new()));
    deliver_steward_heartbeat(&mut state);
    state.advance();
    let actions = submit(&mut state);
    let failed = |action: &Action| {
        matches!(action, Action::Respond(RequestId(2), Response::Outcome(Outcome::Failed)))
    };
    assert!(!actions.iter().any(failed), "{actions:?}");
    assert!(is_sent(&actions), "{actions:?}");
}

/// When all hosts have just started, jobs arrive before the first steward exists.
#[test]
fn keeps_jobs_until_a_steward_is_known() {
    let mut state = host_without_peers(&Arc::new(ManualClock::new()));
    let actions = submit(&mut state);
    let answered = |action: &Action| matches!(action, Action::Respond(RequestId(2), _));
    assert!(!actions.iter().any(answered), "{actions:?}");
    deliver_steward_heartbeat(&mut state);
    let actions = state.advance();
    assert!(is_sent(&actions), "{actions:?}");
}

/// Without a steward the caller is refused as soon as its job can no longer end in time.
#[test]
fn refuses_a_job_without_a_steward_before_its_timeout() {
    let clock = Arc::new(ManualClock::new());
    let mut state = host_without_peers(&clock);
    submit(&mut state);
    let refused = |action: &Action| {
        let refusal = Refusal::NoSteward;
        let outcome = Outcome::Refused { refusal, retry_after: Duration::from_secs(1) };
        matches!(action, Action::Respond(RequestId(2), Response::Outcome(one)) if *one == outcome)
    };
    let mut refused_at_ms = None;
    for at_ms in (0..1_500).step_by(50) {
        clock.set(at_ms);
        if state.advance().iter().any(refused) {
            refused_at_ms = refused_at_ms.or(Some(at_ms));
        }
    }
    assert!(
        refused_at_ms.is_some_and(|at_ms| (1_000..1_500).contains(&at_ms)),
        "{refused_at_ms:?}"
    );
}

/// Sends host `me` a heartbeat of a host that knows targets and returns whether it requests them. Guards
/// against a new host, which the store does not serve, that uses targets which have left.
fn requests_targets(knows_steward: bool, from_steward: bool, expected: bool) {
    let mut state = host_without_peers(&Arc::new(ManualClock::new()));
    if knows_steward {
        deliver_steward_heartbeat(&mut state);
    }
    let claims =
        from_steward.then(|| Claim { zone: Zone::try_from("c").unwrap(), token: Token(3) });
    let claims = claims.into_iter().collect();
    let heartbeat = Heartbeat { claims, knows_targets: true, ..Heartbeat::default() };
    let from = identity("other", "c", 250);
    let messages = vec![Message::Heartbeat(heartbeat)];
    let batch = Batch { from, session: 1, sequence: 1, messages };
    state.handle(Event::Request(RequestId(3), Request::Deliver(batch)));
    let requests = |action: &Action| matches!(action, Action::Send(_, Message::ConfigRequest));
    assert_eq!(state.advance().iter().any(requests), expected);
}

cases! { requests_targets:
    of_a_steward(true, true, true);
    of_no_other_host_if_there_is_a_steward(true, false, false);
    of_any_host_before_there_is_a_steward(false, false, true);
}

/// A host whose list of targets is three seconds old finds its zone without a steward. Guards against a new
/// steward that starts tasks on a target which said meanwhile that it leaves: on the bench, 5 starts up to
/// 3.7 s after that word, by a host that had just taken its zone over.
fn claims_its_zone(update: Option<Update>, after_ms: u64, expected: bool) {
    let clock = Arc::new(ManualClock::new());
    let mut state = host_without_peers(&clock);
    let listing = |is_stale| Listing { is_stale, ..Listing::from(vec![target()]) };
    state.handle(Event::Store(Update::Targets(listing(false))));
    clock.set(3_000);
    let mut actions = state.advance();
    if let Some(update) = update {
        state.handle(Event::Store(update));
    }
    for at_ms in (3_050..=3_000 + after_ms).step_by(50) {
        clock.set(at_ms);
        actions.extend(state.advance());
    }
    let is_claim =
        |action: &Action| matches!(action, Action::Record(Record::StewardshipTaken { .. }));
    assert_eq!(actions.iter().any(is_claim), expected, "{actions:?}");
    let asks = |action: &Action| matches!(action, Action::Publish(one) if one.awaits_targets);
    assert!(actions.iter().any(asks), "it asks for the list");
}

fn target() -> directory::Entry {
    directory::tests::entry("t0", "a")
}

cases! { claims_its_zone:
    not_with_an_old_list(None, 1_000, false);
    after_a_new_list(Some(Update::Targets(vec![target()].into())), 200, true);
    not_after_a_list_that_may_be_old(
        Some(Update::Targets(Listing { is_stale: true, ..vec![target()].into() })), 1_000, false,
    );
    at_once_if_the_store_is_lost(Some(Update::Lost(store::Error::Unreachable)), 200, true);
    in_the_end_if_the_store_serves_no_list(None, 1_700, true);
}
