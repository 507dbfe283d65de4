//! The worst loads of the deployments C and W in dense zones, beside the order by least slack, which applies
//! where zones are not dense, and first come first served.

use std::time::Duration;

use coltsfootshunt_model::dispatcher::Dispatcher;
use coltsfootshunt_model::fifo::Fifo;
use coltsfootshunt_model::load::{KINDS, Load, PATTERNS, Pattern};
use coltsfootshunt_model::policy::Policy;
use coltsfootshunt_model::report::{CompletedShares, Report};
use coltsfootshunt_testkit::cases;

const DISPATCHER: Dispatcher = Dispatcher { zones: 3, hosts_per_zone: 2 };
const TARGETS: usize = 72;
/// Ends after the last burst of each pattern.
const DURATION_C: Duration = Duration::from_secs(15);
const DURATION_W: Duration = Duration::from_secs(25);
/// A burst may change the share of jobs in time by this much.
const BURST_TOLERANCE: f64 = 0.1;
/// A quarter of the time for which callers wait.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(375);
/// Length of the loads on which the stewards can't keep up, with [`TARGETS`] and 1.2 ms for an event or more.
const DURATION_BEHIND: Duration = Duration::from_secs(10);
/// Index of the kind of the highest priority in [`KINDS`].
const FIRST_KIND: usize = 0;

fn pattern(name: &str) -> Pattern {
    *PATTERNS.iter().find(|pattern| pattern.name == name).expect("PATTERNS has the pattern")
}

/// The same load by least slack.
fn by_least_slack(pattern: Pattern) -> Pattern {
    Pattern { is_dense: false, ..pattern }
}

fn simulate(pattern: Pattern, policy: &dyn Policy, duration: Duration, seed: u64) -> Report {
    let load = Load::generate(pattern, TARGETS, duration, seed);
    Report::new(&load, &policy.simulate(&load))
}

/// Guards against an order that spends the room on whatever is about to be late, whatever its priority.
fn serves_the_first_priority_better(name: &str, duration: Duration, seed: u64) {
    let dense = simulate(pattern(name), &DISPATCHER, duration, seed);
    let least_slack = simulate(by_least_slack(pattern(name)), &DISPATCHER, duration, seed);
    let first = |report: &Report| report.on_time_by_kind[FIRST_KIND];
    assert!(first(&dense) > first(&least_slack), "{dense:?} {least_slack:?}");
    assert!(dense.on_time > least_slack.on_time, "{dense:?} {least_slack:?}");
    let fifo = simulate(pattern(name), &Fifo, duration, seed);
    assert!(dense.on_time > fifo.on_time, "{dense:?} {fifo:?}");
}

cases! { serves_the_first_priority_better:
    on_the_worst_load_of_c("worst C", DURATION_C, 1);
    on_another_day_of_c("worst C", DURATION_C, 2);
    on_the_worst_load_of_w("worst W", DURATION_W, 1);
    on_another_day_of_w("worst W", DURATION_W, 2);
}

/// Guards against priorities that leave nothing to the last kind, and against refusals of large jobs by their
/// size: those of the largest tenth that can end are served at least half as often as the kind.
fn starves_no_kind(name: &str, duration: Duration, seed: u64) {
    let report = simulate(pattern(name), &DISPATCHER, duration, seed);
    for kind in 0..KINDS.len() {
        assert!(report.on_time_by_kind[kind] > report.on_time / 2.0, "{kind} {report:?}");
        let completed = report.completed[kind];
        assert!(completed.reachable >= completed.all / 2.0, "{kind} {report:?}");
    }
}

cases! { starves_no_kind:
    on_the_worst_load_of_c("worst C", DURATION_C, 1);
    on_another_day_of_c("worst C", DURATION_C, 2);
    on_the_worst_load_of_w("worst W", DURATION_W, 1);
    on_another_day_of_w("worst W", DURATION_W, 2);
}

/// Guards against large jobs that lose to small ones of their kind. Unlike [`starves_no_kind`], jobs count that
/// can end on no target.
fn serves_the_largest_half_as_often(name: &str, duration: Duration, seed: u64) {
    let report = simulate(pattern(name), &DISPATCHER, duration, seed);
    assert!(!report.completed.iter().any(CompletedShares::starves_largest), "{report:?}");
}

cases! { serves_the_largest_half_as_often:
    on_the_worst_load_of_c("worst C", DURATION_C, 1);
    on_another_day_of_c("worst C", DURATION_C, 2);
    on_the_worst_load_of_w("worst W", DURATION_W, 1);
    on_another_day_of_w("worst W", DURATION_W, 2);
}

/// Guards against a kind in burst that displaces what other kinds usually have. `burst` is the index of the
/// burst in the pattern.
fn a_burst_displaces_no_other_kind(name: &str, duration: Duration, burst: usize) {
    let pattern = pattern(name);
    let only = Pattern { bursts: &pattern.bursts[burst..=burst], ..pattern };
    let with = simulate(only, &DISPATCHER, duration, 1);
    let without = simulate(Pattern { bursts: &[], ..pattern }, &DISPATCHER, duration, 1);
    for kind in (0..KINDS.len()).filter(|kind| *kind != pattern.bursts[burst].kind) {
        let share = |report: &Report| report.on_time_by_kind[kind];
        assert!(share(&with) > share(&without) - BURST_TOLERANCE, "{kind} {with:?} {without:?}");
    }
}

cases! { a_burst_displaces_no_other_kind:
    of_the_long_kind_on_c("worst C", DURATION_C, 0);
    of_the_short_kind_on_c("worst C", DURATION_C, 1);
    of_the_long_kind_on_w("worst W", DURATION_W, 0);
    of_the_short_kind_on_w("worst W", DURATION_W, 1);
}

/// Guards against stewards that are behind and still take tasks, which are then all late.
fn stewards_that_are_behind_refuse_early(name: &str, event_us: u64) {
    let event_cost = Duration::from_micros(event_us);
    let pattern = Pattern { event_cost, ..pattern(name) };
    let dense = simulate(pattern, &DISPATCHER, DURATION_BEHIND, 1);
    let least_slack = simulate(by_least_slack(pattern), &DISPATCHER, DURATION_BEHIND, 1);
    assert!(dense.on_time > least_slack.on_time, "{dense:?} {least_slack:?}");
    assert!(dense.abandoned <= least_slack.abandoned, "{dense:?} {least_slack:?}");
    assert!(dense.p90_refusal_time < MAX_REFUSAL_TIME, "{dense:?}");
}

cases! { stewards_that_are_behind_refuse_early:
    on_c("worst C", 1_400);
    far_behind_on_c("worst C", 1_650);
    on_w("worst W", 1_400);
    far_behind_on_w("worst W", 1_650);
}
