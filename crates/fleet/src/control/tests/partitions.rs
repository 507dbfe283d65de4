//! Partitions between running hosts, and hosts that are killed.

use coltsfootshunt_testkit::cases;

use super::jobs::converged;
use super::simulation::{Partition, Simulation};
use crate::job::{Id, Outcome};

/// Seeds of each test case.
const SEEDS: std::ops::Range<u64> = 1..5;
const JOBS: usize = 120;

/// Paths between the two zones, both ways; hosts 0 and 1 are in zone a, 2 and 3 in zone b.
const BETWEEN_ZONES: &[(usize, usize)] =
    &[(0, 2), (0, 3), (1, 2), (1, 3), (2, 0), (2, 1), (3, 0), (3, 1)];
/// Paths from zone a to zone b.
const ZONE_A_TO_B: &[(usize, usize)] = &[(0, 2), (0, 3), (1, 2), (1, 3)];
/// Paths between the hosts of zone a, both ways.
const WITHIN_ZONE: &[(usize, usize)] = &[(0, 1), (1, 0)];
/// Paths between host 0 and all others, both ways.
const AROUND_HOST_0: &[(usize, usize)] = &[(0, 1), (0, 2), (0, 3), (1, 0), (2, 0), (3, 0)];

/// Fenced calls when a second steward takes a zone and gives it up: two stewards, three targets
/// each.
const FENCED_CALLS_PER_CONTEST: u32 = 6;

/// Submits a job every 100 ms and injects a fault after 1 s. At least `min_share` of the jobs
/// complete at their first attempt, and stewards take zones from each other at most `max_contests`
/// times.
fn completes(fault: impl Fn(&mut Simulation), min_share: f64, max_contests: u32) {
    check_first_outcomes(
        fault,
        |first| *first == Some(Outcome::Completed),
        min_share,
        max_contests,
    );
}

/// As [`completes`], where a refusal counts as well: an isolated host must refuse its jobs.
fn completes_or_refuses(fault: impl Fn(&mut Simulation), min_share: f64, max_contests: u32) {
    let is_success = |first: &Option<Outcome>| {
        matches!(first, Some(Outcome::Completed | Outcome::Refused { .. }))
    };
    check_first_outcomes(fault, is_success, min_share, max_contests);
}

fn check_first_outcomes(
    fault: impl Fn(&mut Simulation),
    is_success: impl Fn(&Option<Outcome>) -> bool,
    min_share: f64,
    max_contests: u32,
) {
    for seed in SEEDS {
        let mut sim = converged(seed);
        for round in 0..JOBS {
            if round == 10 {
                fault(&mut sim);
            }
            sim.submit(2, 14_000, 80);
            sim.run_for(100);
        }
        sim.run_for(6_000);
        let successes = sim.all_outcomes().filter(|(_, outcomes)| is_success(&outcomes[0])).count();
        let fenced_calls = sim.fenced_calls;
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
        let is_enough = successes as f64 >= min_share * JOBS as f64;
        assert!(
            is_enough,
            "seed {seed}: {successes} of {JOBS} succeeded at once, {fenced_calls} fenced calls"
        );
        assert!(
            fenced_calls <= max_contests * FENCED_CALLS_PER_CONTEST,
            "seed {seed}: {fenced_calls} fenced calls"
        );
    }
}

fn partition(paths: &'static [(usize, usize)], partition: Partition) -> impl Fn(&mut Simulation) {
    move |sim| {
        for (from, to) in paths {
            sim.set_partition_one_way(*from, *to, Some(partition));
        }
    }
}

fn kill(hosts: &'static [usize]) -> impl Fn(&mut Simulation) {
    move |sim| hosts.iter().for_each(|host| sim.kill(*host))
}

