mod contacts;
mod interval;
mod split;
mod word;

use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Zone};
use coltsfootshunt_testkit::cases;

use super::{Claim, Heartbeat, Identity, Membership};
use crate::lease::Token;

pub(crate) fn identity(host: &str, zone: &str, cpu_millis: u32) -> Identity {
    Identity {
        host: Host::try_from(host).unwrap(),
        zone: Zone::try_from(zone).unwrap(),
        incarnation: 1,
        address: "10.0.0.1:80".parse().unwrap(),
        cpu_millis,
    }
}

fn zone(name: &str) -> Zone {
    Zone::try_from(name).unwrap()
}

/// Membership of host `me` in zone `a` that heard `others`, each a host and its zone, at `now`.
fn membership(others: &[(&str, &str)], now: Instant) -> Membership {
    let mut membership = Membership::new(identity("me", "a", 500), now);
    for (host, zone) in others {
        membership.record_contact(&identity(host, zone, 250), now);
    }
    membership
}

/// Whether host `me` claims a zone some time after it started.
fn claims(others: &[(&str, &str)], claimed: &str, after_ms: u64, expected: bool) {
    let start = Instant::now();
    let mut membership = membership(others, start);
    membership.update_zones([zone(claimed)].into_iter(), start);
    let now = start + Duration::from_millis(after_ms);
    assert_eq!(membership.should_claim(&zone(claimed), now), expected);
}

cases! { claims:
    own_zone_as_highest_ranked_host(&[("x", "a"), ("y", "b")], "a", 800, true);
    nothing_before_the_claim_delay(&[("x", "a")], "a", 100, false);
    no_zone_with_live_hosts(&[("y", "b")], "b", 5_000, false);
    vacant_zone_after_the_takeover_delay(&[("x", "a")], "c", 2_000, true);
    no_vacant_zone_before_the_takeover_delay(&[("x", "a")], "c", 1_000, false);
}

/// Whether host `me` resigns its own zone or another one. `local_host` adds a host of the other zone.
fn resigns(rival_token: Option<u64>, own_zone: bool, local_host: bool, expected: bool) {
    let now = Instant::now();
    let mut membership = membership(&[("x", "a")], now);
    let claimed = zone(if own_zone { "a" } else { "b" });
    membership.claims.push(Claim { zone: claimed.clone(), token: Token(5) });
    let claims = rival_token.map(|token| Claim { zone: claimed.clone(), token: Token(token) });
    let heartbeat = Heartbeat { claims: claims.into_iter().collect(), ..Heartbeat::default() };
    membership.record_heartbeat(&Host::try_from("x").unwrap(), heartbeat);
    if local_host {
        membership.record_contact(&identity("home", "b", 250), now);
    }
    assert_eq!(membership.should_resign(&claimed), expected);
}

cases! { resigns:
    to_a_higher_claim(Some(6), true, false, true);
    not_to_a_lower_claim(Some(4), true, false, false);
    foreign_zone_with_live_local_hosts(None, false, true, true);
    no_foreign_zone_without_local_hosts(None, false, false, false);
}

/// Whether host `me` is isolated some time after it lost all its peers.
fn isolated(refused: bool, after_ms: u64, expected: bool) {
    let start = Instant::now();
    let mut membership = membership(&[("x", "a"), ("y", "b")], start);
    membership.mark_lost(&Host::try_from("x").unwrap(), refused);
    membership.mark_lost(&Host::try_from("y").unwrap(), refused);
    membership.update_zones([zone("a")].into_iter(), start);
    let now = start + Duration::from_millis(after_ms);
    assert_eq!(membership.is_isolated(now), expected);
}

cases! { isolated:
    while_all_peers_are_silent(false, 3_000, true);
    not_if_peers_refuse_connections(true, 3_000, false);
    not_beyond_the_maximum(false, 11_000, false);
}

