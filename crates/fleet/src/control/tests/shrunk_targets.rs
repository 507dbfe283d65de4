//! Targets whose capacity shrinks and grows while they run.

use coltsfootshunt_testkit::cases;

use super::jobs::converged;
use super::simulation::Simulation;

/// CPU of a target before and after it has shrunk, in thousandths of a core: three tasks and one.
const CPU: u64 = 32_000;
const SHRUNK_CPU: u64 = 10_000;
/// CPU of one task.
const TASK_CPU: u64 = 9_000;

/// Submits work for a time, more than the targets can run once they have shrunk.
fn submit_for(sim: &mut Simulation, rounds: usize) {
    for _ in 0..rounds {
        let run_ms = 100 + sim.random_below(300) as u64;
        sim.submit(2, TASK_CPU, run_ms);
        sim.run_for(40);
    }
}

fn set_capacities(sim: &mut Simulation, cpu_millis: u64) {
    for target in 0..sim.targets.len() {
        sim.set_capacity(target, cpu_millis);
    }
}

/// Guards against starts by the capacity that a target had before it shrank.
fn starts_nothing_over_a_shrunk_capacity(fault: fn(&mut Simulation)) {
    for seed in 1..=8 {
        let mut sim = converged(seed);
        submit_for(&mut sim, 40);
        assert!(sim.take_peak_use() > SHRUNK_CPU, "seed {seed}");
        set_capacities(&mut sim, SHRUNK_CPU);
        fault(&mut sim);
        submit_for(&mut sim, 100);
        set_capacities(&mut sim, CPU);
        sim.run_for(1_000);
        sim.take_peak_use();
        submit_for(&mut sim, 100);
        assert!(sim.take_peak_use() > SHRUNK_CPU, "seed {seed}: a grown target is not used");
        sim.run_for(5_000);
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Restarts all hosts that are down.
fn restart(sim: &mut Simulation) {
    for host in 0..sim.host_count() {
        if !sim.is_up(host) {
            sim.start(host);
        }
    }
}

cases! { starts_nothing_over_a_shrunk_capacity:
    under_what_runs(|_| {});
    when_other_stewards_take_over(|sim| {
        sim.kill(0);
        sim.kill(2);
        submit_for(sim, 60);
        restart(sim);
    });
    when_all_stewards_stop_as_planned(|sim| { sim.stop(0); sim.stop(1); submit_for(sim, 60); restart(sim); });
    when_hosts_freeze(|sim| (0..3).for_each(|host| sim.freeze(host, 600)));
    when_it_restarts(|sim| (0..6).for_each(|target| sim.crash(target)));
    while_it_shrinks_and_grows_again_and_again(|sim| {
        for _ in 0..10 {
            submit_for(sim, 5);
            set_capacities(sim, CPU);
            submit_for(sim, 5);
            set_capacities(sim, SHRUNK_CPU);
        }
    });
    while_the_store_turns_its_steward_away(|sim| {
        (0..2).for_each(|host| sim.set_store_lost(host, true));
        submit_for(sim, 60);
        (0..2).for_each(|host| sim.set_store_lost(host, false));
    });
}

/// As above, but the store turns the stewards away before their targets shrink.
#[test]
fn starts_nothing_over_a_capacity_that_only_other_hosts_can_read() {
    for seed in 1..=8 {
        let mut sim = converged(seed);
        submit_for(&mut sim, 40);
        (0..2).for_each(|host| sim.set_store_lost(host, true));
        submit_for(&mut sim, 20);
        set_capacities(&mut sim, SHRUNK_CPU);
        submit_for(&mut sim, 100);
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
    }
}
