//! Extreme numbers in a submission, in the configuration and in messages of other hosts.

use std::sync::Arc;
use std::time::Duration;

use coltsfootshunt_core::name::Kind;
use coltsfootshunt_testkit::cases;

use super::simulation::ManualClock;
use super::startup::{deliver_steward_heartbeat, host_without_peers};
use crate::config::tests::{document, route};
use crate::config::{Route, Stretch};
use crate::control::{Action, Event, Request, Response, State};
use crate::job::{
    Id, Outcome, Patience, Plan, RequestId, Requirements, Resources, Step, Submission,
};
use crate::member::tests::identity;
use crate::peer::{Batch, Message};
use crate::store::Update;

/// A plan of consecutive steps, each with one task of the given estimate.
fn chain(steps: usize, estimate_ms: u64) -> Plan {
    let resources = Resources { cpu_millis: u64::MAX, memory_mb: u64::MAX, accelerators: u64::MAX };
    let requirements = Requirements { resources, estimate_ms, ..Requirements::default() };
    let after = |step: usize| step.checked_sub(1).into_iter().collect();
    let step = |number| Step { count: 1, requirements: requirements.clone(), after: after(number) };
    Plan::new("work".into(), (0..steps).map(step).collect()).unwrap()
}

fn submit(state: &mut State, plan: Plan, timeout: Duration) -> Vec<Action> {
    let submission = Submission {
        id: Id::try_from("0000000000000001").unwrap(),
        kind: Kind::try_from("cut").unwrap(),
        plan: Arc::new(plan),
        patience: Patience::from(timeout),
    };
    state.handle(Event::Request(RequestId(2), Request::Submit(submission)));
    state.advance()
}

/// The host refuses the job or sends it to a steward, without a panic.
fn decides(plan: Plan, patience_ms: u64, change: impl Fn(&mut Route)) {
    let mut state = host_without_peers(&Arc::new(ManualClock::new()));
    let mut changed = route("cut", "/a/");
    change(&mut changed);
    let update = Update::Document(Arc::new(document(2, vec![changed])));
    state.handle(Event::Store(update));
    deliver_steward_heartbeat(&mut state);
    state.advance();
    let actions = submit(&mut state, plan, Duration::from_millis(patience_ms));
    let refused = |action: &Action| {
        let Action::Respond(RequestId(2), Response::Outcome(outcome)) = action else {
            return false;
        };
        matches!(outcome, Outcome::Refused { .. })
    };
    let sent = |action: &Action| matches!(action, Action::Send(..));
    assert!(actions.iter().any(|action| refused(action) || sent(action)), "{actions:?}");
}

/// Removes the time limits of a route.
fn unbounded(route: &mut Route) {
    route.timeout = Duration::from_millis(u64::MAX);
    route.allowance = Duration::from_millis(u64::MAX);
}

cases! { decides:
    on_the_longest_run_time(chain(1, u64::MAX), 1_500, |_| {});
    on_the_longest_chain(chain(1_000, u64::MAX), 1_500, |_| {});
    on_the_longest_chain_without_timeout(
        chain(1_000, u64::MAX), u64::MAX, unbounded);
    on_the_largest_stretch(chain(1_000, u64::MAX), 1_500, |route| {
        route.stretch = Stretch::try_from(f64::MAX).unwrap();
    });
    on_a_short_job_without_timeout(chain(1, 50), u64::MAX, unbounded);
}

/// A peer shares run times of a kind that are out of range; jobs are still sent.
fn decides_despite_peer_trend(trend: [f64; 6]) {
    let mut state = host_without_peers(&Arc::new(ManualClock::new()));
    deliver_steward_heartbeat(&mut state);
    state.advance();
    let [ends, declared, took, declared_squared, product, took_squared] = trend;
    let trend = serde_json::from_value(serde_json::json!({
        "ends": ends, "declared": declared, "took": took,
        "declared_squared": declared_squared, "product": product, "took_squared": took_squared,
    }));
    let kinds = vec![(Kind::try_from("cut").unwrap(), trend.unwrap())];
    let learned = Message::Speeds { targets: Vec::new(), kinds };
    let batch = Batch {
        from: identity("steward", "b", 250),
        session: 1,
        sequence: 2,
        messages: vec![learned],
    };
    state.handle(Event::Request(RequestId(1), Request::Deliver(batch)));
    state.advance();
    let actions = submit(&mut state, chain(1, 50), Duration::from_millis(1_500));
    let sent = |action: &Action| matches!(action, Action::Send(_, Message::Run(_)));
    assert!(actions.iter().any(sent), "{actions:?}");
}

cases! { decides_despite_peer_trend:
    a_usual_trend([20.0, -60.0, -60.0, 180.0, 180.0, 180.0]);
    long_run_times([500.0, -1_500.0, 1e300, 4_500.0, 0.0, 1e300]);
    negative_times([-1.0, -1.0, -1.0, -1.0, -1.0, -1.0]);
    largest_sums([f64::MAX; 6]);
}
