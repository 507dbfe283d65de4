//! Tests of targets and their slots.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::config::{Resources, TargetConfig};
use coltsfootshunt_core::name::{Kind, Target, Zone};
use coltsfootshunt_core::submission::Incarnation;
use coltsfootshunt_testkit::cases;

use super::{Departures, Ownership, Pool, Slot};

const NO_NEEDS: Resources = Resources { cores: 0, memory_mib: 0, accelerators: 0 };
const LENDER: Incarnation = Incarnation(5);

fn name(number: usize) -> Target {
    Target::try_from(format!("target-{number}")).expect("a valid name")
}

fn kind(text: &str) -> Kind {
    Kind::try_from(text).expect("a valid name")
}

fn config(number: usize, slots: u32, accelerators: u32) -> Arc<TargetConfig> {
    Arc::new(TargetConfig {
        name: name(number),
        zone: Zone::try_from("zone").expect("a valid name"),
        address: "127.0.0.1:9".parse().expect("a valid address"),
        slots,
        connections: 64,
        has: Resources { accelerators, ..NO_NEEDS },
    })
}

/// A pool of own targets with two slots each.
fn pool(targets: usize) -> Pool {
    let configs: Vec<_> = (0..targets).map(|number| config(number, 2, 0)).collect();
    let mut pool = Pool::default();
    pool.configure(&configs, &Departures::default());
    pool
}

fn leaving(number: usize) -> Departures {
    Departures::new(1, BTreeSet::from([name(number)]))
}

/// Runs tasks one after another until no slot is free or `runs` have ended. A run fails if `fails`
/// returns true for its slot. Returns the ejected targets.
fn run(pool: &mut Pool, runs: usize, fails: impl Fn(&Slot) -> bool) -> BTreeSet<Target> {
    let now = Instant::now();
    let mut ejected = BTreeSet::new();
    for _ in 0..runs {
        let Some(slot) = pool.take(&NO_NEEDS, Ownership::Any) else {
            break;
        };
        pool.release(slot.allocation);
        let failed = fails(&slot);
        ejected.extend(pool.record_result(slot.allocation, &kind("kind"), failed, now));
        // A successful run counts as slow, so that the next task goes to another target.
        let mean = Duration::from_millis(100);
        pool.record_run_time(slot.allocation, if failed { mean } else { mean * 4 }, mean);
    }
    ejected
}

/// Checks how many targets are ejected if all runs on the first `failing` targets fail.
fn ejects(targets: usize, failing: usize, expected: usize) {
    let mut pool = pool(targets);
    let is_failing = |slot: &Slot| (0..failing).any(|number| name(number) == slot.config.name);
    let ejected = run(&mut pool, 400, is_failing);
    assert_eq!(ejected.len(), expected, "{ejected:?}");
}

cases! { ejects:
    no_failing_target(10, 0, 0);
    one_failing_target(10, 1, 1);
    at_most_a_third(9, 5, 3);
    not_the_only_target(1, 1, 0);
}

/// A kind that fails on all targets ejects none of them.
#[test]
fn failing_kind_ejects_no_target() {
    let mut pool = pool(20);
    let now = Instant::now();
    for round in 0..30 {
        for number in 0..20 {
            let allocation = pool.find_own(&name(number)).expect("the target is configured");
            let failed = round > 5;
            let text = if failed { "bad" } else { "good" };
            let ejected = pool.record_result(allocation, &kind(text), failed, now);
            assert_eq!(ejected, None, "round {round}");
        }
    }
}

/// An ejected target is probed with one task, and gets all its slots back after a success.
#[test]
fn ejected_target_is_probed_and_restored() {
    let mut pool = pool(4);
    let failing = name(0);
    let ejected = run(&mut pool, 400, |slot| slot.config.name == failing);
    assert!(ejected.contains(&failing));
    assert_eq!(pool.own_usable(), 6);
    let later = Instant::now() + Duration::from_secs(6);
    assert_eq!(pool.probe(later), std::slice::from_ref(&failing));
    assert_eq!(pool.own_usable(), 7, "the probe may use one slot");
    let allocation = pool.find_own(&failing).expect("the target is configured");
    pool.record_result(allocation, &kind("kind"), false, later);
    assert_eq!(pool.own_usable(), 8);
}

/// Lent slots are not free until they are reclaimed.
#[test]
fn lent_slots_are_reclaimed() {
    let mut pool = pool(3);
    let granted = pool.lend(&NO_NEEDS, 4);
    assert_eq!((pool.own_free(), pool.own_lent()), (2, 4));
    for lent in granted {
        pool.reclaim(&lent.target, lent.slots);
    }
    assert_eq!((pool.own_free(), pool.own_lent()), (6, 0));
}

