use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Zone};
use coltsfootshunt_testkit::cases;

use super::{Claim, Heartbeat, Identity, Membership};
use crate::lease::Token;

pub(crate) fn identity(host: &str, zone: &str, weight: u32) -> Identity {
    Identity {
        host: Host::try_from(host).unwrap(),
        zone: Zone::try_from(zone).unwrap(),
        incarnation: 1,
        address: "10.0.0.1:80".parse().unwrap(),
        cpu_millis: weight,
    }
}

fn zone(name: &str) -> Zone {
    Zone::try_from(name).unwrap()
}

/// A roster of host `me` in zone `a` that has heard the others just now.
fn membership(others: &[(&str, &str)], now: Instant) -> Membership {
    let mut membership = Membership::new(identity("me", "a", 500), now);
    for (host, zone) in others {
        membership.record_contact(&identity(host, zone, 250), now);
    }
    membership
}

fn claims(others: &[(&str, &str)], of: &str, after_ms: u64, wanted: bool) {
    let start = Instant::now();
    let mut membership = membership(others, start);
    membership.update_zones([zone(of)].into_iter(), start);
    let now = start + Duration::from_millis(after_ms);
    assert_eq!(membership.should_claim(&zone(of), now), wanted);
}

cases! { claims:
    the_strongest_host_its_own_zone(&[("x", "a"), ("y", "b")], "a", 800, true);
    nothing_before_it_has_listened(&[("x", "a")], "a", 100, false);
    not_a_zone_that_has_hosts(&[("y", "b")], "b", 5_000, false);
    a_zone_without_hosts_after_a_while(&[("x", "a")], "c", 2_000, true);
    not_a_zone_that_lost_its_hosts_just_now(&[("x", "a")], "c", 1_000, false);
}

fn yields(claim_of_other: Option<u64>, own_zone: bool, home_host: bool, wanted: bool) {
    let now = Instant::now();
    let mut membership = membership(&[("x", "a")], now);
    let of = zone(if own_zone { "a" } else { "b" });
    membership.claims.push(Claim { zone: of.clone(), token: Token(5) });
    let claims = claim_of_other.map(|token| Claim { zone: of.clone(), token: Token(token) });
    let beat = Heartbeat { claims: claims.into_iter().collect(), ..Heartbeat::default() };
    membership.record_heartbeat(&Host::try_from("x").unwrap(), beat);
    if home_host {
        membership.record_contact(&identity("home", "b", 250), now);
    }
    assert_eq!(membership.should_resign(&of), wanted);
}

cases! { yields:
    to_a_higher_claim(Some(6), true, false, true);
    never_to_a_lower_claim(Some(4), true, false, false);
    a_foreign_zone_to_its_own_hosts(None, false, true, true);
    no_foreign_zone_without_hosts(None, false, false, false);
}

fn isolated(refused: bool, after_ms: u64, wanted: bool) {
    let start = Instant::now();
    let mut membership = membership(&[("x", "a"), ("y", "b")], start);
    membership.mark_lost(&Host::try_from("x").unwrap(), refused);
    membership.mark_lost(&Host::try_from("y").unwrap(), refused);
    membership.update_zones([zone("a")].into_iter(), start);
    let now = start + Duration::from_millis(after_ms);
    assert_eq!(membership.is_isolated(now), wanted);
}

cases! { isolated:
    when_all_others_are_silent(false, 3_000, true);
    not_when_the_others_refuse(true, 3_000, false);
    not_for_ever(false, 11_000, false);
}

/// Hosts `x` of zone `b` and `y` of zone `c` and some of zone `a`; `x` was lost.
fn adopts(refused: bool, others_lost: bool, after_ms: u64, wanted: bool) {
    let start = Instant::now();
    let mut membership = membership(&[("x", "b"), ("y", "c"), ("z", "a")], start);
    membership.mark_lost(&Host::try_from("x").unwrap(), refused);
    if others_lost {
        membership.mark_lost(&Host::try_from("y").unwrap(), false);
    }
    membership.update_zones([zone("b")].into_iter(), start);
    let now = start + Duration::from_millis(after_ms);
    assert_eq!(membership.should_claim(&zone("b"), now), wanted);
}

cases! { adopts:
    a_zone_whose_host_refuses(true, false, 2_000, true);
    no_zone_whose_host_is_silent(false, false, 2_000, false);
    a_zone_whose_host_stays_silent(false, false, 9_000, true);
    nothing_on_the_smaller_side_of_a_cut(false, true, 9_000, false);
}

/// After a cut: the zone's own host and another one both claim it.
#[test]
fn a_zone_is_its_own_hosts_before_others() {
    let now = Instant::now();
    let mut membership = membership(&[("x", "c")], now);
    membership.claims.push(Claim { zone: zone("a"), token: Token(5) });
    let claims = vec![Claim { zone: zone("a"), token: Token(9) }];
    membership.record_heartbeat(
        &Host::try_from("x").unwrap(),
        Heartbeat { claims, ..Heartbeat::default() },
    );
    assert!(!membership.should_resign(&zone("a")));
}

/// Host `x` of zone `b` refuses connections, and 2 s later a target of `of` obeys another host.
/// Later `x` may be heard again and refuse once more at 11 s.
fn leaves(of: &str, heard_again: bool, after_ms: u64, wanted: bool) {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let x = Host::try_from("x").unwrap();
    let mut membership = membership(&[("x", "b"), ("y", "c"), ("z", "c")], start);
    let lose = |membership: &mut Membership, ms| {
        membership.mark_lost(&x, true);
        membership.update_zones([zone(of)].into_iter(), at(ms));
    };
    lose(&mut membership, 0);
    assert_eq!(membership.record_rival(&zone(of), at(2_000)), of == "b");
    for host in ["y", "z"] {
        membership.record_contact(&identity(host, "c", 250), at(2_000));
    }
    if heard_again {
        membership.record_contact(&identity("x", "b", 250), at(3_000));
        membership.update_zones([zone(of)].into_iter(), at(3_000));
        lose(&mut membership, 11_000);
    }
    assert_eq!(membership.should_claim(&zone(of), at(after_ms)), wanted);
}

cases! { leaves:
    a_zone_that_its_own_host_leads_behind_a_cut("b", false, 9_000, false);
    it_for_a_while("b", false, 11_000, true);
    it_until_its_host_is_gone("b", true, 13_000, true);
    not_its_own_zone_to_others("a", false, 3_000, true);
}

/// The only other host refuses connections, and lives.
#[test]
fn a_host_that_refuses_and_gives_orders_is_behind_a_cut() {
    let start = Instant::now();
    let mut membership = membership(&[("x", "b")], start);
    membership.mark_lost(&Host::try_from("x").unwrap(), true);
    membership.record_rival(&zone("b"), start + Duration::from_secs(2));
    let now = start + Duration::from_secs(3);
    membership.update_zones([zone("b")].into_iter(), now);
    assert!(membership.is_isolated(now));
}
