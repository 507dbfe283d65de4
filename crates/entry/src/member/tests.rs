//! Tests of the membership and the assignment of stewards.

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
    Zone::try_from(text).expect("valid name")
}

fn address(number: u64) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8_000 + number as u16)
}

fn status(number: u64, zone_name: &str) -> Status {
    Status {
        host: Host::try_from(format!("entry-{number}")).expect("valid name"),
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

fn heartbeat(number: u64, zone_name: &str, others: Option<Vec<Status>>) -> Heartbeat {
    Heartbeat {
        status: status(number, zone_name),
        round: 1,
        echo: None,
        departures: Departures::default(),
        borrowed: Vec::new(),
        others,
    }
}

fn membership(number: u64, zone_name: &str) -> Membership {
    let Status { host, zone, incarnation, address, weight, .. } = status(number, zone_name);
    Membership::new(Identity { host, zone, incarnation, address, weight }, [])
}

fn targets(count: usize) -> Vec<Target> {
    (0..count).map(|n| Target::try_from(format!("target-{n}")).expect("valid name")).collect()
}

/// Every target has one steward, and no member gets more than its share by weight, rounded up, plus
/// one target.
fn members_get_shares(weights: &[u32], count: usize) {
    let targets = targets(count);
    let members: Vec<_> =
        weights.iter().enumerate().map(|(n, w)| (Incarnation(n as u64 + 1), *w)).collect();
    let assigned = assign(targets.iter().map(|target| (target, 8)), &members);
    assert_eq!(assigned.len(), count);
    let mut counts = BTreeMap::new();
    for steward in assigned.values() {
        *counts.entry(*steward).or_insert(0_usize) += 1;
    }
    let total: u32 = weights.iter().sum();
    for (member, weight) in members {
        let share = count as f64 * f64::from(weight) / f64::from(total);
        let got = counts.get(&member).copied().unwrap_or_default() as f64;
        assert!(got <= share.ceil() + 1.0, "{member}: {got} of {share}");
    }
}

cases! { members_get_shares:
    one_member(&[1], 10);
    equal_members(&[1, 1, 1, 1], 50);
    members_of_different_weights(&[1, 2, 5], 80);
    fewer_targets_than_members(&[1, 1, 1, 1], 2);
}

/// When a member fails, few targets change their steward beside its own.
#[test]
fn loss_of_a_member_moves_few_targets() {
    let targets = targets(200);
    let assign_to = |members: &[(Incarnation, u32)]| -> BTreeMap<Target, Incarnation> {
        let assigned = assign(targets.iter().map(|target| (target, 8)), members);
        assigned.into_iter().map(|(target, steward)| (target.clone(), steward)).collect()
    };
    let members: Vec<_> = (1..=8).map(|n| (Incarnation(n), 1)).collect();
    let before = assign_to(&members);
    let after = assign_to(&members[1..]);
    let moved = before.iter().filter(|(target, steward)| after[*target] != **steward).count();
    assert!(moved <= 80, "{moved} of 200 targets moved, only 25 had to");
}

/// Entry `me` knows entries 1 to 4 of its zone directly, and entries 11 to 14 of another zone
/// through a delegate. In a round it has to start the exchanges with `wanted`.
fn starts_exchanges(me: u64, wanted: &[u64]) {
    let now = Instant::now();
    let mut membership = membership(me, "here");
    for other in (1..=4).filter(|other| *other != me) {
        membership.record_heartbeat(&heartbeat(other, "here", None), now);
    }
    let far = (11..=14).map(|other| status(other, "there")).collect();
    membership.record_heartbeat(&heartbeat(if me == 1 { 2 } else { 1 }, "here", Some(far)), now);
    let found: BTreeSet<_> = membership.start_round().into_iter().collect();
    assert_eq!(found, wanted.iter().map(|n| address(*n)).collect());
}

cases! { starts_exchanges:
    first_delegate(1, &[2, 3, 4, 11, 12]);
    second_delegate(2, &[3, 4, 11, 12]);
    member_that_is_no_delegate(3, &[4]);
    last_member(4, &[]);
}

/// After `elapsed` without a heartbeat from it, a peer counts as failed unless a delegate lists it.
/// `is_direct` says whether it sent a heartbeat at the start.
fn silent_peer(is_direct: bool, is_listed: bool, elapsed: Duration, is_alive: bool) {
    let start = Instant::now();
    let mut membership = membership(9, "here");
    let far = vec![status(5, "there")];
    if is_direct {
        membership.record_heartbeat(&heartbeat(5, "there", None), start);
    }
    let mut now = start;
    while now < start + elapsed {
        let others = is_listed.then(|| far.clone());
        membership.record_heartbeat(&heartbeat(1, "here", others.or(Some(Vec::new()))), now);
        now += HEARTBEAT_INTERVAL;
    }
    membership.remove_failed(start + elapsed);
    assert_eq!(membership.get(Incarnation(5)).is_some(), is_alive);
}

cases! { silent_peer:
    short_silence(true, false, PEER_TIMEOUT - HEARTBEAT_INTERVAL, true);
    long_silence(true, false, PEER_TIMEOUT + HEARTBEAT_INTERVAL, false);
    listed_by_a_delegate(false, true, PEER_TIMEOUT * 6, true);
    direct_then_listed_by_a_delegate(true, true, PEER_TIMEOUT * 6, true);
}

/// A new incarnation replaces the previous one at the same address at once.
#[test]
fn restart_replaces_the_previous_incarnation() {
    let now = Instant::now();
    let mut membership = membership(1, "here");
    membership.record_heartbeat(&heartbeat(2, "here", None), now);
    let mut restarted = heartbeat(3, "here", None);
    restarted.status.address = address(2);
    membership.record_heartbeat(&restarted, now);
    assert!(membership.get(Incarnation(2)).is_none() && membership.get(Incarnation(3)).is_some());
}

/// Guards against a member that has ended and counts as alive again: late word of a replaced
/// incarnation, its own or a delegate's, brought it back.
fn replaced_incarnation_stays_gone(late: &Heartbeat) {
    let now = Instant::now();
    let mut membership = membership(1, "here");
    membership.record_heartbeat(&heartbeat(2, "here", None), now);
    let mut restarted = heartbeat(3, "here", None);
    restarted.status.address = address(2);
    membership.record_heartbeat(&restarted, now);
    membership.record_heartbeat(late, now);
    assert!(membership.get(Incarnation(2)).is_none() && membership.get(Incarnation(3)).is_some());
}

cases! { replaced_incarnation_stays_gone:
    after_its_own_late_heartbeat(&heartbeat(2, "here", None));
    after_an_outdated_list(&heartbeat(4, "here", Some(vec![status(2, "here")])));
}

/// The entries of a zone share its targets; if it has none, all entries do.
fn stewards_of(zone_name: &str, wanted: &[u64]) {
    let now = Instant::now();
    let mut membership = membership(1, "here");
    membership.record_heartbeat(&heartbeat(2, "here", None), now);
    membership.record_heartbeat(&heartbeat(11, "there", None), now);
    let members = membership.stewards(&zone(zone_name), false);
    let found: Vec<_> = members.into_iter().map(|(member, _)| member.0).collect();
    assert_eq!(found, wanted);
}

cases! { stewards_of:
    own_zone("here", &[1, 2]);
    another_zone("there", &[11]);
    zone_without_entries("nowhere", &[1, 2, 11]);
}
