//! Membership, planned stops and configurations of several entries.

use std::time::Duration;

use coltsfootshunt_core::answer::{Answer, Refusal};
use coltsfootshunt_testkit::cases;

use super::fixture::address_of;
use super::simulation::{AttemptResult, InFlightCall, Simulation};
use crate::control::Route;
use crate::drain::Exit;
use crate::peer::Call;

/// Delivers all calls and completes all attempts for 20 seconds.
fn run_to_completion(simulation: &mut Simulation) {
    for _ in 0..400 {
        while !simulation.running.is_empty() {
            simulation.end(0, AttemptResult::Output);
        }
        while !simulation.calls.is_empty() {
            simulation.deliver(0, false);
        }
        simulation.advance_time(Duration::from_millis(50));
    }
}

/// A planned stop finishes accepted jobs, and a peer answers for them afterwards.
fn stop_hands_records_over(entries: usize, jobs: usize) {
    let mut simulation = Simulation::new(entries);
    for _ in 0..jobs {
        simulation.submit(0, "once", 3, 30_000).expect("the entry is ready");
    }
    simulation.stop(0);
    run_to_completion(&mut simulation);
    assert_eq!(simulation.entries[0].exit, Some(Exit::Clean));
    let complete =
        |simulation: &Simulation| simulation.outcomes.get("complete").copied().unwrap_or_default();
    assert_eq!(complete(&simulation), jobs);
    for index in 0..jobs {
        simulation.resubmit(index, 1);
    }
    // The successor, which is the peer with the lowest incarnation, returns the same answers.
    assert_eq!(complete(&simulation), 2 * jobs);
}

cases! { stop_hands_records_over:
    idle(2, 0);
    one_job(2, 1);
    many_jobs(2, 20);
    three_entries(3, 5);
}

/// After a pause, no task starts until the view of the peers is up to date. An entry without peers
/// resumes after a timeout.
fn pause_suspends_starts(entries: usize) {
    let mut simulation = Simulation::new(entries);
    simulation.entries[0].is_paused = true;
    simulation.advance_time(Duration::from_secs(3));
    simulation.entries[0].is_paused = false;
    simulation.submit(0, "plain", 1, 30_000);
    assert!(simulation.running.is_empty(), "no task starts while starts are suspended");
    for _ in 0..20 {
        while !simulation.calls.is_empty() {
            simulation.deliver(0, false);
        }
        simulation.advance_time(Duration::from_millis(100));
    }
    assert_eq!(simulation.running.len(), 1, "the task starts after the suspension");
}

cases! { pause_suspends_starts:
    alone(1);
    with_peers(3);
}

/// A newer configuration reaches every entry through a peer that has it; an older one changes
/// nothing.
fn newest_configuration_reaches_every_entry(received: &[(usize, u64)], revision: u64) {
    let mut simulation = Simulation::new(3);
    for (entry, revision) in received {
        simulation.configure(*entry, *revision);
    }
    simulation.deliver_all();
    for entry in &simulation.entries {
        let state = entry.state.as_ref().expect("the entry is running");
        assert_eq!(state.config.revision().0, revision);
    }
}

cases! { newest_configuration_reaches_every_entry:
    nothing_new(&[], 1);
    from_one(&[(1, 7)], 7);
    older_after_newer(&[(1, 7), (1, 3)], 7);
    two_newer_revisions(&[(0, 8), (2, 9)], 9);
}

/// The successor answers for every identifier of a stopped entry, used or not.
#[test]
fn successor_answers_for_unused_identifiers() {
    let mut simulation = Simulation::new(2);
    let id = simulation.submit(0, "plain", 1, 5_000).expect("the entry is ready");
    simulation.stop(0);
    run_to_completion(&mut simulation);
    let state = simulation.entries[1].state.as_ref().expect("the entry is running");
    let inheritance = state.registry.inheritance(id.owner).expect("the successor has the records");
    assert!(matches!(inheritance.answer(id.sequence), Answer::Complete { .. }));
    let unused = inheritance.answer(id.sequence + 1);
    assert!(matches!(unused, Answer::NotRun { refusal: Refusal::NeverIssued }));
}

/// When entries stop one after the other, the last one has the answers of all.
#[test]
fn rolling_stop_keeps_all_answers() {
    let mut simulation = Simulation::new(3);
    for entry in 0..2 {
        simulation.submit(entry, "once", 2, 30_000).expect("the entry is ready");
    }
    for entry in 0..2 {
        simulation.stop(entry);
        run_to_completion(&mut simulation);
        assert_eq!(simulation.entries[entry].exit, Some(Exit::Clean));
    }
    for index in 0..2 {
        simulation.resubmit(index, 2);
    }
    assert_eq!(simulation.outcomes.get("complete"), Some(&4), "{:?}", simulation.outcomes);
}

/// A planned stop also finishes accepted tasks that still wait for slots.
fn stop_finishes_queued_tasks(entries: usize) {
    let mut simulation = Simulation::new(entries);
    simulation.submit(0, "once", 40, 30_000).expect("the entry is ready");
    simulation.stop(0);
    // No attempt ends before new jobs are refused.
    simulation.advance_time(Duration::from_millis(300));
    run_to_completion(&mut simulation);
    assert_eq!(simulation.outcomes.get("complete"), Some(&1), "{:?}", simulation.outcomes);
    assert_eq!(simulation.entries[0].exit, Some(Exit::Clean));
}

