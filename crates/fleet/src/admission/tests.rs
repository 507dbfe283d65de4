use std::time::Duration;

use coltsfootshunt_testkit::cases;

use super::{Estimate, decide, is_unlikely};
use crate::speed::Forecast;

fn admits(wait_ms: u64, run_ms: u64, admitted: bool) {
    // The fastest targets take half as long as average ones.
    let (run, wait) = (Duration::from_millis(run_ms), Duration::from_millis(wait_ms));
    let estimate = Estimate {
        waits: vec![wait],
        run: Forecast { median: run / 2, deviation: 0.3 },
        required_run: run,
        objective: run.mul_f64(1.6) + Duration::from_millis(60),
        timeout: Duration::from_millis(1_500),
        min_slack: Duration::ZERO,
    };
    assert_eq!(decide(&estimate).is_none(), admitted);
}

cases! { admits:
    a_job_with_slack(0, 760, true);
    a_job_that_may_just_be_on_time(500, 760, true);
    not_a_job_late_behind_the_backlog(900, 760, false);
    not_a_short_job_behind_a_long_backlog(200, 51, false);
    a_job_likely_to_end_on_a_fast_target(100, 2_500, true);
    an_unlikely_job_while_targets_are_free(0, 3_600, true);
    not_an_unlikely_job_while_tasks_wait(100, 3_600, false);
    not_a_job_that_waits_too_long(2_000, 760, false);
    not_a_job_that_is_too_long(0, 8_000, false);
}

/// A job of eight tasks, of which the last `behind` have to wait.
fn admits_wide_job(behind: usize, last_ms: u64, run_ms: u64, admitted: bool) {
    let run = Duration::from_millis(run_ms);
    let last = Duration::from_millis(last_ms);
    let waits = [vec![Duration::ZERO; 8 - behind], vec![last; behind]].concat();
    let estimate = Estimate {
        waits,
        run: Forecast { median: run / 2, deviation: 0.3 },
        required_run: run / 2,
        objective: Duration::from_millis(1_450),
        timeout: Duration::from_millis(1_500),
        min_slack: Duration::ZERO,
    };
    assert_eq!(decide(&estimate).is_none(), admitted);
}

// Guards against admission by the wait of the first task, which let in jobs that ended just after
// their deadline.
cases! { admits_wide_job:
    that_starts_at_once(0, 0, 2_000, true);
    whose_last_task_ends_in_time(1, 300, 1_600, true);
    not_if_its_last_task_is_too_late(1, 1_000, 1_600, false);
}

/// A small probability is enough while targets are free, since an attempt costs other jobs little.
fn rejects(percent: u32, wait_ms: u64, wanted: bool) {
    assert_eq!(is_unlikely(f64::from(percent) / 100.0, Duration::from_millis(wait_ms)), wanted);
}

cases! { rejects:
    very_unlikely_jobs(5, 0, true);
    no_unlikely_jobs_while_targets_are_free(20, 0, false);
    unlikely_jobs_while_tasks_wait(20, 100, true);
    no_likely_jobs(40, 100, false);
}