/// Whether host `me` takes over zone `b` some time after its only host `x` was lost. Zone `c` has host `y`,
/// which may be lost too, and zone `a` has host `z`.
fn takes_over(refused: bool, others_lost: bool, after_ms: u64, expected: bool) {
    let start = Instant::now();
    let mut membership = membership(&[("x", "b"), ("y", "c"), ("z", "a")], start);
    membership.mark_lost(&Host::try_from("x").unwrap(), refused);
    if others_lost {
        membership.mark_lost(&Host::try_from("y").unwrap(), false);
    }
    membership.update_zones([zone("b")].into_iter(), start);
    let now = start + Duration::from_millis(after_ms);
    assert_eq!(membership.should_claim(&zone("b"), now), expected);
}

cases! { takes_over:
    zone_whose_host_refuses_connections(true, false, 2_000, true);
    no_zone_whose_host_is_silent_for_a_short_time(false, false, 2_000, false);
    zone_whose_host_is_silent_for_a_long_time(false, false, 9_000, true);
    nothing_on_the_smaller_side_of_a_partition(false, true, 9_000, false);
}

/// After a network partition, the zone's own host and a host of another zone both claim it. The own host
/// keeps it, although the other claim has the higher token.
#[test]
fn own_host_wins_over_higher_foreign_claim() {
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

/// Whether host `me` claims a zone after evidence of a rival. Host `x` of zone `b` refuses connections, and
/// 2 s later a target of the zone obeys another host. With `heard_again`, `x` is heard at 3 s and refuses
/// connections again at 11 s.
fn claims_despite_rival(claimed: &str, heard_again: bool, after_ms: u64, expected: bool) {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let x = Host::try_from("x").unwrap();
    let mut membership = membership(&[("x", "b"), ("y", "c"), ("z", "c")], start);
    let lose = |membership: &mut Membership, ms| {
        membership.mark_lost(&x, true);
        membership.update_zones([zone(claimed)].into_iter(), at(ms));
    };
    lose(&mut membership, 0);
    assert_eq!(membership.record_rival(&zone(claimed), at(2_000)), claimed == "b");
    for host in ["y", "z"] {
        membership.record_contact(&identity(host, "c", 250), at(2_000));
    }
    if heard_again {
        membership.record_contact(&identity("x", "b", 250), at(3_000));
        membership.update_zones([zone(claimed)].into_iter(), at(3_000));
        lose(&mut membership, 11_000);
    }
    assert_eq!(membership.should_claim(&zone(claimed), at(after_ms)), expected);
}

cases! { claims_despite_rival:
    no_zone_whose_own_host_is_alive_behind_a_partition("b", false, 9_000, false);
    zone_once_the_evidence_is_old("b", false, 11_000, true);
    zone_once_its_own_host_is_gone("b", true, 13_000, true);
    own_zone_in_any_case("a", false, 3_000, true);
}

/// The only peer refuses connections, but a target shows that it is alive. So this host is isolated.
#[test]
fn refusing_peer_with_evidence_of_life_is_partitioned() {
    let start = Instant::now();
    let mut membership = membership(&[("x", "b")], start);
    membership.mark_lost(&Host::try_from("x").unwrap(), true);
    membership.record_rival(&zone("b"), start + Duration::from_secs(2));
    let now = start + Duration::from_secs(3);
    membership.update_zones([zone("b")].into_iter(), now);
    assert!(membership.is_isolated(now));
}

/// Guards against two hosts that claim a zone with equal tokens and both stay its steward.
fn one_of_two_equal_claims_stands(rival: &str, expected: bool) {
    let now = Instant::now();
    let mut membership = membership(&[(rival, "a")], now);
    let claim = Claim { zone: zone("a"), token: Token(5) };
    membership.claims.push(claim.clone());
    let heartbeat = Heartbeat { claims: vec![claim], ..Heartbeat::default() };
    membership.record_heartbeat(&Host::try_from(rival).unwrap(), heartbeat);
    assert_eq!(membership.should_resign(&zone("a")), expected);
}

cases! { one_of_two_equal_claims_stands:
    against_an_earlier_name("ma", false);
    against_a_later_name("mz", true);
}
