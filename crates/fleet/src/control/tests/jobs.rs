//! Outcomes of jobs, without faults and with one fault each.

use coltsfootshunt_testkit::cases;

use super::simulation::Simulation;
use crate::job::{Outcome, Refusal};

/// A simulation in which the hosts have found each other and claimed their targets.
pub(super) fn converged(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed);
    sim.run_for(2_000);
    sim
}

fn responds(width: u32, cpu: u64, run_ms: u64, expected: Outcome) {
    let mut sim = converged(1);
    let id = sim.submit(width, cpu, run_ms);
    sim.run_for(2_000);
    assert_eq!(sim.outcomes(&id), [Some(expected)]);
    assert_eq!(sim.violations, Vec::<String>::new());
}

cases! { responds:
    a_job_of_one_task(1, 14_000, 100, Outcome::Completed);
    a_job_of_many_tasks(8, 14_000, 50, Outcome::Completed);
    a_job_wider_than_all_targets(20, 14_000, 100, Outcome::Completed);
    a_job_that_fits_no_target(1, 40_000, 100, Outcome::Failed);
    a_job_that_can_not_end_in_time(1, 14_000, 9_000, Outcome::Refused {
        refusal: Refusal::Infeasible,
        retry_after: std::time::Duration::from_secs(1),
    });
}

fn completes(fault: fn(&mut Simulation), min_share: f64) {
    let mut sim = converged(2);
    let mut completed = 0;
    for round in 0..60 {
        if round == 10 {
            fault(&mut sim);
        }
        sim.submit(2, 14_000, 80);
        sim.run_for(100);
    }
    sim.run_for(6_000);
    for (_, outcomes) in sim.all_outcomes() {
        completed += usize::from(outcomes.contains(&Some(Outcome::Completed)));
    }
    assert!(completed as f64 >= min_share * 60.0, "{completed} of 60");
    assert_eq!(sim.violations, Vec::<String>::new());
}

cases! { completes:
    without_faults(|_| {}, 1.0);
    after_a_planned_stop(|sim| sim.stop(0), 1.0);
    after_planned_stops_of_a_zone(|sim| { sim.stop(0); sim.stop(1); }, 1.0);
    after_a_killed_host(|sim| sim.kill(0), 0.9);
    after_a_frozen_host(|sim| sim.freeze(0, 3_000), 0.8);
    after_a_crashed_target(|sim| sim.crash(0), 0.95);
    after_a_partition_of_zones(|sim| {
        for (one, other) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
            sim.set_partition(one, other, true);
        }
    }, 0.9);
}
