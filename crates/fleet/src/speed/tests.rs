use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Kind, Target};
use coltsfootshunt_testkit::cases;

use super::{Estimator, Forecast, Trend};

fn kind() -> Kind {
    Kind::try_from("cut").unwrap()
}

fn target(name: &str) -> Target {
    Target::try_from(name).unwrap()
}

fn learns(slow: f64, ends: usize) {
    let now = Instant::now();
    let mut estimator = Estimator::default();
    let estimate = Duration::from_millis(100);
    for _ in 0..ends {
        estimator.record_completion(&kind(), &target("plain"), (estimate, estimate), now);
        estimator.record_completion(
            &kind(),
            &target("slow"),
            (estimate, estimate.mul_f64(slow)),
            now,
        );
    }
    let plain = estimator.predict(&kind(), &target("plain"), estimate, now).as_secs_f64();
    let other = estimator.predict(&kind(), &target("slow"), estimate, now).as_secs_f64();
    let ratio = other / plain;
    assert!((ratio / slow - 1.0).abs() < 0.15, "{ratio} for {slow}");
}

cases! { learns:
    a_target_of_twice_the_time(2.0, 30);
    a_target_of_half_the_time(0.5, 30);
    a_target_that_turned_seven_times_slower(7.0, 40);
}

fn failing(failed: usize, failing: bool) {
    let now = Instant::now();
    let mut estimator = Estimator::default();
    for _ in 0..failed {
        estimator.record_failure(&target("a"), now);
    }
    assert_eq!(estimator.is_failing(&target("a"), now), failing);
}

cases! { failing:
    one_failure_says_little(1, false);
    a_row_of_failures_says_much(4, true);
}

fn fades(after_s: u64, failing: bool) {
    let now = Instant::now();
    let mut estimator = Estimator::default();
    for _ in 0..8 {
        estimator.record_failure(&target("a"), now);
    }
    assert_eq!(estimator.is_failing(&target("a"), now + Duration::from_secs(after_s)), failing);
}

cases! { fades:
    not_at_once(1, true);
    so_that_it_is_tried_again(9, false);
}

fn returns(after_s: u64, factor: f64) {
    let now = Instant::now();
    let mut estimator = Estimator::default();
    let estimate = Duration::from_millis(100);
    for _ in 0..200 {
        estimator.record_completion(&kind(), &target("plain"), (estimate, estimate), now);
        estimator.record_completion(&kind(), &target("fast"), (estimate, estimate / 2), now);
    }
    for _ in 0..12 {
        let predicted = estimator.predict(&kind(), &target("fast"), estimate, now);
        estimator.record_completion(&kind(), &target("fast"), (estimate, predicted * 3), now);
    }
    let later = now + Duration::from_secs(after_s);
    let slowness =
        estimator.slowness(&target("fast"), later) - estimator.slowness(&target("plain"), later);
    assert!((slowness.exp() / factor - 1.0).abs() < 0.3, "{}", slowness.exp());
}

cases! { returns:
    to_what_it_is_like_for_good(60, 0.7);
    not_at_once(0, 1.9);
}

/// What a steward has learned of its targets is not lost with it.
#[test]
fn a_successor_knows_what_targets_are_like() {
    let now = Instant::now();
    let estimate = Duration::from_millis(100);
    let mut estimator = Estimator::default();
    for _ in 0..40 {
        estimator.record_completion(&kind(), &target("plain"), (estimate, estimate), now);
        estimator.record_completion(&kind(), &target("slow"), (estimate, estimate * 2), now);
    }
    let mut successor = Estimator::default();
    successor.set_slowness(estimator.slowness_by_target(now), now);
    let slow = successor.predict(&kind(), &target("slow"), estimate, now).as_secs_f64();
    let plain = successor.predict(&kind(), &target("plain"), estimate, now).as_secs_f64();
    assert!((slow / plain / 2.0 - 1.0).abs() < 0.15, "{}", slow / plain);
}

