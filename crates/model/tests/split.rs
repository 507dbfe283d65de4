//! High days on which tasks waited at one steward while another one's targets became free.

use std::time::Duration;

use coltsfootshunt_model::dispatcher::Product;
use coltsfootshunt_model::load::{LONG, Load, PATTERNS};
use coltsfootshunt_model::policy::Policy;
use coltsfootshunt_model::report::Report;
use coltsfootshunt_testkit::cases;

/// One steward for all targets, as a bound for several.
const WHOLE: Product = Product { zones: 1, hosts: 6 };
const SPLIT: Product = Product { zones: 3, hosts: 2 };
const TARGETS: usize = 48;
const LENGTH: Duration = Duration::from_secs(34);
/// Share that may be lost to messages between stewards and owners: a few milliseconds a task of a hundred.
const MESSAGES: f64 = 0.015;

fn reports(seed: u64) -> [Report; 2] {
    let pattern = PATTERNS.iter().find(|one| one.name == "high day").expect("it is listed");
    let load = Load::draw(*pattern, TARGETS, LENGTH, seed);
    [WHOLE, SPLIT].map(|fleet| Report::new(&load, &fleet.play(&load)))
}

fn serves_long_work_like_one_steward(seed: u64) {
    let [whole, split] = reports(seed).map(|report| report.served[LONG].all);
    assert!(split > whole - MESSAGES, "{split} for {whole}");
}

cases! { serves_long_work_like_one_steward:
    on_day_1(1);
    on_day_2(2);
    on_day_3(3);
    on_day_4(4);
}

fn serves_like_one_steward(seed: u64) {
    let [whole, split] = reports(seed).map(|report| report.on_time);
    assert!(split > whole - MESSAGES, "{split} for {whole}");
}

cases! { serves_like_one_steward:
    on_day_1(1);
    on_day_2(2);
    on_day_3(3);
    on_day_4(4);
}
