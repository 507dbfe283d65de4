//! Simulates each load pattern and compares the dispatcher with first come first served.

use std::time::Duration;

use coltsfootshunt_model::dispatcher::Dispatcher;
use coltsfootshunt_model::fifo::Fifo;
use coltsfootshunt_model::load::{Load, PATTERNS, Pattern};
use coltsfootshunt_model::policy::{Answer, Policy};
use coltsfootshunt_model::report::Report;
use coltsfootshunt_testkit::cases;

const TARGETS: usize = 16;
const DURATION: Duration = Duration::from_secs(15);
const SEEDS: std::ops::Range<u64> = 1..4;
/// A quarter of the time for which callers wait.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(375);

fn pattern(name: &str) -> Pattern {
    *PATTERNS.iter().find(|pattern| pattern.name == name).expect("PATTERNS has the pattern")
}

fn mean(shares: impl Iterator<Item = f64>) -> f64 {
    let shares: Vec<f64> = shares.collect();
    shares.iter().sum::<f64>() / shares.len() as f64
}

/// Simulates one load for each seed. Returns the reports of the dispatcher and of the baseline.
fn simulate(pattern: Pattern) -> Vec<(Report, Report)> {
    let reports = |seed| {
        let load = Load::generate(pattern, TARGETS, DURATION, seed);
        let report = |policy: &dyn Policy| Report::new(&load, &policy.simulate(&load));
        (report(&Dispatcher::default()), report(&Fifo))
    };
    SEEDS.map(reports).collect()
}

fn beats_the_baseline(name: &str) {
    let reports = simulate(pattern(name));
    let dispatcher = mean(reports.iter().map(|(dispatcher, _)| dispatcher.on_time));
    let fifo = mean(reports.iter().map(|(_, fifo)| fifo.on_time));
    assert!(dispatcher > fifo, "{dispatcher} on time, {fifo} by first come first served");
}

cases! { beats_the_baseline:
    at_steady_load("calm");
    at_a_peak("crest");
    with_hanging_targets("hanging");
}

/// The baseline has no unanswered calls, so the dispatcher is compared with itself: they may cost a
/// quarter of the jobs that are otherwise on time.
#[test]
fn unanswered_calls_cost_at_most_a_quarter() {
    let with =
        mean(simulate(pattern("unanswered")).iter().map(|(dispatcher, _)| dispatcher.on_time));
    let without = Pattern { unanswered_share: 0.0, ..pattern("unanswered") };
    let without = mean(simulate(without).iter().map(|(dispatcher, _)| dispatcher.on_time));
    assert!(with > without * 0.75, "{with} with unanswered calls, {without} without");
}

/// At a peak, refusals reach callers within a quarter of the time for which they wait, and far
/// fewer jobs are abandoned after some of their tasks ran than without admission.
#[test]
fn a_peak_refuses_early_and_abandons_few_jobs() {
    for (dispatcher, fifo) in simulate(pattern("crest")) {
        assert!(dispatcher.p90_refusal_time < MAX_REFUSAL_TIME, "{dispatcher:?}");
        assert!(dispatcher.abandoned < fifo.abandoned / 4.0, "{dispatcher:?} {fifo:?}");
    }
}

#[test]
fn equal_seeds_give_equal_answers() {
    let generate = || Load::generate(pattern("crest"), TARGETS, DURATION, 7);
    let answers: Vec<Vec<Answer>> =
        (0..2).map(|_| Dispatcher::default().simulate(&generate())).collect();
    assert_eq!(answers[0], answers[1]);
}
