use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Service, Target, Zone};
use coltsfootshunt_testkit::cases;

use super::{Directory, Entry, State};
use crate::job::Resources;

pub(crate) fn entry(name: &str, zone: &str) -> Entry {
    Entry {
        name: Target::try_from(name).unwrap(),
        started_at_ms: 1,
        address: "10.0.0.1:80".parse().unwrap(),
        zone: Zone::try_from(zone).unwrap(),
        service: Service::try_from("mill").unwrap(),
        capacity: Resources { cpu_millis: 32_000, memory_mb: 1_000, accelerators: 0 },
        labels: Vec::new(),
        state: State::Ready,
        is_cold: false,
    }
}

/// An entry that two reads of the store lack counts until the grace period is over.
fn known_after_missing_for(after_ms: u64, known: bool) {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.replace(vec![entry("a", "z"), entry("b", "z")], start);
    directory.replace(vec![entry("a", "z")], start);
    directory.replace(vec![entry("a", "z")], start + Duration::from_millis(after_ms));
    let b = Target::try_from("b").unwrap();
    assert_eq!(directory.get(&b).is_some(), known);
    assert_eq!(directory.vanished().any(|entry| entry.name == b), !known);
}

cases! { known_after_missing_for:
    less_than_the_grace_period(2_000, true);
    longer_than_the_grace_period(3_000, false);
}

/// An entry without a start time, by another writer, replaced that of a target: tasks were started by its
/// capacity, above that of the target.
fn keeps_capacity_of(start_times: &[u64], wanted: u64, is_by_peer: bool) {
    let now = Instant::now();
    let mut directory = Directory::default();
    for (number, started_at_ms) in (1..).zip(start_times) {
        let capacity = Resources { cpu_millis: number, ..Resources::default() };
        let listed = Entry { started_at_ms: *started_at_ms, capacity, ..entry("a", "z") };
        if is_by_peer {
            directory.update(vec![listed]);
        } else {
            directory.replace(vec![listed], now);
        }
    }
    let known = directory.get(&Target::try_from("a").unwrap()).unwrap();
    assert_eq!(known.capacity.cpu_millis, wanted);
}

cases! { keeps_capacity_of:
    the_last_entry_with_a_start_time(&[7, 0, 0], 1, false);
    the_last_entry_of_a_target_that_overwrites_the_other(&[7, 0, 7], 3, false);
    a_new_incarnation(&[7, 0, 8], 3, false);
    the_last_entry_if_none_has_a_start_time(&[0, 0], 2, false);
    the_first_entry_with_a_start_time(&[0, 7], 2, false);
    the_last_entry_with_a_start_time_from_a_peer(&[7, 0], 1, true);
}

/// A target whose entry is another writer's for longer than the grace period is missing, and comes back with its
/// own entry only.
#[test]
fn overwritten_for_longer_than_the_grace_period() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let foreign = || vec![Entry { started_at_ms: 0, ..entry("a", "z") }];
    let mut directory = Directory::default();
    directory.replace(vec![entry("a", "z")], start);
    assert_eq!(directory.replace(foreign(), start).len(), 1);
    assert!(directory.replace(foreign(), at(2_000)).is_empty(), "it is told once");
    assert!(!directory.is_empty());
    for read_ms in [2_600, 2_700] {
        directory.replace(foreign(), at(read_ms));
        assert!(directory.is_empty());
    }
    directory.replace(vec![entry("a", "z")], at(2_800));
    assert!(!directory.is_empty());
}
