//! Invariants under random sequences of requests, lost, duplicated and reordered calls, pauses,
//! kills, planned stops and configurations.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use super::fixture::TARGETS;
use super::simulation::{How, World};

/// Entries in each simulation.
const ENTRIES: usize = 3;
/// Number of random cases, unless the environment sets it.
const CASES: u32 = 300;
/// Environment variable that sets the number of random cases.
const CASES_VARIABLE: &str = "COLTSFOOTSHUNT_CASES";
/// Seed of the random cases.
const SEED: u64 = 20_261_204;

#[derive(Clone, Debug)]
enum Step {
    Submit { entry: usize, once: bool, tasks: usize, ms: u64 },
    Repeat { which: usize, entry: usize },
    Cancel { which: usize, entry: usize },
    End { which: usize, how: How },
    Deliver { which: usize, lose: bool },
    Double { which: usize },
    Drop { which: usize },
    Refuse { which: usize },
    Pass { ms: u64 },
    Freeze { entry: usize },
    Wake { entry: usize },
    Kill { entry: usize },
    Stop { entry: usize },
    Configure { entry: usize, revision: u64 },
    Leave { entry: usize, version: u64, target: usize },
}

fn how() -> impl Strategy<Value = How> {
    prop_oneof![
        12 => Just(How::Output),
        2 => Just(How::Unreachable),
        2 => Just(How::Busy),
        1 => Just(How::Leaving),
        1 => Just(How::Error),
        1 => Just(How::Lost),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let entry = 0..ENTRIES;
    let index = any::<u16>().prop_map(usize::from);
    prop_oneof![
        12 => (entry.clone(), any::<bool>(), 1_usize..9, 100_u64..5_000)
            .prop_map(|(entry, once, tasks, ms)| Step::Submit { entry, once, tasks, ms }),
        6 => (index.clone(), entry.clone()).prop_map(|(which, entry)| Step::Repeat { which, entry }),
        2 => (index.clone(), entry.clone()).prop_map(|(which, entry)| Step::Cancel { which, entry }),
        20 => (index.clone(), how()).prop_map(|(which, how)| Step::End { which, how }),
        20 => (index.clone(), prop::bool::weighted(0.1))
            .prop_map(|(which, lose)| Step::Deliver { which, lose }),
        2 => index.clone().prop_map(|which| Step::Double { which }),
        2 => index.prop_map(|which| Step::Drop { which }),
        10 => (1_u64..900).prop_map(|ms| Step::Pass { ms }),
        1 => entry.clone().prop_map(|entry| Step::Freeze { entry }),
        3 => entry.clone().prop_map(|entry| Step::Wake { entry }),
        1 => entry.clone().prop_map(|entry| Step::Kill { entry }),
        1 => entry.clone().prop_map(|entry| Step::Stop { entry }),
        1 => (entry.clone(), 0_u64..6)
            .prop_map(|(entry, revision)| Step::Configure { entry, revision }),
        1 => (entry, 0_u64..6, 0..TARGETS)
            .prop_map(|(entry, version, target)| Step::Leave { entry, version, target }),
    ]
}

/// Also refuses calls to peers that run.
fn step_or_refusal() -> impl Strategy<Value = Step> {
    let which = any::<u16>().prop_map(usize::from);
    prop_oneof![
        9 => step(),
        1 => which.prop_map(|which| Step::Refuse { which }),
    ]
}

fn place(which: usize, length: usize) -> Option<usize> {
    (length > 0).then(|| which % length)
}

fn take(world: &mut World, step: &Step) {
    match *step {
        Step::Submit { entry, once, tasks, ms } => {
            let kind = if once { "once" } else { "plain" };
            world.submit(entry, kind, tasks, ms);
        }
        Step::Repeat { which, entry } => {
            if let Some(which) = place(which, world.submissions.len()) {
                world.repeat(which, entry);
            }
        }
        Step::Cancel { which, entry } => {
            if let Some(which) = place(which, world.submissions.len()) {
                world.cancel(which, entry);
            }
        }
        Step::End { which, how } => {
            if let Some(which) = place(which, world.running.len()) {
                world.end(which, how);
            }
        }
        Step::Deliver { which, lose } => {
            if let Some(which) = place(which, world.mail.len()) {
                world.deliver(which, lose);
            }
        }
        Step::Double { which } => {
            if let Some(which) = place(which, world.mail.len()) {
                world.double(which);
            }
        }
        Step::Drop { which } => {
            if let Some(which) = place(which, world.mail.len()) {
                world.mail.remove(which);
            }
        }
        Step::Refuse { which } => {
            if let Some(which) = place(which, world.mail.len()) {
                world.refuse(which);
            }
        }
        Step::Pass { ms } => world.pass(Duration::from_millis(ms)),
        Step::Freeze { entry } => world.entries[entry].frozen = true,
        Step::Wake { entry } => {
            world.entries[entry].frozen = false;
            world.settle(entry);
        }
        Step::Kill { entry } => world.kill(entry),
        Step::Stop { entry } => world.stop(entry),
        Step::Configure { entry, revision } => world.configure(entry, revision),
        Step::Leave { entry, version, target } => world.leave(entry, version, target),
    }
    world.check();
}

fn cases() -> u32 {
    std::env::var(CASES_VARIABLE).ok().and_then(|text| text.parse().ok()).unwrap_or(CASES)
}

fn promises_hold(step: impl Strategy<Value = Step>) {
    let config = Config {
        cases: cases(),
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let mut starts = 0;
    let mut outcomes = std::collections::BTreeMap::new();
    let counted = std::cell::RefCell::new((&mut starts, &mut outcomes));
    let steps = prop::collection::vec(step, 1..250);
    let mut runner = proptest::test_runner::TestRunner::new(config);
    let result = runner.run(&steps, |steps| {
        let mut world = World::new(ENTRIES);
        for step in &steps {
            take(&mut world, step);
        }
        let mut counted = counted.borrow_mut();
        *counted.0 += world.starts;
        for (outcome, count) in world.outcomes {
            *counted.1.entry(outcome).or_insert(0_usize) += count;
        }
        Ok(())
    });
    println!("{} cases, {starts} starts, answers {outcomes:?}", cases());
    if let Err(error) = result {
        panic!("{error}");
    }
    assert!(starts > 0 && outcomes.len() == 4, "every outcome comes up");
}

#[test]
fn promises_hold_in_any_interleaving() {
    promises_hold(step());
}

#[test]
fn promises_hold_where_peers_that_live_refuse() {
    promises_hold(step_or_refusal());
}
