//! High days on which the largest jobs of a kind were served less than half as often as the kind.

use std::time::Duration;

use coltsfootshunt_model::dispatcher::Product;
use coltsfootshunt_model::load::{Load, PATTERNS};
use coltsfootshunt_model::policy::Policy;
use coltsfootshunt_model::report::{Report, Served};
use coltsfootshunt_testkit::cases;

/// The users' smaller site: three zones, two hosts that take jobs in each.
const FLEET: Product = Product { zones: 3, hosts: 2 };
const TARGETS: usize = 48;
/// Two waves and the flank of a third, as on the users' days.
const LENGTH: Duration = Duration::from_secs(34);

fn serves_the_largest_half_as_often(seed: u64) {
    let pattern = PATTERNS.iter().find(|one| one.name == "high day").expect("it is listed");
    let load = Load::draw(*pattern, TARGETS, LENGTH, seed);
    let report = Report::new(&load, &FLEET.play(&load));
    assert!(!report.served.iter().any(Served::is_short), "{report:?}");
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
