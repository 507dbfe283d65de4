//! Attempts to reach hosts that are not heard.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use coltsfootshunt_testkit::cases;

use crate::member::Contacts;

/// Counts the attempts to reach one host in a time since it is not heard.
fn attempts(is_close: bool, from_s: u64, for_s: u64, expected: std::ops::RangeInclusive<usize>) {
    let start = Instant::now();
    let mut contacts = Contacts::default();
    contacts.add("10.0.0.2:80".parse().unwrap(), is_close, start);
    let mut count = 0;
    for tick in 0..(from_s + for_s) * 20 {
        let now = start + Duration::from_millis(50) * u32::try_from(tick).unwrap();
        let due = contacts.due(now).len();
        count += if tick >= from_s * 20 { due } else { 0 };
    }
    assert!(expected.contains(&count), "{count}");
}

cases! { attempts:
    to_a_host_that_was_watched_closely(true, 0, 10, 39..=41);
    to_another_host(false, 0, 10, 9..=11);
    after_most_partitions_have_ended(true, 10, 10, 4..=6);
    to_a_host_that_was_probably_removed(true, 60, 60, 5..=7);
}

/// Guards against a host that is told late that its peer had lost it.
#[test]
fn a_host_that_was_just_lost_is_contacted_at_once() {
    let start = Instant::now();
    let address = "10.0.0.2:80".parse().unwrap();
    let mut contacts = Contacts::default();
    contacts.add(address, false, start);
    assert_eq!(contacts.due(start), [address]);
    assert!(contacts.due(start).is_empty());
    contacts.remove(address);
    contacts.add(address, false, start);
    assert_eq!(contacts.due(start), [address]);
}

/// Guards against a wrong list of hosts: a host that tries to reach thousands of addresses has no time for
/// anything else.
#[test]
fn a_list_of_ten_thousand_hosts_is_cut_off() {
    let start = Instant::now();
    let mut contacts = Contacts::default();
    let address = |number: u32| SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + number), 80));
    let added = (0..10_000).filter(|number| contacts.add(address(*number), true, start)).count();
    assert_eq!(added, 2_048);
    assert!(!contacts.add(SocketAddr::from(([10, 0, 0, 1], 0)), true, start), "port 0");
    assert!(contacts.add(address(5), true, start), "a known address");
    let mut reached = BTreeSet::new();
    for tick in 0..40 {
        let due = contacts.due(start + Duration::from_millis(50) * tick);
        assert!(due.len() <= 64);
        reached.extend(due);
    }
    assert_eq!(reached.len(), 2_048, "all get their turn");
}
