//! Restarts of a host, whose earlier process may have sent messages that arrive late.

use std::sync::Arc;

use super::simulation::ManualClock;
use super::startup::{deliver_steward_session, host_without_peers, submit};
use crate::control::{Action, Response};
use crate::job::{Outcome, RequestId};

/// Guards against jobs that are given up although their steward has them: a late batch of the
/// steward's ended process counted as a restart.
#[test]
fn late_batch_of_an_ended_steward_gives_up_no_jobs() {
    let mut state = host_without_peers(&Arc::new(ManualClock::new()));
    deliver_steward_session(&mut state, 1, 1);
    deliver_steward_session(&mut state, 2, 1);
    submit(&mut state);
    deliver_steward_session(&mut state, 1, 2);
    let given_up = |action: &Action| {
        matches!(action, Action::Respond(RequestId(2), Response::Outcome(Outcome::Unknown)))
    };
    let actions = state.advance();
    assert!(!actions.iter().any(given_up), "{actions:?}");
}
