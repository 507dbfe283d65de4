//! Tests of this slice.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::config::{Resources, TargetConfig};
use coltsfootshunt_core::name::{Kind, Target, Zone};
use coltsfootshunt_core::submission::Incarnation;
use coltsfootshunt_testkit::cases;

use super::{Departures, Ownership, Pool, Slot};

const ANY: Resources = Resources { cores: 0, memory_mib: 0, accelerators: 0 };
const LENDER: Incarnation = Incarnation(5);

fn name(number: usize) -> Target {
    Target::try_from(format!("target-{number}")).expect("a name")
}

fn kind(text: &str) -> Kind {
    Kind::try_from(text).expect("a name")
}

fn config(number: usize, slots: u32, accelerators: u32) -> Arc<TargetConfig> {
    Arc::new(TargetConfig {
        name: name(number),
        zone: Zone::try_from("zone").expect("a name"),
        address: "127.0.0.1:9".parse().expect("an address"),
        slots,
        connections: 64,
        has: Resources { accelerators, ..ANY },
    })
}

fn pool(targets: usize) -> Pool {
    let configs: Vec<_> = (0..targets).map(|number| config(number, 2, 0)).collect();
    let mut pool = Pool::default();
    pool.configure(&configs, &Departures::default());
    pool
}

fn leaving(number: usize) -> Departures {
    Departures::new(1, BTreeSet::from([name(number)]))
}

/// Runs tasks until some target is ejected or enough ran. A run fails where `fails` says so.
fn run(pool: &mut Pool, runs: usize, fails: impl Fn(&Slot) -> bool) -> BTreeSet<Target> {
    let now = Instant::now();
    let mut ejected = BTreeSet::new();
    for _ in 0..runs {
        let Some(taken) = pool.take(&ANY, Ownership::Any) else {
            break;
        };
        pool.release(taken.allocation);
        let failed = fails(&taken);
        ejected.extend(pool.record_result(taken.allocation, &kind("kind"), failed, now));
        // Another target comes up next.
        let mean = Duration::from_millis(100);
        pool.record_run_time(taken.allocation, if failed { mean } else { mean * 4 }, mean);
    }
    ejected
}

/// So many of the targets fail all they get; so many are ejected.
fn ejects(targets: usize, bad: usize, wanted: usize) {
    let mut pool = pool(targets);
    let is_bad = |taken: &Slot| (0..bad).any(|number| name(number) == taken.config.name);
    let ejected = run(&mut pool, 400, is_bad);
    assert_eq!(ejected.len(), wanted, "{ejected:?}");
}

cases! { ejects:
    good_targets(10, 0, 0);
    one_bad_target(10, 1, 1);
    no_more_than_a_third(9, 5, 3);
    the_only_target(1, 1, 0);
}

/// A kind that fails everywhere condemns no target.
#[test]
fn bad_kind_ejects_no_target() {
    let mut pool = pool(20);
    let now = Instant::now();
    for round in 0..30 {
        for number in 0..20 {
            let allocation = pool.find_own(&name(number)).expect("it is there");
            let bad = round > 5;
            let text = if bad { "bad" } else { "good" };
            let ejected = pool.record_result(allocation, &kind(text), bad, now);
            assert_eq!(ejected, None, "round {round}");
        }
    }
}

/// An ejected target is probed with one task, and opens as it succeeds.
#[test]
fn ejected_target_is_probed_and_comes_back() {
    let mut pool = pool(4);
    let bad = name(0);
    let ejected = run(&mut pool, 400, |taken| taken.config.name == bad);
    assert!(ejected.contains(&bad));
    assert_eq!(pool.own_usable(), 6);
    let later = Instant::now() + Duration::from_secs(6);
    assert_eq!(pool.probe(later), std::slice::from_ref(&bad));
    assert_eq!(pool.own_usable(), 7, "one slot for the probe");
    let allocation = pool.find_own(&bad).expect("it is there");
    pool.record_result(allocation, &kind("kind"), false, later);
    assert_eq!(pool.own_usable(), 8);
}

