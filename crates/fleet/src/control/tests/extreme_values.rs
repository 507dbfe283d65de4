//! The largest numbers that a caller's job, the configuration and other hosts may say.

use std::sync::Arc;
use std::time::Duration;

use coltsfootshunt_core::name::Kind;
use coltsfootshunt_testkit::cases;

use super::simulation::Time;
use super::startup::{alone, hear_steward};
use crate::config::tests::{document, route};
use crate::config::{Route, Stretch};
use crate::control::{Action, Event, Request, Response, State};
use crate::job::{Id, Outcome, Plan, RequestId, Requirements, Resources, Step, Submission};
use crate::member::tests::identity;
use crate::peer::{Batch, Message};
use crate::store::Update;

/// Steps one after the other, each of one task of a declared run time.
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
        timeout,
    };
    state.handle(Event::Request(RequestId(2), Request::Submit(submission)));
    state.advance()
}

/// The host turns the job away or sends it to a steward; it does not end.
fn decides(plan: Plan, patience_ms: u64, change: impl Fn(&mut Route)) {
    let mut state = alone(&Arc::new(Time::new()));
    let mut changed = route("cut", "/a/");
    change(&mut changed);
    let news = Update::Document(Arc::new(document(2, vec![changed])));
    state.handle(Event::Store(news));
    hear_steward(&mut state);
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

/// Lets a caller of the route wait for ever.
fn unbounded(route: &mut Route) {
    route.timeout = Duration::from_millis(u64::MAX);
    route.allowance = Duration::from_millis(u64::MAX);
}

cases! { decides:
    on_the_longest_run_time(chain(1, u64::MAX), 1_500, |_| {});
    on_the_longest_chain(chain(1_000, u64::MAX), 1_500, |_| {});
    on_the_longest_chain_for_a_caller_that_waits_for_ever(
        chain(1_000, u64::MAX), u64::MAX, unbounded);
    on_the_largest_stretch(chain(1_000, u64::MAX), 1_500, |route| {
        route.stretch = Stretch::try_from(f64::MAX).unwrap();
    });
    on_a_short_job_for_a_caller_that_waits_for_ever(chain(1, 50), u64::MAX, unbounded);
}

/// Another host says that run times of a kind are beyond all bounds; jobs are decided on as before.
fn decides_behind(trend: [f64; 6]) {
    let mut state = alone(&Arc::new(Time::new()));
    hear_steward(&mut state);
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

cases! { decides_behind:
    a_usual_trend([20.0, -60.0, -60.0, 180.0, 180.0, 180.0]);
    long_run_times([500.0, -1_500.0, 1e300, 4_500.0, 0.0, 1e300]);
    times_below_zero([-1.0, -1.0, -1.0, -1.0, -1.0, -1.0]);
    sums_without_bounds([f64::MAX; 6]);
}
