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
