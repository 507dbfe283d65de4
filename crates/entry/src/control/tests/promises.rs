//! Invariants under random sequences of requests, lost, duplicated and reordered calls, pauses,
//! kills, planned stops and configurations.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::fixture::TARGETS;
use super::simulation::{AttemptResult, Simulation};

/// Entries in each simulation.
const ENTRIES: usize = 3;
/// Number of random cases, unless the environment sets it.
const DEFAULT_CASES: u32 = 300;
/// Environment variable that sets the number of random cases.
const CASES_VARIABLE: &str = "COLTSFOOTSHUNT_CASES";
/// Seed of the random cases.
const SEED: u64 = 20_261_204;

/// One step of a random sequence. An index beyond its list wraps around.
#[derive(Clone, Debug)]
enum Step {
    Submit { entry: usize, once: bool, tasks: usize, ms: u64 },
    Resubmit { index: usize, entry: usize },
    Cancel { index: usize, entry: usize },
    End { index: usize, result: AttemptResult },
    Deliver { index: usize, lose: bool },
    Duplicate { index: usize },
    Drop { index: usize },
    Refuse { index: usize },
    AdvanceTime { ms: u64 },
    Pause { entry: usize },
    Resume { entry: usize },
    Kill { entry: usize },
    Stop { entry: usize },
    Configure { entry: usize, revision: u64 },
    AnnounceDeparture { entry: usize, version: u64, target: usize },
}

fn attempt_result() -> impl Strategy<Value = AttemptResult> {
    prop_oneof![
        12 => Just(AttemptResult::Output),
        2 => Just(AttemptResult::Unreachable),
        2 => Just(AttemptResult::Busy),
        1 => Just(AttemptResult::Leaving),
        1 => Just(AttemptResult::Error),
        1 => Just(AttemptResult::Lost),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let entry = 0..ENTRIES;
    let index = any::<u16>().prop_map(usize::from);
    prop_oneof![
        12 => (entry.clone(), any::<bool>(), 1_usize..9, 100_u64..5_000)
            .prop_map(|(entry, once, tasks, ms)| Step::Submit { entry, once, tasks, ms }),
        6 => (index.clone(), entry.clone()).prop_map(|(index, entry)| Step::Resubmit { index, entry }),
        2 => (index.clone(), entry.clone()).prop_map(|(index, entry)| Step::Cancel { index, entry }),
        20 => (index.clone(), attempt_result()).prop_map(|(index, result)| Step::End { index, result }),
        20 => (index.clone(), prop::bool::weighted(0.1))
            .prop_map(|(index, lose)| Step::Deliver { index, lose }),
        2 => index.clone().prop_map(|index| Step::Duplicate { index }),
        2 => index.prop_map(|index| Step::Drop { index }),
        10 => (1_u64..900).prop_map(|ms| Step::AdvanceTime { ms }),
        1 => entry.clone().prop_map(|entry| Step::Pause { entry }),
        3 => entry.clone().prop_map(|entry| Step::Resume { entry }),
        1 => entry.clone().prop_map(|entry| Step::Kill { entry }),
        1 => entry.clone().prop_map(|entry| Step::Stop { entry }),
        1 => (entry.clone(), 0_u64..6)
            .prop_map(|(entry, revision)| Step::Configure { entry, revision }),
        1 => (entry, 0_u64..6, 0..TARGETS)
            .prop_map(|(entry, version, target)| Step::AnnounceDeparture { entry, version, target }),
    ]
}

/// Like [`step`], but also refuses calls to running peers.
fn step_or_refusal() -> impl Strategy<Value = Step> {
    let index = any::<u16>().prop_map(usize::from);
    prop_oneof![
        9 => step(),
        1 => index.prop_map(|index| Step::Refuse { index }),
    ]
}

fn pick_index(index: usize, length: usize) -> Option<usize> {
    (length > 0).then(|| index % length)
}

fn apply(simulation: &mut Simulation, step: &Step) {
    match *step {
        Step::Submit { entry, once, tasks, ms } => {
            let kind = if once { "once" } else { "plain" };
            simulation.submit(entry, kind, tasks, ms);
        }
        Step::Resubmit { index, entry } => {
            if let Some(index) = pick_index(index, simulation.submissions.len()) {
                simulation.resubmit(index, entry);
            }
        }
        Step::Cancel { index, entry } => {
            if let Some(index) = pick_index(index, simulation.submissions.len()) {
                simulation.cancel(index, entry);
            }
        }
        Step::End { index, result } => {
            if let Some(index) = pick_index(index, simulation.running.len()) {
                simulation.end(index, result);
            }
        }
        Step::Deliver { index, lose } => {
            if let Some(index) = pick_index(index, simulation.calls.len()) {
                simulation.deliver(index, lose);
            }
        }
        Step::Duplicate { index } => {
            if let Some(index) = pick_index(index, simulation.calls.len()) {
                simulation.duplicate(index);
            }
        }
        Step::Drop { index } => {
            if let Some(index) = pick_index(index, simulation.calls.len()) {
                simulation.calls.remove(index);
            }
        }
        Step::Refuse { index } => {
            if let Some(index) = pick_index(index, simulation.calls.len()) {
                simulation.refuse(index);
            }
        }
        Step::AdvanceTime { ms } => simulation.advance_time(Duration::from_millis(ms)),
        Step::Pause { entry } => simulation.entries[entry].is_paused = true,
        Step::Resume { entry } => {
            simulation.entries[entry].is_paused = false;
            simulation.advance(entry);
        }
        Step::Kill { entry } => simulation.kill(entry),
        Step::Stop { entry } => simulation.stop(entry),
        Step::Configure { entry, revision } => simulation.configure(entry, revision),
        Step::AnnounceDeparture { entry, version, target } => {
            simulation.announce_departure(entry, version, target)
        }
    }
    simulation.check_deadlines();
}

fn cases() -> u32 {
    std::env::var(CASES_VARIABLE).ok().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_CASES)
}

/// Runs random sequences of steps and checks the invariants after each step.
fn check_invariants(step: impl Strategy<Value = Step>) {
    let config = Config {
        cases: cases(),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let mut starts = 0;
    let mut outcomes = std::collections::BTreeMap::new();
    let totals = std::cell::RefCell::new((&mut starts, &mut outcomes));
    let steps = prop::collection::vec(step, 1..250);
    let mut runner = proptest::test_runner::TestRunner::new(config);
    let result = runner.run(&steps, |steps| {
        let mut simulation = Simulation::new(ENTRIES);
        for step in &steps {
            apply(&mut simulation, step);
        }
        let mut totals = totals.borrow_mut();
        *totals.0 += simulation.starts;
        for (outcome, count) in simulation.outcomes {
            *totals.1.entry(outcome).or_insert(0_usize) += count;
        }
        Ok(())
    });
    println!("{} cases, {starts} starts, answers {outcomes:?}", cases());
    if let Err(error) = result {
        panic!("{error}");
    }
    assert!(starts > 0 && outcomes.len() == 4, "every outcome occurs");
}

#[test]
fn invariants_hold_under_random_steps() {
    check_invariants(step());
}

#[test]
fn invariants_hold_when_running_peers_refuse_calls() {
    check_invariants(step_or_refusal());
}
