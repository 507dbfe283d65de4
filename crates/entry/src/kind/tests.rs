//! Tests of learned run times.

use std::time::Duration;

use coltsfootshunt_core::config::{KindConfig, Resources};
use coltsfootshunt_core::name::Kind;
use coltsfootshunt_testkit::cases;

use super::{Catalog, Histogram};

const MS: Duration = Duration::from_millis(1);

fn kind(text: &str) -> Kind {
    Kind::try_from(text).expect("a valid name")
}

fn config(text: &str, expected_ms: u32) -> KindConfig {
    KindConfig {
        name: kind(text),
        idempotent: true,
        rerun_lost: false,
        expected: MS * expected_ms,
        needs: Resources::default(),
    }
}

/// Recorded runs outweigh a configured run time that is wrong by a factor of ten.
fn learns(configured_ms: u32, actual_ms: u32) {
    let mut run_times = Histogram::new(MS * configured_ms);
    for _ in 0..100 {
        run_times.record(MS * actual_ms);
    }
    let mean = run_times.mean().as_secs_f64() / (MS * actual_ms).as_secs_f64();
    assert!((0.9..1.4).contains(&mean), "the mean is {mean} of the actual run time");
    let median = run_times.quantile(0.5).as_secs_f64() / (MS * actual_ms).as_secs_f64();
    assert!((0.9..1.25).contains(&median), "the median is {median} of the actual run time");
}

cases! { learns:
    correct(100, 100);
    ten_times_too_long(1_000, 100);
    ten_times_too_short(100, 1_000);
}

/// The mean follows a change in the run time of a kind.
#[test]
fn mean_follows_change() {
    let mut run_times = Histogram::new(MS * 100);
    for _ in 0..5_000 {
        run_times.record(MS * 100);
    }
    for _ in 0..5_000 {
        run_times.record(MS * 300);
    }
    assert!(run_times.mean() > MS * 270, "{:?}", run_times.mean());
}

/// A kind is long if it runs much longer than the median task, whatever its configured time.
fn is_long(actual_ms: u32, runs: u32, expected: bool) {
    let mut catalog = Catalog::default();
    catalog.configure(&[config("usual", 100), config("other", 100)]);
    for number in 0..1_000 {
        catalog.record(&kind("usual"), MS * 100);
        if number < runs {
            catalog.record(&kind("other"), MS * actual_ms);
        }
    }
    assert_eq!(catalog.is_long(&kind("other")), expected);
    assert!(!catalog.is_long(&kind("usual")));
}

cases! { is_long:
    similar(150, 100, false);
    much_longer(5_000, 100, true);
    much_longer_but_rare(5_000, 10, true);
}

/// A new configuration keeps the learned run times of the kinds that stay.
#[test]
fn configuration_keeps_run_times() {
    let mut catalog = Catalog::default();
    catalog.configure(&[config("kept", 100), config("gone", 100)]);
    for _ in 0..100 {
        catalog.record(&kind("kept"), MS * 900);
    }
    catalog.configure(&[config("kept", 50)]);
    let run_times = catalog.run_times(&kind("kept")).expect("the kind is configured");
    assert!(run_times.mean() > MS * 700);
    assert!(catalog.config(&kind("gone")).is_none());
}