cases! { completes:
    between_silent_zones(partition(BETWEEN_ZONES, Partition::Silent), 0.99, 0);
    between_silent_zones_one_way(partition(ZONE_A_TO_B, Partition::Silent), 0.99, 0);
    between_refusing_zones(partition(BETWEEN_ZONES, Partition::Refusing), 0.93, 2);
    between_refusing_zones_one_way(partition(ZONE_A_TO_B, Partition::Refusing), 0.93, 2);
    between_silent_hosts_of_a_zone(partition(WITHIN_ZONE, Partition::Silent), 0.93, 2);
    between_refusing_hosts_of_a_zone(partition(WITHIN_ZONE, Partition::Refusing), 0.93, 2);
    between_refusing_hosts_one_way(partition(&WITHIN_ZONE[..1], Partition::Refusing), 0.93, 2);
    between_refusing_hosts_the_other_way(partition(&WITHIN_ZONE[1..], Partition::Refusing), 0.93, 2);
    after_a_whole_zone_was_killed(kill(&[0, 1]), 0.98, 0);
    alone_after_all_others_were_killed(kill(&[0, 1, 2]), 0.95, 0);
}

cases! { completes_or_refuses:
    // The host contests both zones at the start of the partition, and again once it no longer
    // considers itself isolated.
    with_one_silent_host(partition(AROUND_HOST_0, Partition::Silent), 0.93, 4);
    with_one_refusing_host(partition(AROUND_HOST_0, Partition::Refusing), 0.93, 4);
}

/// Starts a long task whose owner and steward are in different zones. Returns the steward, the
/// owner and the job.
fn start_remote_task(sim: &mut Simulation, seed: u64) -> (usize, usize, Id) {
    let steward = sim.stewards("a")[0];
    // The targets of the owner's zone are down at first.
    let owner = 2;
    let up_again_ms = sim.now_ms() + 1_300;
    for target in sim.targets.values_mut().filter(|one| one.entry.zone.to_string() == "b") {
        target.crash(up_again_ms);
    }
    sim.run_for(800);
    let id = sim.submit_at(owner, 9_000, 100, 5_000);
    sim.run_for(100);
    assert_eq!(sim.starts.len(), 1, "seed {seed}");
    (steward, owner, id)
}

/// Guards against a task that runs twice after a partition. The owner's connection to the steward
/// is refused, so it responds to its callers, which retry elsewhere. The steward no longer hears
/// the owner, and loses its targets after `partition_ms`.
fn runs_once_after_retry(reverse_path: Option<Partition>, partition_ms: u64) {
    for seed in SEEDS {
        let mut sim = converged(seed);
        let (steward, owner, id) = start_remote_task(&mut sim, seed);
        sim.set_partition_one_way(owner, steward, Some(Partition::Refusing));
        sim.set_partition_one_way(steward, owner, reverse_path);
        // The next message of the owner detects the partition.
        sim.submit_at(owner, 9_000, 100, 100);
        sim.direct_callers_to(3);
        sim.run_for(partition_ms);
        sim.partition_from_targets(steward);
        sim.run_for(4_000);
        assert!(sim.outcomes(&id).len() > 1, "seed {seed}: no retry");
        assert_eq!(
            sim.violations,
            Vec::<String>::new(),
            "seed {seed}, partition after {partition_ms} ms"
        );
    }
}

cases! { runs_once_after_retry:
    when_the_steward_stops_the_run_in_time(None, 1_200);
    when_the_steward_loses_its_targets_at_once(None, 0);
    when_the_steward_loses_its_targets_a_little_later(None, 400);
    when_the_steward_loses_its_targets_before_it_misses_the_owner(None, 750);
    when_the_steward_detects_the_partition_at_once(Some(Partition::Refusing), 700);
    when_the_steward_loses_its_targets_before_it_loses_the_owner(None, 700);
    when_the_steward_can_not_reach_the_owner(Some(Partition::Silent), 700);
}