/// Only idle borrowed slots are removed for return. A busy one follows once its task has ended.
#[test]
fn busy_borrowed_slots_are_returned_later() {
    let now = Instant::now();
    let mut pool = pool(0);
    pool.borrow(LENDER, config(7, 8, 0), 3, now + Duration::from_secs(1));
    let slot = pool.take(&NO_NEEDS, Ownership::Any).expect("a slot is free");
    assert_eq!(pool.lender(slot.allocation), Some(LENDER));
    assert!(pool.take(&NO_NEEDS, Ownership::Own).is_none(), "the free slots are borrowed");
    let removed =
        |pool: &mut Pool| -> u32 { pool.remove_idle(LENDER).iter().map(|lent| lent.slots).sum() };
    assert_eq!(removed(&mut pool), 2);
    assert!(pool.take(&NO_NEEDS, Ownership::Any).is_none());
    pool.release(slot.allocation);
    assert_eq!(removed(&mut pool), 1);
    assert_eq!((pool.borrowed(), pool.iter().count()), (0, 0));
}

/// A leaving target gets no new tasks, whether its slots are own or borrowed.
fn leaving_target(borrowed: bool) {
    let now = Instant::now();
    let mut pool = pool(if borrowed { 0 } else { 1 });
    if borrowed {
        pool.borrow(LENDER, config(0, 8, 0), 2, now + Duration::from_secs(1));
    }
    assert!(pool.has_free(&NO_NEEDS, Ownership::Any));
    pool.close_leaving(&leaving(0));
    assert!(
        !pool.has_free(&NO_NEEDS, Ownership::Any) && pool.take(&NO_NEEDS, Ownership::Any).is_none()
    );
}

cases! { leaving_target:
    own_slots(false);
    borrowed_slots(true);
}

/// A target that this entry is no longer steward of stays in the pool until its last task ends.
#[test]
fn unassigned_target_is_removed_once_idle() {
    let mut pool = pool(3);
    let slot = pool.take(&NO_NEEDS, Ownership::Any).expect("a slot is free");
    pool.configure(&[], &Departures::default());
    assert_eq!(pool.iter().count(), 1, "one target is in use");
    assert!(!pool.has_free(&NO_NEEDS, Ownership::Any));
    pool.release(slot.allocation);
    assert_eq!((pool.iter().count(), pool.own_usable(), pool.busy()), (0, 0, 0));
}

/// The list of leaving targets with the higher version counts, whichever arrives first.
fn list_versions(first: u64, second: u64, expected: bool) {
    let mut departures = Departures::default();
    departures.replace_if_newer(&Departures::new(first, BTreeSet::new()));
    departures.replace_if_newer(&Departures::new(second, BTreeSet::from([name(0)])));
    assert_eq!(departures.contains(&name(0)), expected);
}

cases! { list_versions:
    newer(1, 2, true);
    older(2, 1, false);
    same(2, 2, false);
}

/// A task goes only to a target that covers its needs, and to the fastest of these.
#[test]
fn needs_and_slowness_determine_target() {
    let mut pool = Pool::default();
    let configs = [config(0, 1, 0), config(1, 1, 2), config(2, 1, 0)];
    pool.configure(&configs, &Departures::default());
    let slow = pool.find_own(&name(0)).expect("the target is configured");
    for _ in 0..30 {
        pool.record_run_time(slow, Duration::from_millis(300), Duration::from_millis(100));
    }
    let needs = Resources { accelerators: 1, ..NO_NEEDS };
    assert_eq!(
        pool.take(&needs, Ownership::Any).expect("one target has accelerators").config.name,
        name(1)
    );
    assert!(pool.take(&needs, Ownership::Any).is_none());
    assert_eq!(
        pool.take(&NO_NEEDS, Ownership::Any).expect("a slot is free").config.name,
        name(2),
        "the faster target first"
    );
    assert_eq!(pool.take(&NO_NEEDS, Ownership::Any).expect("a slot is free").config.name, name(0));
}

/// Guards against a loan that takes the place of an own target in a pool that has had 2^32
/// allocations: its identifier was in use.
#[test]
fn allocations_keep_their_identifiers_after_many_loans() {
    let mut pool = pool(1);
    pool.next_id = u32::MAX.into();
    let expires_at = Instant::now() + Duration::from_secs(1);
    for number in 1..3 {
        pool.borrow(LENDER, config(number, 2, 0), 2, expires_at);
    }
    assert_eq!(pool.iter().count(), 3);
    assert!(pool.iter().any(|allocation| allocation.config.name == name(0)));
}
