//! Task starts, retries and the outcomes of jobs.

use std::time::Duration;

use coltsfootshunt_testkit::cases;

use super::fixture::{SLOTS, TARGETS};
use super::simulation::{AttemptResult, Simulation};

const ALL_SLOTS: usize = TARGETS * SLOTS as usize;

/// A job submitted at one of several entries uses the slots of all of them.
fn job_uses_all_slots_of_the_zone(entries: usize, tasks: usize, expected_running: usize) {
    let mut simulation = Simulation::new(entries);
    simulation.submit(0, "plain", tasks, 60_000);
    for _ in 0..4 {
        while !simulation.calls.is_empty() {
            simulation.deliver(0, false);
        }
        simulation.advance_time(Duration::from_millis(60));
    }
    assert_eq!(simulation.running.len(), expected_running);
}

cases! { job_uses_all_slots_of_the_zone:
    small_job_alone(1, 2, 2);
    large_job_alone(1, 20, ALL_SLOTS);
    small_job_of_two(2, 2, 2);
    large_job_of_two(2, 20, ALL_SLOTS);
    large_job_of_three(3, 20, ALL_SLOTS);
}

/// A job has this outcome if its attempts end in this way, one after the other.
fn job_has_outcome(tasks: usize, results: &[AttemptResult], outcome: &str) {
    let mut simulation = Simulation::new(1);
    let id = simulation.submit(0, "plain", tasks, 60_000).expect("the entry is ready");
    for result in results {
        if !simulation.running.is_empty() {
            simulation.end(0, *result);
        }
    }
    assert_eq!(simulation.outcomes.keys().collect::<Vec<_>>(), [outcome], "{id}");
}

cases! { job_has_outcome:
    all_run(2, &[AttemptResult::Output, AttemptResult::Output], "complete");
    one_fails(2, &[AttemptResult::Error, AttemptResult::Output], "failed");
    one_is_lost(1, &[AttemptResult::Lost], "failed");
    refused_then_run(1, &[AttemptResult::Busy, AttemptResult::Output], "complete");
    unreachable_then_run(1, &[AttemptResult::Unreachable, AttemptResult::Output], "complete");
}

/// If all targets refuse a task, retries stop at the budget and the job is reported as not run.
fn refusals_end_with_not_run(result: AttemptResult) {
    let mut simulation = Simulation::new(1);
    simulation.submit(0, "plain", 1, 1_000_000);
    let mut attempts = 0;
    while !simulation.running.is_empty() {
        simulation.end(0, result);
        attempts += 1;
        assert!(attempts < 200, "retries are bounded");
    }
    if simulation.outcomes.is_empty() {
        simulation.advance_time(Duration::from_millis(1_000_001));
    }
    assert_eq!(simulation.outcomes.keys().collect::<Vec<_>>(), ["not_run"]);
}

cases! { refusals_end_with_not_run:
    busy(AttemptResult::Busy);
    unreachable(AttemptResult::Unreachable);
    leaving(AttemptResult::Leaving);
}
