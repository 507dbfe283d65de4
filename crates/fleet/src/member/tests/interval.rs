//! How often hosts send heartbeats, and when one counts as lost.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Zone};
use coltsfootshunt_testkit::cases;

use super::identity;
use crate::lease::Token;
use crate::member::{Claim, Heartbeat, Membership};

const TICK: Duration = Duration::from_millis(50);

fn host(name: &str) -> Host {
    Host::try_from(name).unwrap()
}

fn claim(zone: &str) -> Claim {
    Claim { zone: Zone::try_from(zone).unwrap(), token: Token(5) }
}

/// Heartbeat of a host that announces the next one, as the steward of a zone or not.
fn heartbeat(claimed: Option<&str>, next_in_ms: Option<u32>) -> Heartbeat {
    Heartbeat {
        claims: claimed.map(claim).into_iter().collect(),
        next_in_ms,
        ..Heartbeat::default()
    }
}

/// Host `me` of zone `a`, which heard the others at `now`: their zone, the zone that they claim, and their
/// share of the processor.
fn membership(others: &[(&str, &str, Option<&str>, u32)], now: Instant) -> Membership {
    let mut membership = Membership::new(identity("me", "a", 250), now);
    for (name, zone, claimed, cpu_millis) in others {
        membership.record_contact(&identity(name, zone, *cpu_millis), now);
        membership.record_heartbeat(&host(name), heartbeat(*claimed, Some(250)));
    }
    membership
}

/// The own zone has a steward and two hosts that would follow it, so that this host is none of them.
const FLEET: [(&str, &str, Option<&str>, u32); 6] = [
    ("steward", "a", Some("a"), 500),
    ("next", "a", None, 500),
    ("mate", "a", None, 90),
    ("remote-steward", "b", Some("b"), 500),
    ("remote", "b", None, 90),
    ("worker", "b", None, 90),
];

/// Counts the heartbeats of host `me` to another one within ten seconds.
fn sends(to: &str, works_with: &[&str], is_steward: bool, expected: std::ops::RangeInclusive<u32>) {
    let start = Instant::now();
    let mut membership = membership(&FLEET, start);
    if is_steward {
        membership.claims.push(claim("a"));
    }
    let working: BTreeSet<Host> = works_with.iter().map(|name| host(name)).collect();
    let mut count = 0;
    for tick in 0..200 {
        let now = start + TICK * tick;
        membership.set_working(working.clone(), now);
        count += u32::from(membership.due_heartbeats(now).iter().any(|(one, _)| *one == host(to)));
    }
    assert!(expected.contains(&count), "{count}");
}

cases! { sends:
    closely_to_the_own_steward("steward", &[], false, 40..=41);
    closely_to_the_host_that_follows_it("next", &[], false, 40..=41);
    rarely_to_other_hosts_of_the_zone("mate", &[], false, 5..=6);
    rarely_to_other_zones("remote", &[], false, 5..=6);
    rarely_to_stewards_without_common_work("remote-steward", &[], false, 5..=6);
    closely_to_stewards_with_common_work("remote-steward", &["remote-steward"], false, 40..=41);
    closely_to_owners_with_common_work("worker", &["worker"], false, 40..=41);
    often_as_a_steward("remote", &[], true, 99..=100);
}

/// Guards against silence that nobody announced: before a host sends fewer heartbeats to another one, it
/// says so, within the interval that it announced before.
fn announces(before: &[&str], after: &[&str], announced_ms: u64, within_ms: u64) {
    let start = Instant::now();
    let mut membership = membership(&FLEET, start);
    let peer = host("remote-steward");
    let set = |names: &[&str]| names.iter().map(|name| host(name)).collect::<BTreeSet<Host>>();
    membership.set_working(set(before), start);
    assert_eq!(membership.due_heartbeats(start).len(), FLEET.len());
    let mut ticks = (1..100).map(|tick| start + TICK * tick);
    let announced = (peer, Duration::from_millis(announced_ms));
    let announcement = ticks.find(|now| {
        membership.set_working(set(after), *now);
        membership.due_heartbeats(*now).contains(&announced)
    });
    let at = announcement.unwrap();
    assert!(at - start <= Duration::from_millis(within_ms), "{:?}", at - start);
}

cases! { announces:
    a_longer_interval(&["remote-steward"], &[], 2_000, 1_300);
    a_shorter_interval(&[], &["remote-steward"], 250, 250);
}

