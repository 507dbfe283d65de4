//! Tasks that crash each target that starts them, and tasks that only seem to.

use std::time::Duration;

use coltsfootshunt_testkit::cases;

use super::jobs::converged;
use super::simulation::{Partition, Simulation};
use crate::job::{Id, Outcome, Task};

/// Time for which callers wait that see the end of a job whose targets restart after some seconds.
const LONG_TIMEOUT: Duration = Duration::from_secs(12);
/// Time from the start of a poison task until its target crashes, in milliseconds.
const CRASH_AFTER_MS: u64 = 20;

fn task(job: &Id, index: u32) -> Task {
    Task { job: job.clone(), step: 0, index }
}

/// A simulation whose callers wait long and whose first job has a poison task. With every second seed, targets
/// are back under another name after a crash.
fn with_poison_job(seed: u64, width: u32, crash_after_ms: u64) -> (Simulation, Id) {
    let mut sim = converged(seed);
    sim.set_caller_timeout(LONG_TIMEOUT);
    sim.max_sends = 5;
    if seed.is_multiple_of(2) {
        sim.rename_crashed_targets();
    }
    let id = sim.submit(width, 9_000, 100);
    sim.make_poison(task(&id, 0), crash_after_ms);
    (sim, id)
}

/// Guards against a task that crashes one target after the other: its lost runs counted like those of a
/// target that is gone, and it started again elsewhere.
fn poison_task_crashes_few_targets(width: u32, crash_after_ms: u64, fault: fn(&mut Simulation)) {
    for seed in 1..=8 {
        let (mut sim, id) = with_poison_job(seed, width, crash_after_ms);
        sim.run_for(1_700);
        fault(&mut sim);
        sim.run_for(40_000);
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
        assert!(sim.crashes_under(&task(&id, 0)) > 0, "seed {seed}");
        assert_eq!(sim.outcomes(&id).last(), Some(&Some(Outcome::Failed)), "seed {seed}");
    }
}

cases! { poison_task_crashes_few_targets:
    of_a_job_of_one_task(1, CRASH_AFTER_MS, |_| {});
    of_a_job_of_several_tasks(4, CRASH_AFTER_MS, |_| {});
    before_they_respond(1, 0, |_| {});
    while_all_hosts_are_killed_in_turn(2, CRASH_AFTER_MS, |sim| {
        for host in 0..sim.host_count() {
            sim.kill(host);
            sim.run_for(1_500);
            sim.start(host);
            sim.run_for(1_500);
        }
    });
    while_a_host_is_killed(2, CRASH_AFTER_MS, |sim| sim.kill(0));
    while_another_host_is_killed(2, CRASH_AFTER_MS, |sim| sim.kill(1));
    while_hosts_stop_as_planned(2, CRASH_AFTER_MS, |sim| { sim.stop(0); sim.stop(1); });
    while_a_host_is_frozen(2, CRASH_AFTER_MS, |sim| sim.freeze(0, 3_000));
}

/// Guards against a count of crashes that ends with a job's answer: the caller sends the job again, to any
/// host.
fn poison_task_of_a_repeated_job_crashes_few_targets(crash_after_ms: u64) {
    for seed in 1..=8 {
        let mut sim = converged(seed);
        sim.max_sends = 10;
        if seed.is_multiple_of(2) {
            sim.rename_crashed_targets();
        }
        let id = sim.submit(2, 9_000, 100);
        sim.make_poison(task(&id, 1), crash_after_ms);
        sim.run_for(40_000);
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(sim.outcomes(&id).last(), Some(&Some(Outcome::Failed)), "seed {seed}");
    }
}

cases! { poison_task_of_a_repeated_job_crashes_few_targets:
    after_they_respond(CRASH_AFTER_MS);
    before_they_respond(0);
}

/// Guards against a healthy job that fails because its tasks ran beside poison ones: a crash doesn't show
/// which of the target's tasks did it.
#[test]
fn neighbours_of_poison_tasks_complete() {
    let mut lost = 0;
    for seed in 1..=8 {
        let mut sim = converged(seed);
        sim.set_caller_timeout(LONG_TIMEOUT);
        let mut healthy = Vec::new();
        for round in 0..30 {
            let id = sim.submit(2, 9_000, 300);
            if round % 10 == 5 {
                sim.make_poison(task(&id, 0), CRASH_AFTER_MS);
            } else {
                healthy.push(id);
            }
            sim.run_for(150);
        }
        sim.run_for(40_000);
        lost += sim.lost_neighbours();
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
        for id in healthy {
            let outcomes = sim.outcomes(&id);
            assert!(!outcomes.contains(&Some(Outcome::Failed)), "seed {seed}, {id}: {outcomes:?}");
        }
    }
    assert!(lost > 0, "no task ran beside a poison one");
}

/// Guards against a job that fails although its task is healthy: the targets under it were only out of
/// reach, or crashed for another reason.
fn healthy_task_does_not_fail(fault: fn(&mut Simulation)) {
    for seed in 1..=8 {
        let mut sim = converged(seed);
        sim.set_caller_timeout(LONG_TIMEOUT);
        let id = sim.submit(1, 9_000, 3_000);
        for _ in 0..2 {
            sim.run_for(400);
            fault(&mut sim);
            sim.run_for(1_400);
        }
        sim.run_for(40_000);
        let outcomes = sim.outcomes(&id);
        assert!(!outcomes.contains(&Some(Outcome::Failed)), "seed {seed}: {outcomes:?}");
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Cuts all targets off from all hosts for longer than a lease.
fn cut_off_targets(sim: &mut Simulation) {
    let pairs =
        (0..sim.host_count()).flat_map(|host| (0..sim.targets.len()).map(move |one| (host, one)));
    let pairs: Vec<_> = pairs.collect();
    for (host, target) in &pairs {
        sim.set_target_partition(*host, *target, Some(Partition::Silent));
    }
    sim.run_for(1_300);
    for (host, target) in pairs {
        sim.set_target_partition(host, target, None);
    }
}

cases! { healthy_task_does_not_fail:
    on_targets_that_crash(|sim| (0..6).for_each(|target| sim.crash(target)));
    on_targets_that_are_cut_off(cut_off_targets);
}
