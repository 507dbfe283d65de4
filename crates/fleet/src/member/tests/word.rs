//! Age of what peers said, by the receiver's clock.

use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Host;
use coltsfootshunt_testkit::cases;
use proptest::prelude::*;

use super::identity;
use crate::member::{Echo, Identity, Membership};

const PEER: &str = "peer";

fn host(name: &str) -> Host {
    Host::try_from(name).unwrap()
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Host `me`, which heard its peer at `start`.
fn membership(start: Instant) -> Membership {
    let mut membership = Membership::new(identity("me", "a", 250), start);
    membership.record_contact(&identity(PEER, "b", 250), start);
    membership
}

/// Time of the peer's last word, in milliseconds after `start`.
fn last_word_ms(membership: &Membership, start: Instant, now_ms: u64) -> Option<u128> {
    let word = membership.last_word(&host(PEER), start + ms(now_ms))?;
    Some((word - start).as_millis())
}

/// A message that returns a stamp is handled at `handled_ms`; the word in it dates from `expected_ms`. `stamp`
/// changes the stamp of 1,000 ms after the start.
fn dates(stamp: impl Fn(u64) -> u64, held_ms: u64, handled_ms: u64, expected_ms: u128) {
    let start = Instant::now();
    let mut membership = membership(start);
    let stamp_ms = stamp(membership.stamp_ms(start + ms(1_000)));
    let echo = Echo { stamp_ms, held_ms };
    membership.record_word(&host(PEER), Some(echo), start + ms(handled_ms));
    assert_eq!(last_word_ms(&membership, start, handled_ms), Some(expected_ms));
}

cases! { dates:
    a_prompt_word(|stamp| stamp, 0, 1_002, 1_000);
    a_word_that_waited(|stamp| stamp, 0, 1_700, 1_000);
    // Two percent less, for a clock that runs too fast.
    a_word_after_a_held_stamp(|stamp| stamp, 100, 1_700, 1_098);
    no_word_in_the_future(|stamp| stamp, 5_000, 1_700, 1_700);
    no_word_in_the_future_by_a_huge_time(|stamp| stamp, u64::MAX, 1_700, 1_700);
    nothing_by_a_stamp_of_the_future(|stamp| stamp + 701, 0, 1_700, 0);
    nothing_by_a_stamp_of_another_process(|stamp| stamp - 1_001, 60_000, 1_700, 0);
    nothing_by_the_lowest_stamp(|_| 0, 60_000, 1_700, 0);
    nothing_by_the_highest_stamp(|_| u64::MAX, 0, 1_700, 0);
}

/// What a peer returns is the last stamp that it has handled, and the time since.
#[test]
fn echo_is_the_last_stamp() {
    let start = Instant::now();
    let mut membership = membership(start);
    assert_eq!(membership.echo(&host(PEER), start), None);
    membership.record_stamp(&host(PEER), Some(7), start);
    membership.record_stamp(&host(PEER), Some(9), start + ms(10));
    membership.record_stamp(&host(PEER), None, start + ms(20));
    let echo = membership.echo(&host(PEER), start + ms(60));
    assert_eq!(echo, Some(Echo { stamp_ms: 9, held_ms: 50 }));
    assert_eq!(membership.echo(&host("stranger"), start), None);
}

/// A word that was said before another one doesn't replace it, and one without an echo dates nothing.
#[test]
fn words_do_not_go_back() {
    let start = Instant::now();
    let mut membership = membership(start);
    let stamp_ms = membership.stamp_ms(start + ms(500));
    for held_ms in [200, 100] {
        let echo = Some(Echo { stamp_ms, held_ms });
        membership.record_word(&host(PEER), echo, start + ms(900));
    }
    membership.record_word(&host(PEER), None, start + ms(950));
    assert_eq!(last_word_ms(&membership, start, 950), Some(696));
}

/// What a host of an earlier version says counts from its arrival.
#[test]
fn earlier_version_counts_from_arrival() {
    let start = Instant::now();
    let mut membership = membership(start);
    membership.record_contact(&identity(PEER, "b", 250), start + ms(300));
    membership.record_stamp(&host(PEER), None, start + ms(300));
    membership.record_word(&host(PEER), None, start + ms(300));
    assert_eq!(last_word_ms(&membership, start, 400), Some(300));
    assert_eq!(membership.last_word(&host("stranger"), start), None);
    assert_eq!(membership.last_word(&host("me"), start), Some(start));
}

/// The peer is lost, and heard again as the given incarnation. Its last word then, and whether it may be sent its
/// stamp.
fn after_a_loss(incarnation: u64, expected_ms: u128, has_stamp: bool) {
    let start = Instant::now();
    let mut membership = membership(start);
    let stamp_ms = membership.stamp_ms(start + ms(500));
    membership.record_stamp(&host(PEER), Some(9), start + ms(500));
    membership.record_word(&host(PEER), Some(Echo { stamp_ms, held_ms: 0 }), start + ms(510));
    membership.mark_lost(&host(PEER), false);
    let identity = Identity { incarnation, ..identity(PEER, "b", 250) };
    membership.record_contact(&identity, start + ms(900));
    assert_eq!(last_word_ms(&membership, start, 900), Some(expected_ms));
    assert_eq!(membership.echo(&host(PEER), start + ms(900)).is_some(), has_stamp);
}

cases! { after_a_loss:
    of_the_same_process(1, 500, true);
    of_a_process_that_was_replaced(2, 900, false);
}

/// After a pause of this host, no stamp from before it dates a word.
#[test]
fn pause_voids_earlier_stamps() {
    let start = Instant::now();
    let mut membership = membership(start);
    let word = |membership: &mut Membership, stamped_ms: u64, at_ms: u64| {
        let stamp_ms = membership.stamp_ms(start + ms(stamped_ms));
        let echo = Some(Echo { stamp_ms, held_ms: 300 });
        membership.record_word(&host(PEER), echo, start + ms(at_ms));
        last_word_ms(membership, start, at_ms)
    };
    assert_eq!(word(&mut membership, 400, 1_000), Some(694));
    membership.reset_after_pause(start + ms(2_000));
    assert_eq!(word(&mut membership, 1_900, 2_400), Some(2_000));
    assert_eq!(word(&mut membership, 2_010, 2_400), Some(2_304));
}

proptest! {
    /// Two hosts whose clocks have nothing in common. A word never counts as said later than it was, and earlier by
    /// no more than the delay of the stamp and the allowance for drift.
    #[test]
    fn word_is_dated_by_the_receiver(
        started_ms in 0_u64..5_000,
        incarnation in any::<u64>(),
        stamp_delay_ms in 0_u64..2_000,
        held_ms in 0_u64..2_000,
        word_delay_ms in 0_u64..2_000,
    ) {
        let start = Instant::now();
        let steward_identity = Identity { incarnation, ..identity("steward", "a", 250) };
        let mut steward = Membership::new(steward_identity.clone(), start);
        let owner_identity = identity("owner", "b", 250);
        let mut owner = Membership::new(owner_identity.clone(), start + ms(started_ms));
        let stamped_at = start + ms(started_ms);
        let stamp_ms = steward.stamp_ms(stamped_at);
        let received_at = stamped_at + ms(stamp_delay_ms);
        owner.record_contact(&steward_identity, received_at);
        owner.record_stamp(&host("steward"), Some(stamp_ms), received_at);
        let issued_at = received_at + ms(held_ms);
        let echo = owner.echo(&host("steward"), issued_at);
        let handled_at = issued_at + ms(word_delay_ms);
        steward.record_contact(&owner_identity, handled_at);
        steward.record_word(&host("owner"), echo, handled_at);
        let said_at = steward.last_word(&host("owner"), handled_at).unwrap();
        prop_assert!(said_at <= issued_at);
        let error = issued_at - said_at;
        prop_assert!(error <= ms(stamp_delay_ms + held_ms / 50 + 3), "{error:?}");
    }
}
