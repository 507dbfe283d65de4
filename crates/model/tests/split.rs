//! Compares three stewards with a single one on days with high load. Guards against tasks that wait
//! at one steward while targets of another are free.

use std::time::Duration;

use coltsfootshunt_model::dispatcher::Dispatcher;
use coltsfootshunt_model::load::{LONG_KIND, Load, PATTERNS};
use coltsfootshunt_model::policy::Policy;
use coltsfootshunt_model::report::Report;
use coltsfootshunt_testkit::cases;

/// One steward for all targets: the upper bound for several stewards.
const SINGLE_STEWARD: Dispatcher = Dispatcher { zones: 1, hosts_per_zone: 6 };
const THREE_STEWARDS: Dispatcher = Dispatcher { zones: 3, hosts_per_zone: 2 };
const TARGETS: usize = 48;
const DURATION: Duration = Duration::from_secs(34);
/// Share of jobs that three stewards may lose to their messages with owners, which add a few
/// milliseconds to a task of a hundred milliseconds.
const TOLERANCE: f64 = 0.015;

fn reports(seed: u64) -> [Report; 2] {
    let pattern = PATTERNS
        .iter()
        .find(|pattern| pattern.name == "high day")
        .expect("PATTERNS has the pattern");
    let load = Load::generate(*pattern, TARGETS, DURATION, seed);
    [SINGLE_STEWARD, THREE_STEWARDS]
        .map(|dispatcher| Report::new(&load, &dispatcher.simulate(&load)))
}

fn serves_long_work_like_one_steward(seed: u64) {
    let [single, three] = reports(seed).map(|report| report.completed[LONG_KIND].all);
    assert!(three > single - TOLERANCE, "{three} with three stewards, {single} with one");
}

cases! { serves_long_work_like_one_steward:
    on_day_1(1);
    on_day_2(2);
    on_day_3(3);
    on_day_4(4);
}

fn serves_like_one_steward(seed: u64) {
    let [single, three] = reports(seed).map(|report| report.on_time);
    assert!(three > single - TOLERANCE, "{three} with three stewards, {single} with one");
}

cases! { serves_like_one_steward:
    on_day_1(1);
    on_day_2(2);
    on_day_3(3);
    on_day_4(4);
}
