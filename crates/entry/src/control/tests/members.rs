//! Membership, planned stops and configurations of several entries.

use std::time::Duration;

use coltsfootshunt_core::answer::{Answer, Refusal};
use coltsfootshunt_testkit::cases;

use super::simulation::{How, World};
use crate::control::Route;
use crate::drain::Exit;

fn run_out(world: &mut World) {
    for _ in 0..400 {
        while !world.running.is_empty() {
            world.end(0, How::Output);
        }
        while !world.mail.is_empty() {
            world.deliver(0, false);
        }
        world.pass(Duration::from_millis(50));
    }
}

/// A planned stop finishes accepted jobs, and a peer answers for them afterwards.
fn stop_hands_over(entries: usize, jobs: usize) {
    let mut world = World::new(entries);
    for _ in 0..jobs {
        world.submit(0, "once", 3, 30_000).expect("the entry is ready");
    }
    world.stop(0);
    run_out(&mut world);
    assert_eq!(world.entries[0].exit, Some(Exit::Clean));
    let complete = |world: &World| world.outcomes.get("complete").copied().unwrap_or_default();
    assert_eq!(complete(&world), jobs);
    for which in 0..jobs {
        world.repeat(which, 1);
    }
    // The successor, which is the peer with the lowest incarnation, returns the same answers.
    assert_eq!(complete(&world), 2 * jobs);
}

cases! { stop_hands_over:
    idle(2, 0);
    one_job(2, 1);
    many_jobs(2, 20);
    among_three(3, 5);
}

/// After a pause, no task starts until the view of the peers is up to date. An entry without peers
/// resumes after a timeout.
fn freeze_holds_starts(entries: usize) {
    let mut world = World::new(entries);
    world.entries[0].frozen = true;
    world.pass(Duration::from_secs(3));
    world.entries[0].frozen = false;
    world.submit(0, "plain", 1, 30_000);
    assert!(world.running.is_empty(), "no start with an old view");
    for _ in 0..20 {
        while !world.mail.is_empty() {
            world.deliver(0, false);
        }
        world.pass(Duration::from_millis(100));
    }
    assert_eq!(world.running.len(), 1, "the start follows");
}

cases! { freeze_holds_starts:
    alone(1);
    with_peers(3);
}

/// A newer configuration reaches every entry through a peer that has it; an older one changes
/// nothing.
fn configuration_spreads(offers: &[(usize, u64)], revision: u64) {
    let mut world = World::new(3);
    for (entry, revision) in offers {
        world.configure(*entry, *revision);
    }
    world.settle_mail();
    for entry in &world.entries {
        let state = entry.state.as_ref().expect("it lives");
        assert_eq!(state.config.revision().0, revision);
    }
}

cases! { configuration_spreads:
    nothing_new(&[], 1);
    from_one(&[(1, 7)], 7);
    older_after_newer(&[(1, 7), (1, 3)], 7);
    rivals(&[(0, 8), (2, 9)], 9);
}

/// The successor answers for every identifier of a stopped entry, used or not.
#[test]
fn unused_identifier_of_a_stopped_entry_is_retired() {
    let mut world = World::new(2);
    let id = world.submit(0, "plain", 1, 5_000).expect("the entry is ready");
    world.stop(0);
    run_out(&mut world);
    let state = world.entries[1].state.as_ref().expect("it lives");
    let legacy = state.registry.inheritance(id.owner).expect("it holds the records");
    assert!(matches!(legacy.answer(id.sequence), Answer::Complete { .. }));
    let never = legacy.answer(id.sequence + 1);
    assert!(matches!(never, Answer::NotRun { refusal: Refusal::NeverIssued }));
}

/// When entries stop one after the other, the last one has the answers of all.
#[test]
fn rolling_stop_loses_no_answer() {
    let mut world = World::new(3);
    for entry in 0..2 {
        world.submit(entry, "once", 2, 30_000).expect("the entry is ready");
    }
    for entry in 0..2 {
        world.stop(entry);
        run_out(&mut world);
        assert_eq!(world.entries[entry].exit, Some(Exit::Clean));
    }
    for which in 0..2 {
        world.repeat(which, 2);
    }
    assert_eq!(world.outcomes.get("complete"), Some(&4), "{:?}", world.outcomes);
}

/// A planned stop also finishes accepted tasks that still wait for slots.
fn stop_finishes_waiting_work(entries: usize) {
    let mut world = World::new(entries);
    world.submit(0, "once", 40, 30_000).expect("the entry is ready");
    world.stop(0);
    // No attempt ends before new jobs are refused.
    world.pass(Duration::from_millis(300));
    run_out(&mut world);
    assert_eq!(world.outcomes.get("complete"), Some(&1), "{:?}", world.outcomes);
    assert_eq!(world.entries[0].exit, Some(Exit::Clean));
}

cases! { stop_finishes_waiting_work:
    alone(1);
    with_a_peer(2);
}

/// Advances time while every call between the entries is refused, although all entries run.
fn refuse_all(world: &mut World, time: Duration) {
    for _ in 0..time.as_millis() / 50 {
        while !world.running.is_empty() {
            world.end(0, How::Output);
        }
        while !world.mail.is_empty() {
            world.refuse(0);
        }
        world.pass(Duration::from_millis(50));
    }
}

/// A refused connection does not prove that the peer has ended: a stopping entry still hands its
/// records to a peer that refused connections for a while.
fn stop_hands_over_after_a_cut(refused: Duration) {
    let mut world = World::new(2);
    for _ in 0..3 {
        world.submit(0, "once", 2, 30_000).expect("the entry is ready");
    }
    world.stop(0);
    refuse_all(&mut world, refused);
    run_out(&mut world);
    assert_eq!(world.entries[0].exit, Some(Exit::Clean));
    for which in 0..3 {
        world.repeat(which, 1);
    }
    assert_eq!(world.outcomes.get("complete"), Some(&6), "{:?}", world.outcomes);
}

cases! { stop_hands_over_after_a_cut:
    of_a_moment(Duration::from_millis(500));
    of_some_seconds(Duration::from_secs(2));
}

/// A planned stop waits no longer for a peer that refuses connections than for one that does not
/// respond.
#[test]
fn a_stop_ends_where_no_peer_comes_back() {
    let mut world = World::new(2);
    world.submit(0, "once", 2, 30_000).expect("the entry is ready");
    world.stop(0);
    refuse_all(&mut world, Duration::from_millis(4_000));
    assert_eq!(world.entries[0].exit, Some(Exit::Clean));
}

/// An entry does not report a job as not run while its owner refuses connections. The outcome is
/// unknown until the owner is known again.
#[test]
fn an_owner_that_refuses_is_not_taken_for_one_that_never_ran_it() {
    let mut world = World::new(2);
    world.submit(0, "once", 2, 30_000).expect("the entry is ready");
    refuse_all(&mut world, Duration::from_secs(1));
    world.repeat(0, 1);
    assert_eq!(world.outcomes.get("unknown"), Some(&1), "{:?}", world.outcomes);
    assert_eq!(world.outcomes.get("not_run"), None, "{:?}", world.outcomes);
    run_out(&mut world);
    let snapshot = world.entries[1].state.as_ref().expect("it lives").snapshot();
    let owner = world.entries[0].incarnation;
    assert!(matches!(snapshot.route(owner), Route::Peer(_)), "it is known again");
}
