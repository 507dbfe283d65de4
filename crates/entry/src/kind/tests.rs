//! Tests of this slice.

use std::time::Duration;

use coltsfootshunt_core::config::{KindConfig, Resources};
use coltsfootshunt_core::name::Kind;
use coltsfootshunt_testkit::cases;

use super::{Catalog, Histogram};

const MS: Duration = Duration::from_millis(1);

fn kind(text: &str) -> Kind {
    Kind::try_from(text).expect("a name")
}

fn plan(text: &str, expected_ms: u32) -> KindConfig {
    KindConfig {
        name: kind(text),
        idempotent: true,
        rerun_lost: false,
        expected: MS * expected_ms,
        needs: Resources::default(),
    }
}

/// A declared time that is off by ten is forgotten after some runs.
fn learns(declared_ms: u32, real_ms: u32) {
    let mut profile = Histogram::new(MS * declared_ms);
    for _ in 0..100 {
        profile.record(MS * real_ms);
    }
    let mean = profile.mean().as_secs_f64() / (MS * real_ms).as_secs_f64();
    assert!((0.9..1.4).contains(&mean), "mean {mean} of the real one");
    let median = profile.quantile(0.5).as_secs_f64() / (MS * real_ms).as_secs_f64();
    assert!((0.9..1.25).contains(&median), "median {median} of the real one");
}

cases! { learns:
    right(100, 100);
    ten_times_too_long(1_000, 100);
    ten_times_too_short(100, 1_000);
}

/// A kind whose run time changes is learned anew.
#[test]
fn drift_shows() {
    let mut profile = Histogram::new(MS * 100);
    for _ in 0..5_000 {
        profile.record(MS * 100);
    }
    for _ in 0..5_000 {
        profile.record(MS * 300);
    }
    assert!(profile.mean() > MS * 270, "{:?}", profile.mean());
}

/// Long is who runs much longer than the usual task, whatever was declared.
fn is_long(real_ms: u32, runs: u32, wanted: bool) {
    let mut catalog = Catalog::default();
    catalog.configure(&[plan("usual", 100), plan("other", 100)]);
    for number in 0..1_000 {
        catalog.record(&kind("usual"), MS * 100);
        if number < runs {
            catalog.record(&kind("other"), MS * real_ms);
        }
    }
    assert_eq!(catalog.is_long(&kind("other")), wanted);
    assert!(!catalog.is_long(&kind("usual")));
}

cases! { is_long:
    alike(150, 100, false);
    much_longer(5_000, 100, true);
    rare_and_longer(5_000, 10, true);
}

/// A new configuration keeps what was learned.
#[test]
fn configuration_keeps_what_was_learned() {
    let mut catalog = Catalog::default();
    catalog.configure(&[plan("kept", 100), plan("gone", 100)]);
    for _ in 0..100 {
        catalog.record(&kind("kept"), MS * 900);
    }
    catalog.configure(&[plan("kept", 50)]);
    let profile = catalog.run_times(&kind("kept")).expect("it is there");
    assert!(profile.mean() > MS * 700);
    assert!(catalog.config(&kind("gone")).is_none());
}
