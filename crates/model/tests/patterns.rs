//! Each load pattern that a policy answers, replayed: callers get more than by first come first served.

use std::time::Duration;

use coltsfootshunt_model::dispatcher::Product;
use coltsfootshunt_model::fifo::Simple;
use coltsfootshunt_model::load::{Load, PATTERNS, Pattern};
use coltsfootshunt_model::policy::{Answer, Policy};
use coltsfootshunt_model::report::Report;
use coltsfootshunt_testkit::cases;

const TARGETS: usize = 16;
const LENGTH: Duration = Duration::from_secs(15);
const SEEDS: std::ops::Range<u64> = 1..4;
/// A quarter of the callers' patience.
const REFUSED_WITHIN: Duration = Duration::from_millis(375);

fn pattern(name: &str) -> Pattern {
    *PATTERNS.iter().find(|one| one.name == name).expect("a pattern of this name")
}

fn mean(shares: impl Iterator<Item = f64>) -> f64 {
    let shares: Vec<f64> = shares.collect();
    shares.iter().sum::<f64>() / shares.len() as f64
}

/// Loads of a pattern, each with the reports of the product and of the baseline.
fn play(pattern: Pattern) -> Vec<(Report, Report)> {
    let each = |seed| {
        let load = Load::draw(pattern, TARGETS, LENGTH, seed);
        let report = |policy: &dyn Policy| Report::new(&load, &policy.play(&load));
        (report(&Product::default()), report(&Simple))
    };
    SEEDS.map(each).collect()
}

fn beats_the_baseline(name: &str) {
    let reports = play(pattern(name));
    let product = mean(reports.iter().map(|(product, _)| product.on_time));
    let simple = mean(reports.iter().map(|(_, simple)| simple.on_time));
    assert!(product > simple, "{product} on time, {simple} by first come first served");
}

cases! { beats_the_baseline:
    on_a_calm_day("calm");
    at_a_crest("crest");
    with_hanging_targets("hanging");
}

/// The baseline knows no unanswered orders; they may cost the product a quarter of what it serves.
#[test]
fn unanswered_orders_cost_no_more_than_a_quarter() {
    let with = mean(play(pattern("unanswered")).iter().map(|(product, _)| product.on_time));
    let without = Pattern { unanswered: 0.0, ..pattern("unanswered") };
    let without = mean(play(without).iter().map(|(product, _)| product.on_time));
    assert!(with > without * 0.75, "{with} of {without}");
}

/// Callers that are turned away at a crest hear it before a quarter of their patience is over, and few
/// jobs are given up half done.
#[test]
fn a_crest_turns_away_early_and_whole() {
    for (product, simple) in play(pattern("crest")) {
        assert!(product.refused_after < REFUSED_WITHIN, "{product:?}");
        assert!(product.given_up < simple.given_up / 4.0, "{product:?} {simple:?}");
    }
}

#[test]
fn a_load_is_the_same_for_a_seed() {
    let draw = || Load::draw(pattern("crest"), TARGETS, LENGTH, 7);
    let answers: Vec<Vec<Answer>> = (0..2).map(|_| Product::default().play(&draw())).collect();
    assert_eq!(answers[0], answers[1]);
}
