//! What a host says that has just started.

use std::sync::Arc;
use std::time::Duration;

use coltsfootshunt_core::clock::Clock;
use coltsfootshunt_core::name::{Kind, Zone};

use super::simulation::Time;
use crate::config::tests::{document, route};
use crate::control::{Action, Event, Request, Response, Settings, State};
use crate::job::{
    Id, Outcome, Plan, Refusal, RequestId, Requirements, Resources, Step, Submission,
};
use crate::lease::{Term, Token};
use crate::member::tests::identity;
use crate::member::{Claim, Heartbeat};
use crate::peer::{Batch, Message};
use crate::routing::Load;
use crate::steward;
use crate::store::Update;

/// A host that knows the configuration, and nobody yet.
pub(super) fn alone(clock: &Arc<Time>) -> State {
    let term = Term { max: Duration::from_secs(1), resend_after: Duration::from_millis(1_300) };
    let settings = Settings {
        identity: identity("me", "a", 250),
        seeds: Vec::new(),
        steward: steward::Settings { term, remote_factor: 1.5 },
        stop_timeout: Duration::from_secs(5),
    };
    let mut state = State::new(settings, Arc::clone(clock) as Arc<dyn Clock>);
    let document = Arc::new(document(1, vec![route("cut", "/a/")]));
    state.handle(Event::Store(Update::Document(document)));
    state
}

/// A steward in another availability zone is heard.
pub(super) fn hear_steward(state: &mut State) {
    let claims = vec![Claim { zone: Zone::try_from("b").unwrap(), token: Token(2) }];
    let load = Load { free_slots: 8, slots: 10, ..Load::default() };
    let beat = Message::Heartbeat(Heartbeat { claims, load, ..Heartbeat::default() });
    let from = identity("steward", "b", 250);
    let batch = Batch { from, session: 1, sequence: 1, messages: vec![beat] };
    state.handle(Event::Request(RequestId(1), Request::Deliver(batch)));
}

/// A job of two tasks of 50 ms comes; what the host does.
fn submit(state: &mut State) -> Vec<Action> {
    let resources = Resources { cpu_millis: 14_000, memory_mb: 64, accelerators: 0 };
    let requirements = Requirements { resources, estimate_ms: 50, ..Requirements::default() };
    let plan =
        Plan::new("work".into(), vec![Step { count: 2, requirements, after: Vec::new() }]).unwrap();
    let submission = Submission {
        id: Id::try_from("0000000000000001").unwrap(),
        kind: Kind::try_from("cut").unwrap(),
        plan: Arc::new(plan),
        timeout: Duration::from_millis(1_500),
    };
    state.handle(Event::Request(RequestId(2), Request::Submit(submission)));
    state.advance()
}

fn is_sent(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Send(_, Message::Run(_))))
}

#[test]
fn nothing_of_what_targets_can_hold_before_one_is_known() {
    let mut state = alone(&Arc::new(Time::new()));
    hear_steward(&mut state);
    state.advance();
    let actions = submit(&mut state);
    let failed = |action: &Action| {
        matches!(action, Action::Respond(RequestId(2), Response::Outcome(Outcome::Failed)))
    };
    assert!(!actions.iter().any(failed), "{actions:?}");
    assert!(is_sent(&actions), "{actions:?}");
}

/// After a start of all hosts jobs come before the first steward.
#[test]
fn no_refusal_while_a_steward_is_about_to_come() {
    let mut state = alone(&Arc::new(Time::new()));
    let actions = submit(&mut state);
    let answered = |action: &Action| matches!(action, Action::Respond(RequestId(2), _));
    assert!(!actions.iter().any(answered), "{actions:?}");
    hear_steward(&mut state);
    let actions = state.advance();
    assert!(is_sent(&actions), "{actions:?}");
}

/// No steward comes while the caller waits: it hears so once the job has no chance any more.
#[test]
fn a_job_without_a_steward_is_turned_away_before_its_caller_goes() {
    let clock = Arc::new(Time::new());
    let mut state = alone(&clock);
    submit(&mut state);
    let refused = |action: &Action| {
        let refusal = Refusal::NoSteward;
        let outcome = Outcome::Refused { refusal, retry_after: Duration::from_secs(1) };
        matches!(action, Action::Respond(RequestId(2), Response::Outcome(one)) if *one == outcome)
    };
    let mut heard = None;
    for at_ms in (0..1_500).step_by(50) {
        clock.set(at_ms);
        if state.advance().iter().any(refused) {
            heard = heard.or(Some(at_ms));
        }
    }
    assert!(heard.is_some_and(|at_ms| (1_000..1_500).contains(&at_ms)), "{heard:?}");
}
