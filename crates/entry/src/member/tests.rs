//! Tests of this slice.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use coltsfootshunt_core::config::Revision;
use coltsfootshunt_core::name::{Host, Target, Zone};
use coltsfootshunt_core::submission::Incarnation;
use coltsfootshunt_testkit::cases;

use super::{HEARTBEAT_INTERVAL, Heartbeat, Identity, Membership, PEER_TIMEOUT, Status, assign};
use crate::target::Departures;

fn zone(text: &str) -> Zone {
    Zone::try_from(text).expect("a name")
}

fn address(number: u64) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8_000 + number as u16)
}

fn brief(number: u64, zone_name: &str) -> Status {
    Status {
        host: Host::try_from(format!("entry-{number}")).expect("a name"),
        zone: zone(zone_name),
        incarnation: Incarnation(number),
        address: address(number),
        weight: 1,
        slots: 8,
        idle: 0,
        waiting: 0,
        revision: Revision(1),
        draining: false,
        inherited: Vec::new(),
    }
}

fn beat(number: u64, zone_name: &str, others: Option<Vec<Status>>) -> Heartbeat {
    Heartbeat {
        status: brief(number, zone_name),
        round: 1,
        echo: None,
        departures: Departures::default(),
        borrowed: Vec::new(),
        others,
    }
}

fn roster(number: u64, zone_name: &str) -> Membership {
    let Status { host, zone, incarnation, address, weight, .. } = brief(number, zone_name);
    Membership::new(Identity { host, zone, incarnation, address, weight }, [])
}

fn targets(count: usize) -> Vec<Target> {
    (0..count).map(|n| Target::try_from(format!("target-{n}")).expect("a name")).collect()
}

/// Every target has one steward, and stewards get their part by weight, give or take a target.
fn shares_targets(weights: &[u32], count: usize) {
    let targets = targets(count);
    let members: Vec<_> =
        weights.iter().enumerate().map(|(n, w)| (Incarnation(n as u64 + 1), *w)).collect();
    let assigned = assign(targets.iter().map(|target| (target, 8)), &members);
    assert_eq!(assigned.len(), count);
    let mut counts = BTreeMap::new();
    for steward in assigned.values() {
        *counts.entry(*steward).or_insert(0_usize) += 1;
    }
    let all: u32 = weights.iter().sum();
    for (member, weight) in members {
        let part = count as f64 * f64::from(weight) / f64::from(all);
        let got = counts.get(&member).copied().unwrap_or_default() as f64;
        assert!(got <= part.ceil() + 1.0, "{member}: {got} of {part}");
    }
}

cases! { shares_targets:
    one_member(&[1], 10);
    equal_members(&[1, 1, 1, 1], 50);
    unlike_members(&[1, 2, 5], 80);
    fewer_targets_than_members(&[1, 1, 1, 1], 2);
}

/// Losing one of the members moves little more than its own targets.
#[test]
fn loss_of_a_member_moves_few_targets() {
    let targets = targets(200);
    let with = |members: &[(Incarnation, u32)]| -> BTreeMap<Target, Incarnation> {
        let assigned = assign(targets.iter().map(|target| (target, 8)), members);
        assigned.into_iter().map(|(target, steward)| (target.clone(), steward)).collect()
    };
    let members: Vec<_> = (1..=8).map(|n| (Incarnation(n), 1)).collect();
    let before = with(&members);
    let after = with(&members[1..]);
    let moved = before.iter().filter(|(target, steward)| after[*target] != **steward).count();
    assert!(moved <= 80, "{moved} of 200 moved, 25 had to");
}

/// Whom an entry of this incarnation exchanges heartbeats with, of entries 1 to 4 in its zone and
/// 11 to 14 in another.
fn exchanges(me: u64, wanted: &[u64]) {
    let now = Instant::now();
    let mut roster = roster(me, "here");
    for other in (1..=4).filter(|other| *other != me) {
        roster.record_heartbeat(&beat(other, "here", None), now);
    }
    let far = (11..=14).map(|other| brief(other, "there")).collect();
    roster.record_heartbeat(&beat(if me == 1 { 2 } else { 1 }, "here", Some(far)), now);
    let found: BTreeSet<_> = roster.start_round().into_iter().collect();
    assert_eq!(found, wanted.iter().map(|n| address(*n)).collect());
}

cases! { exchanges:
    first_delegate(1, &[2, 3, 4, 11, 12]);
    second_delegate(2, &[3, 4, 11, 12]);
    plain_member(3, &[4]);
    last_member(4, &[]);
}

/// A peer that falls silent fails; one that another delegate vouches for lives.
fn silence(direct: bool, vouched: bool, passed: Duration, lives: bool) {
    let start = Instant::now();
    let mut roster = roster(9, "here");
    let far = vec![brief(5, "there")];
    if direct {
        roster.record_heartbeat(&beat(5, "there", None), start);
    }
    let mut now = start;
    while now < start + passed {
        let others = vouched.then(|| far.clone());
        roster.record_heartbeat(&beat(1, "here", others.or(Some(Vec::new()))), now);
        now += HEARTBEAT_INTERVAL;
    }
    roster.remove_failed(start + passed);
    assert_eq!(roster.get(Incarnation(5)).is_some(), lives);
}

cases! { silence:
    short_silence(true, false, PEER_TIMEOUT - HEARTBEAT_INTERVAL, true);
    long_silence(true, false, PEER_TIMEOUT + HEARTBEAT_INTERVAL, false);
    heard_of_through_a_delegate(false, true, PEER_TIMEOUT * 6, true);
    direct_then_through_a_delegate(true, true, PEER_TIMEOUT * 6, true);
}

/// A new incarnation at an address takes the place of the former one at once.
#[test]
fn restart_replaces_the_former_incarnation() {
    let now = Instant::now();
    let mut roster = roster(1, "here");
    roster.record_heartbeat(&beat(2, "here", None), now);
    let mut again = beat(3, "here", None);
    again.status.address = address(2);
    roster.record_heartbeat(&again, now);
    assert!(roster.get(Incarnation(2)).is_none() && roster.get(Incarnation(3)).is_some());
}

/// Where a zone has entries they share its targets; where it has none, all do.
fn stewards_of(zone_name: &str, wanted: &[u64]) {
    let now = Instant::now();
    let mut roster = roster(1, "here");
    roster.record_heartbeat(&beat(2, "here", None), now);
    roster.record_heartbeat(&beat(11, "there", None), now);
    let members = roster.stewards(&zone(zone_name), false);
    let found: Vec<_> = members.into_iter().map(|(member, _)| member.0).collect();
    assert_eq!(found, wanted);
}

cases! { stewards_of:
    own_zone("here", &[1, 2]);
    another_zone("there", &[11]);
    zone_without_entries("nowhere", &[1, 2, 11]);
}
