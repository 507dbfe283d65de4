use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Zone;
use coltsfootshunt_testkit::cases;

use super::Zones;

/// A zone that one steward can serve must not get the policies of a dense one.
fn is_dense(targets: usize, max_cpu_millis: u32, after_ms: u64, expected: bool) {
    let start = Instant::now();
    let zone = Zone::try_from("a").unwrap();
    let counts = BTreeMap::from([(zone.clone(), targets)]);
    let mut zones = Zones::default();
    zones.update(&counts, max_cpu_millis, start);
    zones.update(&counts, max_cpu_millis, start + Duration::from_millis(after_ms));
    assert_eq!(zones.contains(&zone), expected);
    assert_eq!(zones.is_empty(), !expected);
}

cases! { is_dense:
    with_more_targets_than_a_core_serves(117, 500, 2_000, true);
    not_with_fewer(90, 500, 2_000, false);
    not_at_the_limit(100, 500, 2_000, false);
    not_on_small_hosts_with_few_targets(16, 250, 2_000, false);
    not_before_the_hosts_are_known(117, 500, 1_900, false);
}

/// A host that knows only itself at first hears of a larger one.
#[test]
fn is_not_dense_once_a_larger_host_is_known() {
    let start = Instant::now();
    let zone = Zone::try_from("a").unwrap();
    let counts = BTreeMap::from([(zone.clone(), 88)]);
    let mut zones = Zones::default();
    zones.update(&counts, 90, start);
    zones.update(&counts, 500, start + Duration::from_secs(1));
    zones.update(&counts, 500, start + Duration::from_secs(3));
    assert!(!zones.contains(&zone));
}
