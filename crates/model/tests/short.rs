//! Days with high load on which the largest jobs of a kind used to be completed less than half as
//! often as the jobs of the whole kind.

use std::time::Duration;

use coltsfootshunt_model::dispatcher::Dispatcher;
use coltsfootshunt_model::load::{Load, PATTERNS};
use coltsfootshunt_model::policy::Policy;
use coltsfootshunt_model::report::{CompletedShares, Report};
use coltsfootshunt_testkit::cases;

/// The smaller of the simulated sites: three zones with two hosts each.
const DISPATCHER: Dispatcher = Dispatcher { zones: 3, hosts_per_zone: 2 };
const TARGETS: usize = 48;
/// Two periods of the wave and the rising edge of a third, as long as the scenarios in
/// `deploy/days`.
const DURATION: Duration = Duration::from_secs(34);

fn serves_the_largest_half_as_often(seed: u64) {
    let pattern = PATTERNS
        .iter()
        .find(|pattern| pattern.name == "high day")
        .expect("PATTERNS has the pattern");
    let load = Load::generate(*pattern, TARGETS, DURATION, seed);
    let report = Report::new(&load, &DISPATCHER.simulate(&load));
    assert!(!report.completed.iter().any(CompletedShares::starves_largest), "{report:?}");
}

cases! { serves_the_largest_half_as_often:
    on_day_1(1);
    on_day_2(2);
    on_day_3(3);
    on_day_4(4);
    on_day_5(5);
    on_day_6(6);
    on_day_7(7);
    on_day_8(8);
}