/// Runs whose logarithm is `slope` times as far from the usual as the declared one's.
fn taught(slope: f64) -> Trend {
    let mut trend = Trend::default();
    for turn in 0..400 {
        let declared = f64::from(turn % 41 - 20) / 20.0;
        let error = f64::from(turn % 7 - 3) / 10.0;
        let took = declared * slope + error;
        trend.learn(Duration::from_secs_f64(declared.exp()), Duration::from_secs_f64(took.exp()));
    }
    trend
}

fn forecasts(slope: f64, declared_ms: u64, wanted_ms: u64) {
    let median = taught(slope).forecast(Duration::from_millis(declared_ms)).median;
    let ratio = median.as_secs_f64() * 1e3 / wanted_ms as f64;
    assert!((ratio - 1.0).abs() < 0.15, "{median:?} for {wanted_ms} ms");
}

cases! { forecasts:
    exact_declarations_as_they_are(1.0, 500, 500);
    declarations_that_say_half_nearer_to_the_usual(0.5, 500, 707);
    the_same_above_the_usual(0.5, 2_000, 1_414);
    what_is_declared_far_above_the_usual_at_its_word(0.5, 16_000, 16_000);
    declarations_that_say_nothing_as_usual(0.0, 500, 930);
}

/// An owner of jobs that gives no target its orders knows what stewards have learned of kinds.
#[test]
fn what_several_hosts_learned_of_a_kind_adds_up() {
    let estimate = Duration::from_millis(100);
    let now = Instant::now();
    let mut owner = Estimator::default();
    for host in ["one", "other"] {
        let mut steward = Estimator::default();
        for _ in 0..100 {
            steward.record_run_time(&kind(), &target("plain"), (estimate, estimate * 2), now);
        }
        owner.set_peer_trends(&Host::try_from(host).unwrap(), steward.kind_trends());
    }
    let median = owner.forecast(&kind(), estimate).median;
    assert!((median.as_secs_f64() / 0.2 - 1.0).abs() < 0.1, "{median:?}");
}

fn chances(within_ms: u64, low: f64, high: f64) {
    let forecast = Forecast { median: Duration::from_millis(500), deviation: 0.3 };
    let chance = forecast.probability_within(Duration::from_millis(within_ms));
    assert!((low..=high).contains(&chance), "{chance}");
}

cases! { chances:
    none_without_time(0, 0.0, 0.0);
    little_in_half_the_median(250, 0.0, 0.03);
    even_in_the_median(500, 0.5, 0.5);
    good_in_twice_the_median(1_000, 0.97, 0.99);
}

/// A job ends with the longest of its tasks: of eight, it takes about a quarter longer than one.
fn longest(tasks: u32, wanted_ms: u64) {
    let forecast = Forecast { median: Duration::from_millis(500), deviation: 0.3 };
    let median = forecast.longest_of(tasks).median;
    assert!(
        median.abs_diff(Duration::from_millis(wanted_ms)) < Duration::from_millis(10),
        "{median:?}"
    );
}

cases! { longest:
    of_one_task_is_that_task(1, 500);
    of_eight_tasks_takes_longer(8, 622);
}

/// Chance that all tasks of 400 ms end within 1,000 ms, against that of another job.
fn all_end(waits_ms: &[u64], less_than: Option<&[u64]>, least: f64) {
    let forecast = Forecast { median: Duration::from_millis(400), deviation: 0.3 };
    let chance = |waits_ms: &[u64]| {
        let waits: Vec<Duration> = waits_ms.iter().copied().map(Duration::from_millis).collect();
        forecast.probability_all_within(&waits, Duration::from_secs(1))
    };
    assert!(chance(waits_ms) >= least, "{}", chance(waits_ms));
    assert!(less_than.is_none_or(|other| chance(waits_ms) < chance(other)));
}

// The last of many tasks counts as one, not as all of them.
cases! { all_end:
    nearly_surely_when_all_start_at_once(&[0, 0, 0], None, 0.95);
    less_surely_when_one_waits(&[0, 0, 300], Some(&[0, 0, 0]), 0.9);
    less_surely_when_all_wait(&[300, 300, 300], Some(&[0, 0, 300]), 0.7);
    hardly_when_the_last_one_waits_too_long(&[0, 0, 800], Some(&[300, 300, 300]), 0.0);
}