cases! { stop_finishes_queued_tasks:
    alone(1);
    with_a_peer(2);
}

/// Advances time while every call between the entries is refused, although all entries run.
fn refuse_all_calls(simulation: &mut Simulation, duration: Duration) {
    for _ in 0..duration.as_millis() / 50 {
        while !simulation.running.is_empty() {
            simulation.end(0, AttemptResult::Output);
        }
        while !simulation.calls.is_empty() {
            simulation.refuse(0);
        }
        simulation.advance_time(Duration::from_millis(50));
    }
}

/// A refused connection does not prove that the peer has ended: a stopping entry still hands its
/// records to a peer that refused connections for a while.
fn stop_hands_records_over_after_refused_calls(duration: Duration) {
    let mut simulation = Simulation::new(2);
    for _ in 0..3 {
        simulation.submit(0, "once", 2, 30_000).expect("the entry is ready");
    }
    simulation.stop(0);
    refuse_all_calls(&mut simulation, duration);
    run_to_completion(&mut simulation);
    assert_eq!(simulation.entries[0].exit, Some(Exit::Clean));
    for index in 0..3 {
        simulation.resubmit(index, 1);
    }
    assert_eq!(simulation.outcomes.get("complete"), Some(&6), "{:?}", simulation.outcomes);
}

cases! { stop_hands_records_over_after_refused_calls:
    for_half_a_second(Duration::from_millis(500));
    for_two_seconds(Duration::from_secs(2));
}

/// A planned stop waits no longer for a peer that refuses connections than for one that does not
/// respond.
#[test]
fn stop_ends_if_the_peer_never_accepts_calls() {
    let mut simulation = Simulation::new(2);
    simulation.submit(0, "once", 2, 30_000).expect("the entry is ready");
    simulation.stop(0);
    refuse_all_calls(&mut simulation, Duration::from_millis(4_000));
    assert_eq!(simulation.entries[0].exit, Some(Exit::Clean));
}

/// An entry does not report a job as not run while its owner refuses connections. The outcome is
/// unknown until the owner is known again.
#[test]
fn outcome_is_unknown_while_the_owner_refuses_calls() {
    let mut simulation = Simulation::new(2);
    simulation.submit(0, "once", 2, 30_000).expect("the entry is ready");
    refuse_all_calls(&mut simulation, Duration::from_secs(1));
    simulation.resubmit(0, 1);
    assert_eq!(simulation.outcomes.get("unknown"), Some(&1), "{:?}", simulation.outcomes);
    assert_eq!(simulation.outcomes.get("not_run"), None, "{:?}", simulation.outcomes);
    run_to_completion(&mut simulation);
    let snapshot = simulation.entries[1].state.as_ref().expect("the entry is running").snapshot();
    let owner = simulation.entries[0].incarnation;
    assert!(matches!(snapshot.route(owner), Route::Peer(_)), "the owner is known again");
}

/// Guards against slots that stay lent for ever: the borrower's process is replaced by another one
/// at its address before the lender misses it.
#[test]
fn lender_gets_the_slots_of_a_replaced_borrower_back() {
    let mut simulation = Simulation::new(2);
    let lent = |simulation: &Simulation| {
        let state = simulation.entries[0].state.as_ref().expect("the entry is running");
        state.pool.own_lent()
    };
    simulation.submit(1, "plain", 40, 30_000).expect("the entry is ready");
    while lent(&simulation) == 0 {
        simulation.deliver(0, false);
    }
    simulation.kill(1);
    simulation.deliver_all();
    assert_eq!(lent(&simulation), 0);
}

/// Delivers all calls but those of entry 0's handover, and completes its attempts, until a call of
/// the handover to `successor` is in flight.
fn run_until_handover_to(simulation: &mut Simulation, successor: usize) {
    let is_handover = |call: &InFlightCall| call.from == 0 && matches!(call.call, Call::Inherit(_));
    for _ in 0..400 {
        while let Some(index) = simulation.running.iter().position(|running| running.entry == 0) {
            simulation.end(index, AttemptResult::Output);
        }
        while let Some(index) = simulation.calls.iter().position(|call| !is_handover(call)) {
            simulation.deliver(index, false);
        }
        if simulation.calls.iter().any(|call| call.to == address_of(successor)) {
            return;
        }
        simulation.advance_time(Duration::from_millis(50));
    }
    panic!("the handover to entry {successor} does not begin");
}

/// Guards against records that no successor has: a late response of the first successor counted as
/// one of the second, and a chunk never reached that one.
#[test]
fn late_response_of_the_first_successor_acknowledges_nothing() {
    let mut simulation = Simulation::new(3);
    simulation.submit(1, "once", 1, 30_000).expect("the entry is ready");
    for _ in 0..600 {
        simulation.submit(0, "once", 1, 30_000).expect("the entry is ready");
    }
    simulation.stop(0);
    run_until_handover_to(&mut simulation, 1);
    // The first successor stops too, and the handover begins again with another one.
    simulation.stop(1);
    run_until_handover_to(&mut simulation, 2);
    simulation.deliver(0, false);
    // All other calls of the handover in flight are lost.
    simulation.calls.clear();
    run_to_completion(&mut simulation);
    assert_eq!(simulation.entries[0].exit, Some(Exit::Clean));
    for index in 0..simulation.submissions.len() {
        simulation.resubmit(index, 2);
    }
    assert_eq!(simulation.outcomes.get("unknown"), None, "{:?}", simulation.outcomes);
}
