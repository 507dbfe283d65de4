use std::time::Duration;

use coltsfootshunt_testkit::cases;

use super::{Prospect, judge};

fn judges(wait_ms: u64, run_ms: u64, taken: bool) {
    let prospect = Prospect {
        wait: Duration::from_millis(wait_ms),
        run: Duration::from_millis(run_ms),
        patience: Duration::from_millis(1_500),
    };
    assert_eq!(judge(&prospect).is_none(), taken);
}

cases! { judges:
    what_has_time(0, 760, true);
    what_may_just_end_in_time(900, 760, true);
    what_may_end_in_time_on_a_fast_target_while_one_is_free(0, 2_500, true);
    not_that_while_work_waits(100, 2_500, false);
    what_will_not_end_in_time(2_000, 760, false);
    what_is_too_long_by_itself(0, 8_000, false);
}
