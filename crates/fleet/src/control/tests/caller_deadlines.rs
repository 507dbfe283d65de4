//! Time limits of jobs: the caller's, which the request states, and the route's.

use std::time::Duration;

use coltsfootshunt_testkit::cases;

use super::jobs::converged;
use super::simulation::Simulation;
use crate::job::{Id, Outcome, Task};

/// Timeout of the route.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval between checks for an answer.
const STEP_MS: u64 = 10;

/// Submits a job of one task to the first host. Returns it with its first answer and the time until then.
fn answer(sim: &mut Simulation, declared_ms: u64, run_ms: u64) -> (Id, Outcome, u64) {
    sim.max_sends = 1;
    let id = sim.submit_at(0, 14_000, declared_ms, run_ms);
    let mut after_ms = 0;
    while sim.outcomes(&id).is_empty() {
        sim.run_for(STEP_MS);
        after_ms += STEP_MS;
    }
    let outcome = sim.outcomes(&id)[0].expect("the host answers before the caller leaves");
    (id, outcome, after_ms)
}

/// Guards against answers at the route's timeout while the caller still waits: the shorter of the two
/// limits was applied, and long work that its caller would have waited for was given up.
fn ends(header_ms: Option<u64>, declared_ms: u64, run_ms: u64, expected: Outcome, at_ms: u64) {
    let mut sim = converged(1);
    sim.set_caller_timeout(ROUTE_TIMEOUT);
    sim.caller_timeout = Some(Duration::from_millis(header_ms.unwrap_or(60_000)));
    sim.states_timeout = header_ms.is_some();
    let (id, outcome, after_ms) = answer(&mut sim, declared_ms, run_ms);
    assert_eq!(outcome, expected);
    assert!(after_ms.abs_diff(at_ms) <= 60, "answered after {after_ms} ms");
    let task = Task { job: id, step: 0, index: 0 };
    assert_eq!(sim.starts.get(&task), Some(&1));
    assert_eq!(sim.violations, Vec::<String>::new());
}

cases! { ends:
    after_its_run_within_the_header(Some(4_000), 2_000, 2_000, Outcome::Completed, 2_000);
    after_a_run_that_is_longer_than_declared(Some(4_000), 500, 3_000, Outcome::Completed, 3_000);
    at_the_routes_timeout_without_a_header(None, 1_000, 2_000, Outcome::Unknown, 1_500);
    at_a_header_below_the_routes_timeout(Some(800), 500, 2_000, Outcome::Unknown, 800);
    at_a_header_above_the_routes_timeout(Some(2_500), 1_000, 4_000, Outcome::Unknown, 2_500);
}

/// Guards against callers that get no answer at a planned stop, because the rest of their time is longer
/// than the stop may take.
#[test]
fn jobs_that_outlast_a_planned_stop_are_answered() {
    let mut sim = converged(1);
    sim.caller_timeout = Some(Duration::from_secs(20));
    sim.max_sends = 1;
    let id = sim.submit_at(0, 14_000, 1_000, 15_000);
    sim.run_for(500);
    sim.stop(0);
    sim.run_for(6_000);
    assert_eq!(sim.outcomes(&id), [Some(Outcome::Unknown)]);
    let mut running = sim.targets.values().flat_map(|target| target.running.keys());
    assert!(running.all(|task| task.job != id), "runs of a job whose caller was answered");
    assert_eq!(sim.violations, Vec::<String>::new());
}
