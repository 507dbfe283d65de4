use std::time::Duration;

use coltsfootshunt_testkit::cases;

use super::{Estimate, decide, is_unlikely};
use crate::speed::Forecast;

fn judges(wait_ms: u64, run_ms: u64, taken: bool) {
    // The fastest targets take half as long as the average.
    let (run, wait) = (Duration::from_millis(run_ms), Duration::from_millis(wait_ms));
    let estimate = Estimate {
        waits: vec![wait],
        run: Forecast { median: run / 2, deviation: 0.3 },
        required_run: run,
        objective: run.mul_f64(1.6) + Duration::from_millis(60),
        timeout: Duration::from_millis(1_500),
    };
    assert_eq!(decide(&estimate).is_none(), taken);
}

cases! { judges:
    what_has_time(0, 760, true);
    what_may_just_be_on_time(500, 760, true);
    what_would_be_late_behind_the_backlog(900, 760, false);
    short_work_behind_a_long_backlog(200, 51, false);
    what_probably_ends_in_time_on_a_fast_target(100, 2_500, true);
    what_may_end_in_time_on_a_fast_target_while_one_is_free(0, 3_600, true);
    not_that_while_work_waits(100, 3_600, false);
    what_will_not_end_in_time(2_000, 760, false);
    what_is_too_long_by_itself(0, 8_000, false);
}

/// A wide job whose last tasks have to wait.
fn judges_wide(behind: usize, last_ms: u64, run_ms: u64, taken: bool) {
    let run = Duration::from_millis(run_ms);
    let last = Duration::from_millis(last_ms);
    let waits = [vec![Duration::ZERO; 8 - behind], vec![last; behind]].concat();
    let estimate = Estimate {
        waits,
        run: Forecast { median: run / 2, deviation: 0.3 },
        required_run: run / 2,
        objective: Duration::from_millis(1_450),
        timeout: Duration::from_millis(1_500),
    };
    assert_eq!(decide(&estimate).is_none(), taken);
}

// Jobs were taken by the wait of their first task, and ended just after their deadline.
cases! { judges_wide:
    all_of_it_at_once(0, 0, 2_000, true);
    a_last_task_that_ends_in_time(1, 300, 1_600, true);
    not_a_last_task_that_comes_too_late(1, 1_000, 1_600, false);
}

/// Work of little chance: trying costs others little where targets are free.
fn gives_up(percent: u32, wait_ms: u64, wanted: bool) {
    assert_eq!(is_unlikely(f64::from(percent) / 100.0, Duration::from_millis(wait_ms)), wanted);
}

cases! { gives_up:
    what_has_hardly_a_chance(5, 0, true);
    nothing_that_has_a_small_one_where_targets_are_free(20, 0, false);
    what_has_a_small_one_where_others_wait(20, 100, true);
    nothing_that_may_well_end_in_time(40, 100, false);
}
