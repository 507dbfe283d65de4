//! Jobs of legal size that together hold more tasks than a host has memory for.

use std::sync::Arc;
use std::time::Duration;

use coltsfootshunt_core::name::Kind;

use super::simulation::ManualClock;
use super::startup::host_without_peers;
use crate::control::{Action, Event, Request, Response, State};
use crate::job::{Id, Outcome, Patience, Plan, Refusal, RequestId, Requirements, Step, Submission};

/// Number of tasks of each job, the most that a job may have.
const WIDTH: u32 = 1_000;
/// Number of jobs of that size that a host keeps open.
const MAX_JOBS: usize = 20;

/// Submits a job of the largest width. Returns how it was refused, if it was.
fn submit(state: &mut State, number: usize) -> Option<Refusal> {
    let step = Step { count: WIDTH, requirements: Requirements::default(), after: Vec::new() };
    let submission = Submission {
        id: Id::try_from(format!("{number:016x}")).unwrap(),
        kind: Kind::try_from("cut").unwrap(),
        plan: Arc::new(Plan::new("work".into(), vec![step]).unwrap()),
        patience: Patience::from(Duration::from_millis(1_500)),
    };
    state.handle(Event::Request(RequestId(number as u64), Request::Submit(submission)));
    state.advance().into_iter().find_map(|action| match action {
        Action::Respond(_, Response::Outcome(Outcome::Refused { refusal, .. })) => Some(refusal),
        _ => None,
    })
}

/// Guards against a host that runs out of memory under wide jobs: only their number was limited.
#[test]
fn open_tasks_are_limited() {
    let mut state = host_without_peers(&Arc::new(ManualClock::new()));
    let refusals: Vec<_> = (0..2 * MAX_JOBS).map(|number| submit(&mut state, number)).collect();
    assert_eq!(refusals[..MAX_JOBS], vec![None; MAX_JOBS]);
    assert_eq!(refusals[MAX_JOBS..], vec![Some(Refusal::Full); MAX_JOBS]);
}
