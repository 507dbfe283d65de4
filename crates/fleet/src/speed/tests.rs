use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Kind, Target};
use coltsfootshunt_testkit::cases;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{Estimator, Forecast, Trend, reference};
use crate::placement::is_fast;

fn kind() -> Kind {
    Kind::try_from("cut").unwrap()
}

fn target(name: &str) -> Target {
    Target::try_from(name).unwrap()
}

/// The ratio of predictions for two targets approaches that of their run times.
fn learns_slowness(slow: f64, ends: usize) {
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

cases! { learns_slowness:
    of_a_target_half_as_fast(2.0, 30);
    of_a_target_twice_as_fast(0.5, 30);
    of_a_target_seven_times_slower(7.0, 40);
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
    not_after_one_failure(1, false);
    after_consecutive_failures(4, true);
}

/// A failing target gets work again after some idle time.
fn failing_decays(after_s: u64, failing: bool) {
    let now = Instant::now();
    let mut estimator = Estimator::default();
    for _ in 0..8 {
        estimator.record_failure(&target("a"), now);
    }
    assert_eq!(estimator.is_failing(&target("a"), now + Duration::from_secs(after_s)), failing);
}

cases! { failing_decays:
    not_at_once(1, true);
    after_some_idle_seconds(9, false);
}

/// After a slow phase, an idle target returns to its baseline slowness.
fn returns_to_baseline(after_s: u64, factor: f64) {
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

cases! { returns_to_baseline:
    after_a_minute(60, 0.7);
    not_at_once(0, 1.9);
}

/// The slowness that a steward has learned is not lost with the steward.
#[test]
fn slowness_can_be_taken_over() {
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

/// Trend of runs for which the logarithm of the run time is `slope` times that of the declared time.
fn trend_with_slope(slope: f64) -> Trend {
    let mut trend = Trend::default();
    for index in 0..400 {
        let declared = f64::from(index % 41 - 20) / 20.0;
        let error = f64::from(index % 7 - 3) / 10.0;
        let run_time = declared * slope + error;
        trend.learn(
            Duration::from_secs_f64(declared.exp()),
            Duration::from_secs_f64(run_time.exp()),
        );
    }
    trend
}

fn forecasts(slope: f64, declared_ms: u64, wanted_ms: u64) {
    let median = trend_with_slope(slope).forecast(Duration::from_millis(declared_ms)).median;
    let ratio = median.as_secs_f64() * 1e3 / wanted_ms as f64;
    assert!((ratio - 1.0).abs() < 0.15, "{median:?} for {wanted_ms} ms");
}

cases! { forecasts:
    of_exact_declarations_as_declared(1.0, 500, 500);
    below_the_mean_closer_to_it(0.5, 500, 707);
    above_the_mean_closer_to_it(0.5, 2_000, 1_414);
    of_outliers_as_declared(0.5, 16_000, 16_000);
    of_unrelated_declarations_at_the_mean(0.0, 500, 930);
}

/// Two hosts that have learned from different ends forecast nearly the same, wherever the declared time
/// lies. Otherwise an owner admits jobs that a steward gives up at once.
fn hosts_agree(declared_ms: u64) {
    let within = Duration::from_millis(1_500);
    let probability = |own_mean_ms: f64| {
        let mut trend = Trend::default();
        for index in 0..400 {
            let spread = f64::from(index % 41 - 20) / 20.0;
            let error = f64::from(index % 7 - 3) / 10.0;
            let run_time = spread * 0.45 + error;
            let millis = |log: f64| Duration::from_secs_f64(own_mean_ms / 1e3 * log.exp());
            trend.learn(millis(spread), millis(run_time));
        }
        trend.forecast(Duration::from_millis(declared_ms)).scaled(0.55).probability_within(within)
    };
    let (owner, steward) = (probability(800.0), probability(760.0));
    assert!((owner - steward).abs() < 0.1, "{owner} at the owner, {steward} at the steward");
}

cases! { hosts_agree:
    on_usual_jobs(1_000);
    on_large_jobs(2_500);
    on_jobs_that_may_be_outliers(3_500);
    on_outliers(8_000);
}

/// A host that is no steward forecasts with the trends that it got from stewards.
#[test]
fn trends_of_several_hosts_add_up() {
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

fn probabilities(within_ms: u64, low: f64, high: f64) {
    let forecast = Forecast { median: Duration::from_millis(500), deviation: 0.3 };
    let probability = forecast.probability_within(Duration::from_millis(within_ms));
    assert!((low..=high).contains(&probability), "{probability}");
}

cases! { probabilities:
    zero_without_time(0, 0.0, 0.0);
    low_within_half_the_median(250, 0.0, 0.03);
    even_within_the_median(500, 0.5, 0.5);
    high_within_twice_the_median(1_000, 0.97, 0.99);
}

/// A job ends with the longest of its tasks. Eight tasks take about a quarter longer than one.
fn longest(tasks: u32, wanted_ms: u64) {
    let forecast = Forecast { median: Duration::from_millis(500), deviation: 0.3 };
    let median = forecast.longest_of(tasks).median;
    assert!(
        median.abs_diff(Duration::from_millis(wanted_ms)) < Duration::from_millis(10),
        "{median:?}"
    );
}

cases! { longest:
    of_one_task(1, 500);
    of_eight_tasks(8, 622);
}

/// Probability that all tasks of 400 ms end within 1,000 ms, compared with that of another job.
fn probability_that_all_end(waits_ms: &[u64], lower_than: Option<&[u64]>, minimum: f64) {
    let forecast = Forecast { median: Duration::from_millis(400), deviation: 0.3 };
    let probability = |waits_ms: &[u64]| {
        let waits: Vec<Duration> = waits_ms.iter().copied().map(Duration::from_millis).collect();
        forecast.probability_all_within(&waits, Duration::from_secs(1))
    };
    assert!(probability(waits_ms) >= minimum, "{}", probability(waits_ms));
    assert!(lower_than.is_none_or(|other| probability(waits_ms) < probability(other)));
}

// If only the last of many tasks waits, the wait counts for that one task, not for all.
cases! { probability_that_all_end:
    is_highest_when_all_start_at_once(&[0, 0, 0], None, 0.95);
    is_lower_when_one_waits(&[0, 0, 300], Some(&[0, 0, 0]), 0.9);
    is_lower_when_all_wait(&[300, 300, 300], Some(&[0, 0, 300]), 0.7);
    is_lowest_when_the_last_one_waits_too_long(&[0, 0, 800], Some(&[300, 300, 300]), 0.0);
}

/// Standard deviation of the logarithm of run times from their forecast, as declared times are off.
const RUN_DEVIATION: f64 = 0.4;

/// Factors learned for targets of these numbers and speeds, as the first and the other ones.
fn learned(full_speed: usize, slower: (usize, f64), ends: usize) -> (Vec<f64>, Vec<f64>) {
    let now = Instant::now();
    let mut random = StdRng::seed_from_u64(1);
    let mut estimator = Estimator::default();
    let declared = Duration::from_millis(200);
    let targets: Vec<(Target, f64)> = (0..full_speed + slower.0)
        .map(|index| {
            (target(&format!("t-{index}")), if index < full_speed { 1.0 } else { slower.1 })
        })
        .collect();
    for _ in 0..ends {
        for (target, factor) in &targets {
            // The sum of twelve uniform numbers is nearly normal, with a variance of one.
            let normal = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
            let took = declared.mul_f64(factor * (normal * RUN_DEVIATION).exp());
            estimator.record_completion(&kind(), target, (declared, took), now);
        }
    }
    let mut factors: Vec<f64> =
        targets.iter().map(|(target, _)| estimator.slowness(target, now).exp()).collect();
    let slower = factors.split_off(full_speed);
    (factors, slower)
}

/// Share of the targets that count as fast.
fn fast_share(factors: &[f64], reference: f64) -> f64 {
    let run = |factor: f64| Duration::from_secs(1).mul_f64(factor);
    let fast = factors.iter().filter(|factor| is_fast(run(**factor), run(reference)));
    fast.count() as f64 / factors.len() as f64
}

/// Guards against a reserve for long work that rests on the few targets whose estimates are too low by chance.
fn most_full_speed_targets_are_fast(full_speed: usize, slower: (usize, f64), ends: usize) {
    let (full, slow) = learned(full_speed, slower, ends);
    let reference = reference::of(full.iter().chain(&slow).copied().collect()).unwrap();
    let (full, slow) = (fast_share(&full, reference), fast_share(&slow, reference));
    assert!(full > 0.75, "{full} of the targets at full speed");
    assert!(slow < 0.25, "{slow} of the slower ones");
}

cases! { most_full_speed_targets_are_fast:
    of_350_with_few_slower(300, (50, 1.3), 40);
    of_350_with_many_slower(200, (150, 1.3), 40);
    of_350_after_few_ends(250, (100, 1.5), 12);
    of_50(36, (14, 1.3), 40);
    of_50_with_much_slower_ones(36, (14, 2.0), 40);
}

/// Guards against a reference among slow targets where only a few are fast.
fn reference_is(factors: &[f64], expected: Option<f64>) {
    assert_eq!(reference::of(factors.to_vec()), expected);
    let mut logarithms: Vec<f64> = factors.iter().map(|factor| factor.ln()).collect();
    logarithms.sort_by(f64::total_cmp);
    let sorted = reference::of_sorted_logarithms(&logarithms);
    let difference = sorted.zip(expected).map_or(0.0, |(one, other)| (one - other).abs());
    assert!(sorted.is_some() == expected.is_some() && difference < 1e-9, "{sorted:?}");
}

cases! { reference_is:
    nothing_without_targets(&[], None);
    the_lowest_of_few(&[1.2, 1.0, 1.1], Some(1.0));
    beyond_the_lowest_of_many(&[1.0, 0.9, 1.1, 1.2, 1.3, 1.4, 1.5, 1.6], Some(1.0));
    near_a_single_fast_target(&[2.0, 0.5, 2.0, 2.0, 2.0, 2.0, 2.0, 2.0], Some(0.5 * 1.35));
}
