//! Owners whose control thread lags behind its events.

use std::sync::Arc;
use std::time::Duration;

use coltsfootshunt_core::clock::Clock;
use coltsfootshunt_testkit::cases;

use super::simulation::ManualClock;
use super::startup::{deliver_batch_of_steward, host_without_peers, submit};
use crate::control::{Action, State};
use crate::member::{Claim, Echo, Heartbeat};
use crate::peer::Message;
use crate::routing::Load;

/// A host that handles the stamp of a steward at 1,000 ms, which came at `came_ms`.
fn host_with_stamp(clock: &Arc<ManualClock>, came_ms: u64) -> State {
    let mut state = host_without_peers(clock);
    let start = clock.now();
    clock.set(1_000);
    state.set_handled_until(start + Duration::from_millis(came_ms));
    let claims = vec![Claim { zone: "b".try_into().unwrap(), token: crate::lease::Token(2) }];
    let load = Load { free_slots: 8, slots: 10, ..Load::default() };
    let heartbeat = Heartbeat { claims, load, stamp_ms: Some(7), ..Heartbeat::default() };
    deliver_batch_of_steward(&mut state, vec![Message::Heartbeat(heartbeat)]);
    state
}

/// Guards against a word that says more than its sender knows: of events that came up to 500 ms before, none that
/// came later has been handled, such as the departure of a caller. The tasks sent at 1,300 ms are a word of the
/// time up to which all events were handled.
fn tasks_are_a_word_of(came_ms: u64, handled_until_ms: u64, held_ms: u64) {
    let clock = Arc::new(ManualClock::new());
    let start = clock.now();
    let mut state = host_with_stamp(&clock, came_ms);
    clock.set(1_300);
    state.set_handled_until(start + Duration::from_millis(handled_until_ms));
    let actions = submit(&mut state);
    let echo = actions.iter().find_map(|action| match action {
        Action::Send(_, Message::Run(assignment)) => assignment.echo,
        _ => None,
    });
    assert_eq!(echo, Some(Echo { stamp_ms: 7, held_ms }));
    let me = state.membership.me().host.clone();
    let word = state.membership.last_word(&me, clock.now());
    assert_eq!(word, Some(start + Duration::from_millis(handled_until_ms.min(1_300))));
}

cases! { tasks_are_a_word_of:
    now_if_all_events_are_handled(1_000, 1_300, 300);
    the_last_handled_event(1_000, 1_100, 100);
    the_stamp_if_nothing_came_since(1_000, 1_000, 0);
    a_stamp_that_waited_too(600, 900, 300);
    now_at_the_latest(1_000, 2_000, 300);
}