/// Guards against a task that runs twice: a caller times out and retries just after the owner of
/// its job was partitioned from the steward, which loses its targets before it loses the owner.
#[test]
fn runs_once_after_caller_timeout() {
    for seed in SEEDS {
        let mut sim = converged(seed);
        let (steward, owner, id) = start_remote_task(&mut sim, seed);
        // The caller times out 1.5 s after its submission.
        sim.run_for(1_380);
        sim.set_partition(owner, steward, true);
        sim.direct_callers_to(3);
        sim.run_for(600);
        sim.partition_from_targets(steward);
        sim.run_for(4_000);
        assert!(sim.outcomes(&id).len() > 1, "seed {seed}: no retry");
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against a task that runs twice: its owner sends it before it handles the loss of the
/// session with the steward, so that it is part of the next session. The owner then gives the job
/// up, and the caller retries elsewhere. `next` is the partition for 2 s after the one that ended
/// the session.
fn runs_once_when_sent_between_two_sessions(next: Option<Partition>) {
    for seed in SEEDS {
        let mut sim = converged(seed);
        let steward = sim.stewards("a")[0];
        let owner = 2;
        let up_again_ms = sim.now_ms() + 1_300;
        for target in sim.targets.values_mut().filter(|one| one.entry.zone.to_string() == "b") {
            target.crash(up_again_ms);
        }
        sim.run_for(800);
        sim.session_loss_delay_ms = 20;
        sim.set_partition_one_way(owner, steward, Some(Partition::Refusing));
        // The next message of the owner detects the partition, which then ends.
        sim.submit_at(owner, 9_000, 100, 100);
        sim.run_for(2);
        sim.delivers_after_partition = true;
        sim.set_partition_one_way(owner, steward, next);
        let id = sim.submit_at(owner, 9_000, 100, 5_000);
        sim.direct_callers_to(3);
        sim.run_for(2_000);
        sim.set_partition_one_way(owner, steward, None);
        sim.run_for(4_000);
        assert!(sim.outcomes(&id).len() > 1, "seed {seed}: no retry");
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
    }
}

cases! { runs_once_when_sent_between_two_sessions:
    and_received_at_once(None);
    and_received_after_a_partition(Some(Partition::Silent));
}

/// Guards against a task that runs twice: it waits at a steward that no longer hears its owner, and
/// starts on a target whose lease the steward has just extended for its own tasks. The owner has
/// responded to its caller, and the steward loses the target before it drops the owner.
fn runs_once_when_started_for_a_silent_owner(silent_ms: u64) {
    for seed in SEEDS {
        let mut sim = converged(seed);
        let steward = sim.stewards("a")[0];
        let other_steward = sim.stewards("b")[0];
        let owner = if other_steward == 2 { 3 } else { 2 };
        let up_again_ms = sim.now_ms() + 1_300;
        for target in sim.targets.values_mut().filter(|one| one.entry.zone.to_string() == "b") {
            target.crash(up_again_ms);
        }
        sim.run_for(800);
        // The steward's own tasks take all of its targets; one of them ends while the owner is silent.
        let first = sim.submit_at(steward, 14_000, 800, 50 + silent_ms);
        let rest: Vec<Id> = (0..5).map(|_| sim.submit_at(steward, 14_000, 800, 5_000)).collect();
        let waiting = sim.submit_at(owner, 9_000, 800, 5_000);
        sim.run_for(40);
        let count_starts =
            |sim: &Simulation, id: &Id| sim.starts.keys().filter(|task| task.job == *id).count();
        let running = rest.iter().chain([&first]).map(|id| count_starts(&sim, id)).sum::<usize>();
        assert_eq!((running, count_starts(&sim, &waiting)), (6, 0), "seed {seed}");
        sim.set_partition_one_way(owner, steward, Some(Partition::Refusing));
        sim.set_partition_one_way(steward, owner, Some(Partition::Silent));
        // The next message of the owner detects the partition.
        sim.submit_at(owner, 9_000, 100, 100);
        sim.direct_callers_to(other_steward);
        sim.run_for(silent_ms + 50);
        sim.partition_from_targets(steward);
        sim.run_for(4_000);
        assert!(sim.outcomes(&waiting).len() > 1, "seed {seed}: no retry");
        assert!(count_starts(&sim, &waiting) > 0, "seed {seed}: the retry did not start");
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}, {silent_ms} ms");
    }
}

cases! { runs_once_when_started_for_a_silent_owner:
    after_300_ms(300);
    after_400_ms(400);
    after_500_ms(500);
}