/// Guards against a steward that counts an owner as lost which spoke less at once after its last job: the
/// steward learns later that the job is over.
#[test]
fn the_end_of_common_work_keeps_the_close_interval_for_a_while() {
    let start = Instant::now();
    let mut membership = membership(&FLEET, start);
    let steward = host("remote-steward");
    membership.set_working([steward.clone()].into(), start);
    membership.due_heartbeats(start);
    let mut sent = Vec::new();
    for tick in 1..=40 {
        membership.set_working(BTreeSet::new(), start + TICK * tick);
        let due = membership.due_heartbeats(start + TICK * tick);
        sent.extend(due.into_iter().filter(|(to, _)| *to == steward).map(|(_, interval)| interval));
    }
    assert_eq!(sent.iter().filter(|interval| **interval == Duration::from_millis(250)).count(), 3);
    assert_eq!(sent.last(), Some(&Duration::from_secs(2)));
}

/// A peer is lost after the silence that follows from what it announced, or from common work.
fn loses(announced_ms: Option<u32>, works_with: bool, silent_ms: u64, expected: bool) {
    let start = Instant::now();
    let mut membership = membership(&FLEET, start);
    let peer = host("remote");
    membership.record_heartbeat(&peer, heartbeat(None, announced_ms));
    if works_with {
        membership.set_working([peer.clone()].into(), start);
    }
    let now = start + Duration::from_millis(silent_ms);
    assert_eq!(membership.timed_out(now).contains(&peer), expected);
}

cases! { loses:
    no_host_that_may_still_speak(Some(250), false, 790, false);
    silent_host(Some(250), false, 850, true);
    silent_host_of_an_earlier_version(None, false, 850, true);
    no_distant_host_between_its_heartbeats(Some(2_000), false, 2_500, false);
    no_distant_host_after_two_lost_heartbeats(Some(2_000), false, 6_300, false);
    distant_host(Some(2_000), false, 6_500, true);
    distant_host_with_common_work(Some(2_000), true, 850, true);
    host_that_announces_hours(Some(u32::MAX), false, 6_500, true);
    no_host_at_once_that_announces_nothing(Some(0), false, 790, false);
}

/// Guards against a host that was told of work after a long time of its peer's silence: the silence before
/// the common work began doesn't count.
#[test]
fn common_work_gives_a_distant_host_time_to_speak() {
    let start = Instant::now();
    let mut membership = membership(&FLEET, start);
    let peer = host("remote");
    membership.record_heartbeat(&peer, heartbeat(None, Some(2_000)));
    let began = start + Duration::from_millis(1_900);
    membership.set_working([peer.clone()].into(), began);
    assert!(!membership.timed_out(began + Duration::from_millis(750)).contains(&peer));
    assert!(membership.timed_out(began + Duration::from_millis(850)).contains(&peer));
}

/// Guards against a host that is cut off alone and goes on taking jobs, since it still counts hosts as
/// alive that rarely speak to it.
#[test]
fn distant_hosts_are_no_contact() {
    let start = Instant::now();
    let mut membership = membership(&FLEET, start);
    for (name, ..) in FLEET {
        let announced = if name.starts_with("remote") { 2_000 } else { 250 };
        membership.record_heartbeat(&host(name), heartbeat(None, Some(announced)));
    }
    let now = start + Duration::from_millis(850);
    membership.timed_out(now).iter().for_each(|lost| {
        membership.mark_lost(lost, false);
    });
    assert!(membership.alive().next().is_some());
    membership.update_zones([Zone::try_from("a").unwrap()].into_iter(), now);
    assert!(membership.is_isolated(now));
}

/// Number of heartbeats per second of a host in a fleet of this size with six zones: of one without work
/// in common with others, or of a steward.
fn rates(hosts: usize, is_steward: bool, most: usize) {
    let start = Instant::now();
    let zones = ["a", "b", "c", "d", "e", "f"];
    let mut membership = Membership::new(identity("me", "a", 90), start);
    for number in 1..hosts {
        let (name, zone) = (format!("h{number}"), zones[number % zones.len()]);
        // One steward and two strong hosts a zone.
        let cpu_millis = if number < 3 * zones.len() { 500 } else { 90 };
        membership.record_contact(&identity(&name, zone, cpu_millis), start);
        let claimed = (number < zones.len() && zone != "a").then_some(zone);
        let claimed = claimed.or((number == zones.len() && !is_steward).then_some("a"));
        membership.record_heartbeat(&host(&name), heartbeat(claimed, Some(250)));
    }
    if is_steward {
        membership.claims.push(claim("a"));
    }
    let sent = (0..200).map(|tick| membership.due_heartbeats(start + TICK * tick).len());
    let per_s = sent.sum::<usize>() / 10;
    assert!(per_s <= most, "{per_s} heartbeats a second");
}

// Each host sent 4 to each other one, and a steward 10: 28, 396 and 1,196, and 70, 990 and 2,990.
cases! { rates:
    of_8_hosts(8, false, 28);
    of_100_hosts(100, false, 65);
    of_300_hosts(300, false, 165);
    of_a_steward_of_8(8, true, 70);
    of_a_steward_of_100(100, true, 400);
    of_a_steward_of_300(300, true, 1_200);
}
