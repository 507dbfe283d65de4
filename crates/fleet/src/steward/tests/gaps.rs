//! Targets held for large tasks in a dense zone.

use super::*;

const RUN_MS: u64 = 200;

/// What differs between the cases.
#[derive(Clone, Copy)]
struct Setup {
    is_dense: bool,
    targets: usize,
    waited_ms: u64,
    /// Time from the arrival of the large task to its objective.
    objective_in_ms: i64,
    small_run_ms: u64,
}

/// The large task needs a whole target, has waited for over 25 ms, and there are 64 targets.
const SETUP: Setup =
    Setup { is_dense: true, targets: 64, waited_ms: 30, objective_in_ms: 1_000, small_run_ms: 400 };

fn sized(job: u32, cpu_millis: u64, run_ms: u64) -> Assignment {
    let mut sized = assignment(job, 1);
    sized.objective_in_ms = 1_200;
    sized.tasks[0].requirements.resources.cpu_millis = cpu_millis;
    sized.tasks[0].requirements.estimate_ms = run_ms;
    sized
}

/// All targets are full with two runs each. A large task waits, a smaller one arrives, and half of one target
/// becomes free.
fn starts_small(setup: Setup, wanted: usize) {
    let mut bench = Bench::new(setup.targets);
    bench.steward.precedence_mut().set_dense(setup.is_dense);
    for job in 0..2 * setup.targets as u32 {
        bench.enqueue_assignment(sized(job, 14_000, RUN_MS), "owner");
    }
    assert_eq!(count_starts(&bench.dispatch()), 2 * setup.targets);
    let mut large = sized(1_000, 28_000, 50);
    (large.started, large.objective_in_ms) = (true, setup.objective_in_ms);
    bench.enqueue_assignment(large, "owner");
    bench.now += Duration::from_millis(setup.waited_ms);
    bench.enqueue_assignment(sized(1_001, 14_000, setup.small_run_ms), "owner");
    bench.complete_on("t0");
    let started: Vec<_> = bench.dispatch().calls.iter().filter_map(started_task).collect();
    assert_eq!(started.len(), wanted, "{started:?}");
    assert_eq!(bench.steward.queued(), 2 - wanted);
}

// Guards against rooms that smaller tasks take part by part, and against targets held where that helps no one.
cases! { starts_small:
    not_where_a_large_task_has_waited(SETUP, 0);
    if_it_ends_before_the_room_is_complete(Setup { small_run_ms: 100, ..SETUP }, 1);
    outside_of_dense_zones(Setup { is_dense: false, ..SETUP }, 1);
    while_the_large_task_has_not_waited_for_long(Setup { waited_ms: 20, ..SETUP }, 1);
    where_too_few_targets_allow_none_to_be_held(Setup { targets: 63, ..SETUP }, 1);
    where_the_large_task_would_be_late_anyway(Setup { objective_in_ms: 240, ..SETUP }, 1);
}

/// A held target must go to the task that it is held for.
#[test]
fn the_large_task_starts_once_the_room_is_complete() {
    let mut bench = Bench::new(64);
    bench.steward.precedence_mut().set_dense(true);
    for job in 0..128 {
        bench.enqueue_assignment(sized(job, 14_000, RUN_MS), "owner");
    }
    bench.dispatch();
    bench.enqueue_assignment(Assignment { started: true, ..sized(1_000, 28_000, 50) }, "owner");
    bench.now += Duration::from_millis(30);
    bench.enqueue_assignment(sized(1_001, 14_000, 400), "owner");
    bench.complete_on("t0");
    bench.dispatch();
    bench.complete_on("t0");
    let started: Vec<_> = bench.dispatch().calls.iter().filter_map(started_task).collect();
    assert!(started.contains(&"00000000000003e8.0.0".to_string()), "{started:?}");
}

/// Two large tasks wait, and a smaller one arrives when half of the second target becomes free. The first target
/// is held for the first large task.
fn holds_for_two(targets: usize, started: usize) {
    let mut bench = Bench::new(targets);
    bench.steward.precedence_mut().set_dense(true);
    for job in 0..2 * targets as u32 {
        bench.enqueue_assignment(sized(job, 14_000, RUN_MS), "owner");
    }
    bench.dispatch();
    for job in 1_000..1_002 {
        bench.enqueue_assignment(Assignment { started: true, ..sized(job, 28_000, 50) }, "owner");
    }
    bench.now += Duration::from_millis(30);
    bench.enqueue_assignment(sized(1_002, 14_000, 400), "owner");
    bench.complete_on("t1");
    assert_eq!(count_starts(&bench.dispatch()), started);
}

// Guards against large tasks that take more than one target in 64 from smaller work.
cases! { holds_for_two:
    one_target_of_64(64, 1);
    two_targets_of_128(128, 0);
}