/// Slots lent come back, also if the book says otherwise meanwhile.
#[test]
fn lent_slots_come_back() {
    let mut pool = pool(3);
    let offers = pool.lend(&ANY, 4);
    assert_eq!((pool.own_free(), pool.own_lent()), (2, 4));
    for offer in offers {
        pool.reclaim(&offer.target, offer.slots);
    }
    assert_eq!((pool.own_free(), pool.own_lent()), (6, 0));
}

/// Borrowed slots go back but for those in use, and those in use later.
#[test]
fn borrowed_slots_go_back() {
    let now = Instant::now();
    let mut pool = pool(0);
    pool.borrow(LENDER, config(7, 8, 0), 3, now + Duration::from_secs(1));
    let taken = pool.take(&ANY, Ownership::Any).expect("a slot is free");
    assert_eq!(pool.lender(taken.allocation), Some(LENDER));
    assert!(pool.take(&ANY, Ownership::Own).is_none(), "long work takes own slots only");
    let slots =
        |pool: &mut Pool| -> u32 { pool.remove_idle(LENDER).iter().map(|offer| offer.slots).sum() };
    assert_eq!(slots(&mut pool), 2);
    assert!(pool.take(&ANY, Ownership::Any).is_none());
    pool.release(taken.allocation);
    assert_eq!(slots(&mut pool), 1);
    assert_eq!((pool.borrowed(), pool.iter().count()), (0, 0));
}

/// A leaving target gets no new work, whether its slots are own or borrowed.
fn leaving_target(borrowed: bool) {
    let now = Instant::now();
    let mut pool = pool(if borrowed { 0 } else { 1 });
    if borrowed {
        pool.borrow(LENDER, config(0, 8, 0), 2, now + Duration::from_secs(1));
    }
    assert!(pool.has_free(&ANY, Ownership::Any));
    pool.close_leaving(&leaving(0));
    assert!(!pool.has_free(&ANY, Ownership::Any) && pool.take(&ANY, Ownership::Any).is_none());
}

cases! { leaving_target:
    own_slots(false);
    borrowed_slots(true);
}

/// A target that is this entry's no more goes once nothing uses it.
#[test]
fn lost_targets_leave_nothing_behind() {
    let mut pool = pool(3);
    let taken = pool.take(&ANY, Ownership::Any).expect("a slot is free");
    pool.configure(&[], &Departures::default());
    assert_eq!(pool.iter().count(), 1, "one is in use");
    assert!(!pool.has_free(&ANY, Ownership::Any));
    pool.release(taken.allocation);
    assert_eq!((pool.iter().count(), pool.own_usable(), pool.busy()), (0, 0, 0));
}

/// The list with the higher version counts, whoever brings it.
fn list_versions(first: u64, second: u64, wanted: bool) {
    let mut departures = Departures::default();
    departures.replace_if_newer(&Departures::new(first, BTreeSet::new()));
    departures.replace_if_newer(&Departures::new(second, BTreeSet::from([name(0)])));
    assert_eq!(departures.contains(&name(0)), wanted);
}

cases! { list_versions:
    newer(1, 2, true);
    older(2, 1, false);
    same(2, 2, false);
}

/// Tasks go only where there is what they need, fast targets first.
#[test]
fn needs_and_pace_decide() {
    let mut pool = Pool::default();
    let configs = [config(0, 1, 0), config(1, 1, 2), config(2, 1, 0)];
    pool.configure(&configs, &Departures::default());
    let slow = pool.find_own(&name(0)).expect("it is there");
    for _ in 0..30 {
        pool.record_run_time(slow, Duration::from_millis(300), Duration::from_millis(100));
    }
    let needs = Resources { accelerators: 1, ..ANY };
    assert_eq!(pool.take(&needs, Ownership::Any).expect("one has them").config.name, name(1));
    assert!(pool.take(&needs, Ownership::Any).is_none());
    assert_eq!(
        pool.take(&ANY, Ownership::Any).expect("a slot is free").config.name,
        name(2),
        "the fast one first"
    );
    assert_eq!(pool.take(&ANY, Ownership::Any).expect("a slot is free").config.name, name(0));
}
