//! Stewards on which many tasks end at once.
//!
//! Load pattern: 900 starts and ends a second on a steward of 90 targets with a fifth of a core. It worked out its
//! load for each message that reported an end, which takes longer the more tasks wait, and ends were handled later
//! for it.

use std::sync::Arc;

use coltsfootshunt_testkit::cases;

use super::simulation::ManualClock;
use super::startup::{deliver_batch_of_steward, host_without_peers};
use crate::control::{Action, Event};
use crate::job::{Assignment, Completion, Id, Item, Requirements};
use crate::peer::Message;

fn assignment(job: usize) -> Message {
    let item =
        Item { step: 0, index: 0, run: 1, sequence: 1, requirements: Requirements::default() };
    Message::Run(Assignment {
        job: Id::try_from(format!("{job:016x}")).unwrap(),
        generation: 1,
        kind: "cut".try_into().unwrap(),
        service: "mill".try_into().unwrap(),
        priority: 0,
        spec: "work".into(),
        objective_in_ms: 140,
        deadline_in_ms: 1_500,
        width: 1,
        started: false,
        shared: false,
        tasks: vec![item],
        echo: None,
    })
}

fn completed(actions: &[Action]) -> Vec<&Vec<Completion>> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send(_, Message::Completed(completions, _)) => Some(completions),
        _ => None,
    });
    sent.collect()
}

/// The ends that a host learns in one iteration go to their owner in one message, with one load.
fn sends_together_the_ends_of(jobs: usize) {
    let mut state = host_without_peers(&Arc::new(ManualClock::new()));
    // The host is no steward, so the tasks come back at once.
    deliver_batch_of_steward(&mut state, (0..jobs).map(assignment).collect());
    let actions = state.advance();
    let messages = completed(&actions);
    assert_eq!(messages.len(), 1, "{actions:?}");
    assert_eq!(messages[0].len(), jobs);
}

cases! { sends_together_the_ends_of:
    one_job(1);
    many_jobs(50);
}

/// What was to be sent in a session is void when the session ends before.
#[test]
fn ends_are_not_sent_in_a_later_session() {
    let mut state = host_without_peers(&Arc::new(ManualClock::new()));
    deliver_batch_of_steward(&mut state, vec![assignment(1)]);
    let address = crate::member::tests::identity("steward", "b", 250).address;
    state.handle(Event::SessionLost { address, refused: false });
    let actions = state.advance();
    assert_eq!(completed(&actions).len(), 0, "{actions:?}");
}
