//! Cancellations, at any host.

use std::time::Duration;

use coltsfootshunt_testkit::cases;

use super::jobs::converged;
use super::simulation::{Partition, Simulation};
use crate::cancel::Verdict;
use crate::job::{Id, Outcome};

/// Host that owns the jobs, and one of each zone that doesn't.
const OWNER: usize = 0;
const SAME_ZONE: usize = 1;
const OTHER_ZONE: usize = 2;
/// Time after its acknowledgement from which on nothing of a cancelled job may start or run.
const CANCEL_MS: u64 = 3_000;

/// A job whose tasks run for longer than any cancellation takes.
fn long_job(seed: u64) -> (Simulation, Id) {
    let mut sim = converged(seed);
    sim.set_caller_timeout(Duration::from_secs(20));
    sim.direct_callers_to(OWNER);
    let id = sim.submit(4, 9_000, 9_000);
    sim.run_for(500);
    assert_eq!(sim.running(&id), 4);
    (sim, id)
}

/// Guards against a cancellation that is acknowledged by a host that doesn't have the job, which runs on.
fn acknowledged_cancel_ends_the_job(
    through: usize,
    fault: fn(&mut Simulation),
    expected: Option<Verdict>,
) {
    for seed in 1..=8 {
        let (mut sim, id) = long_job(seed);
        fault(&mut sim);
        sim.cancel(&id, through);
        sim.run_for(CANCEL_MS);
        let verdicts = sim.cancel_verdicts(&id);
        let starts = sim.starts_of(&id);
        sim.run_for(4_000);
        if expected.is_some() {
            assert_eq!(verdicts.first().copied(), expected, "seed {seed}");
        }
        if verdicts.iter().any(|verdict| *verdict != Verdict::Unconfirmed) {
            assert_eq!(sim.running(&id), 0, "seed {seed}: {verdicts:?}");
            assert_eq!(sim.starts_of(&id), starts, "seed {seed}: {verdicts:?}");
        }
    }
}

cases! { acknowledged_cancel_ends_the_job:
    through_its_owner(OWNER, |_| {}, Some(Verdict::Cancelled));
    through_a_host_of_its_zone(SAME_ZONE, |_| {}, Some(Verdict::Cancelled));
    through_a_host_of_another_zone(OTHER_ZONE, |_| {}, Some(Verdict::Cancelled));
    while_its_owner_is_cut_off(SAME_ZONE, |sim| cut_off_owner(sim, Partition::Silent), None);
    while_its_owner_is_frozen(SAME_ZONE, |sim| sim.freeze(OWNER, 2_500), None);
    after_its_owner_was_killed(SAME_ZONE, |sim| sim.kill(OWNER), None);
}

/// Cuts the owner off from all other hosts.
fn cut_off_owner(sim: &mut Simulation, partition: Partition) {
    for other in 1..sim.host_count() {
        sim.set_partition_one_way(OWNER, other, Some(partition));
        sim.set_partition_one_way(other, OWNER, Some(partition));
    }
}

/// Guards against a request that arrives again after its job was cancelled and starts all of it anew.
fn repeat_of_a_cancelled_job_starts_nothing(
    cancel_through: usize,
    repeat_at: usize,
    is_done: bool,
) {
    for seed in 1..=8 {
        let (mut sim, id) = long_job(seed);
        let id = if is_done {
            let short = sim.submit(2, 9_000, 50);
            sim.run_for(500);
            assert_eq!(sim.outcomes(&short), [Some(Outcome::Completed)]);
            short
        } else {
            id
        };
        sim.cancel(&id, cancel_through);
        sim.run_for(3_500);
        assert_eq!(sim.cancel_verdicts(&id), [Verdict::Cancelled]);
        let starts = sim.starts_of(&id);
        sim.submit_again(&id, repeat_at);
        sim.run_for(5_000);
        assert_eq!(sim.starts_of(&id), starts, "seed {seed}");
        assert_eq!(sim.outcomes(&id).last(), Some(&Some(Outcome::Cancelled)), "seed {seed}");
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
    }
}

cases! { repeat_of_a_cancelled_job_starts_nothing:
    at_its_owner(OWNER, OWNER, false);
    at_another_host(OWNER, SAME_ZONE, false);
    at_a_host_of_another_zone(OWNER, OTHER_ZONE, false);
    at_its_owner_when_cancelled_elsewhere(OTHER_ZONE, OWNER, false);
    at_its_owner_after_it_was_done(OWNER, OWNER, true);
    at_another_host_after_it_was_done(OWNER, OTHER_ZONE, true);
}

/// Guards against a host that starts a job which was cancelled before that host began.
#[test]
fn repeat_at_a_host_that_restarted_starts_nothing() {
    for seed in 1..=8 {
        let (mut sim, id) = long_job(seed);
        sim.cancel(&id, OWNER);
        sim.run_for(500);
        sim.kill(SAME_ZONE);
        sim.run_for(500);
        sim.start(SAME_ZONE);
        sim.run_for(3_000);
        let starts = sim.starts_of(&id);
        sim.submit_again(&id, SAME_ZONE);
        sim.run_for(3_000);
        assert_eq!(sim.starts_of(&id), starts, "seed {seed}");
    }
}

/// Guards against an acknowledgement that the killed host alone remembers: the messages to the other hosts were
/// still in its outboxes.
fn cancel_outlasts_the_host_that_acknowledged_it(through: usize) {
    for seed in 1..=8 {
        let (mut sim, id) = long_job(seed);
        for other in (0..sim.host_count()).filter(|other| *other != through) {
            sim.set_batch_delay(through, other, 30);
        }
        // The batch with the message on another job is in flight.
        sim.cancel(&Id::try_from("00000000000000ff").unwrap(), through);
        sim.run_for(2);
        sim.cancel(&id, through);
        while sim.cancel_verdicts(&id).is_empty() {
            sim.run_for(1);
        }
        assert_eq!(sim.cancel_verdicts(&id), [Verdict::Cancelled], "seed {seed}");
        sim.kill(through);
        sim.run_for(1_300);
        sim.submit_again(&id, OTHER_ZONE);
        sim.run_for(CANCEL_MS - 1_300);
        let starts = sim.starts_of(&id);
        sim.run_for(4_000);
        assert_eq!(sim.running(&id), 0, "seed {seed}");
        assert_eq!(sim.starts_of(&id), starts, "seed {seed}");
    }
}

cases! { cancel_outlasts_the_host_that_acknowledged_it:
    that_has_the_job(OWNER);
    that_asked_for_it(SAME_ZONE);
}

/// A job that no host has is unknown, and its cancellation is answered so.
#[test]
fn cancel_of_an_unknown_job_is_answered_so() {
    let mut sim = converged(1);
    let id = Id::try_from("00000000000000ff").unwrap();
    sim.cancel(&id, SAME_ZONE);
    sim.run_for(500);
    assert_eq!(sim.cancel_verdicts(&id), [Verdict::Unknown]);
}
