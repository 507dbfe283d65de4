//! Callers that send their jobs again at once, to any host, while runs of the first request are still being
//! stopped.

use coltsfootshunt_testkit::cases;

use super::jobs::converged;
use super::simulation::Simulation;

/// Submits jobs whose runs take about as long as their callers wait, so that many are answered as unknown while
/// their runs go on.
fn submit_slow_jobs(sim: &mut Simulation, jobs: usize) {
    for _ in 0..jobs {
        let run_ms = 1_300 + sim.random_below(700) as u64;
        let id = sim.submit(2, 9_000, 400);
        sim.set_run_ms(&id, run_ms);
        sim.run_for(60);
    }
}

/// Guards against two runs of a task at once: the caller's repeat reaches another host, which knows nothing of the
/// runs that the first one is stopping.
fn repeat_runs_nothing_twice(delay_ms: u64, fault: fn(&mut Simulation)) {
    for seed in 1..=16 {
        let mut sim = converged(seed);
        sim.retry_delay_ms = delay_ms;
        submit_slow_jobs(&mut sim, 20);
        fault(&mut sim);
        submit_slow_jobs(&mut sim, 20);
        sim.run_for(8_000);
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
    }
}

cases! { repeat_runs_nothing_twice:
    at_once(0, |_| {});
    after_5_ms(5, |_| {});
    after_50_ms(50, |_| {});
    after_300_ms(300, |_| {});
    after_targets_crash(50, |sim| { sim.crash(0); sim.crash(4); });
    after_planned_stops(50, |sim| { sim.stop(0); sim.stop(2); });
    after_a_host_was_killed(50, |sim| sim.kill(0));
}
