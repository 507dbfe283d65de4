//! Tokens of processes that have observed each other's tokens.

use std::collections::BTreeSet;
use std::time::{Duration, Instant, SystemTime};

use coltsfootshunt_testkit::cases;

use super::{CLOCK, TERM, TOKEN, claimed_tracker, free_cpu, report, start_and_confirm, task};
use crate::directory::tests::entry;
use crate::lease::{Change, Issuer, Order, Suffix, Token, Tracker};

fn at(wall_ms: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(wall_ms)
}

/// Guards against two hosts with slow clocks that count up from the same observed token and give a
/// target orders under the same tokens. `wall_ms` has the time of day of each.
fn processes_share_a_token(observed_at_ms: Option<u64>, wall_ms: [u64; 2]) {
    let mut issuers = [Issuer::new(2_683), Issuer::new(1_461)];
    if let Some(observed_at_ms) = observed_at_ms {
        let observed = Issuer::new(224).next(at(observed_at_ms));
        issuers.iter_mut().for_each(|issuer| issuer.observe(observed, Duration::ZERO));
    }
    let mut issue = |process: usize| -> BTreeSet<Token> {
        (0..20).map(|_| issuers[process].next(at(wall_ms[process]))).collect()
    };
    let (first, second) = (issue(0), issue(1));
    let shared: Vec<_> = first.intersection(&second).collect();
    assert!(shared.is_empty(), "both processes issue {shared:?}");
}

cases! { processes_share_a_token:
    after_they_observed_a_third_process(Some(12_000), [10_000, 10_003]);
    after_they_observed_an_old_token(Some(9_000), [10_000, 10_003]);
    without_observing_any(None, [10_000, 10_000]);
}

/// Guards against a successor with a slow clock that runs through the tokens that its predecessor
/// has used since its claim was observed.
#[test]
fn successor_repeats_tokens_of_its_predecessor() {
    let (mut predecessor, mut successor) = (Issuer::new(224), Issuer::new(2_683));
    let claim = predecessor.next(at(12_000));
    let used: Vec<Token> = (0..5).map(|_| predecessor.next(at(12_000))).collect();
    successor.observe(claim, Duration::ZERO);
    let issued: Vec<Token> = (0..5).map(|_| successor.next(at(10_000))).collect();
    assert!(issued.iter().all(|token| !used.contains(token)), "{issued:?} of {used:?}");
}

/// Guards against a second process under the same token: once the target lists its attempt, nothing is
/// started or stopped there before a claim with a higher token. The first renewal has waited at the
/// target, so that another host may have claimed it meanwhile; the second one does not wait.
#[test]
fn token_of_another_process_is_given_up() {
    let now = Instant::now();
    let mut tracker = claimed_tracker(now);
    start_and_confirm(&mut tracker, 0, now);
    let renewal = tracker.next_renewal(now).unwrap();
    let changes = tracker.handle_response(&renewal, report(CLOCK + 5, &[0, 1], &[]), now);
    assert!(changes.is_empty(), "{changes:?}");
    assert!(tracker.due_stops(now).is_empty(), "the other process may hold the target");
    assert_eq!(free_cpu(&tracker, now), None);
    let renewal = tracker.next_renewal(now).unwrap();
    assert!(matches!(renewal.order, Order::Renew { max_wait: Duration::ZERO, .. }));
    let changes = tracker.handle_response(&renewal, report(CLOCK + 6, &[0, 1], &[]), now);
    let is_reported =
        |change: &Change| matches!(change, Change::SharedToken(TOKEN, one) if *one == task(1));
    assert!(changes.iter().any(is_reported), "{changes:?}");
    assert!(tracker.due_stops(now).is_empty(), "the other process may hold the target");
    assert!(tracker.wants_claim(now));
    let claim = tracker.claim(Token(6), now);
    tracker.handle_response(&claim, report(CLOCK + 7, &[0, 1], &[]), now);
    assert_eq!(tracker.due_stops(now).len(), 1, "the fence voids the other process's orders");
    assert_eq!(free_cpu(&tracker, now), None);
}

/// Guards against two processes that drew the same low bits and issue the same token in the same
/// millisecond.
#[test]
fn processes_with_equal_suffixes_choose_different_ones() {
    let incarnations = [0x1_0777, 0x2_0777, 0x3_0777];
    let mut issuers = incarnations.map(Issuer::new);
    let others = BTreeSet::from([issuers[0].suffix(), Suffix::from(5)]);
    issuers.iter_mut().skip(1).for_each(|issuer| issuer.change_suffix(&others));
    let suffixes: BTreeSet<Suffix> = issuers.iter().map(Issuer::suffix).collect();
    assert_eq!(suffixes.len(), incarnations.len(), "{suffixes:?}");
    assert!(!suffixes.contains(&Suffix::from(5)));
    let tokens: BTreeSet<Token> = issuers.map(|mut issuer| issuer.next(at(10_000))).into();
    assert_eq!(tokens.len(), incarnations.len(), "{tokens:?}");
}

/// A claim that is pending when its token turns out to be another process's does not count.
#[test]
fn void_token_is_not_held() {
    let now = Instant::now();
    let mut tracker = Tracker::new(entry("t", "a"), TERM, now);
    let claim = tracker.claim(TOKEN, now);
    tracker.void_token();
    assert!(tracker.handle_response(&claim, report(CLOCK, &[], &[]), now).is_empty());
    assert_eq!(free_cpu(&tracker, now), None);
    assert!(tracker.wants_claim(now));
    let claim = tracker.claim(Token(6), now);
    let changes = tracker.handle_response(&claim, report(CLOCK, &[], &[]), now);
    assert!(matches!(changes[..], [Change::Claimed { token: Token(6), .. }]));
}

/// Guards against tokens that JSON parsers round, so that those of two processes become equal.
#[test]
fn token_after_the_highest_observed_one_is_exact() {
    let mut issuer = Issuer::new(1);
    issuer.observe(Token((1 << 53) - 1), Duration::ZERO);
    let token = issuer.next(at(10_000));
    assert!(token < Token(1 << 53), "{token} is not below 2^53 = {}", 1_u64 << 53);
}

/// Guards against a return to a suffix that was left because another process uses it.
#[test]
fn suffix_that_was_left_is_not_taken_again() {
    let mut issuer = Issuer::new(0x1_0777);
    let mut left = BTreeSet::from([issuer.suffix()]);
    for change in 1..=3 {
        issuer.change_suffix(&BTreeSet::new());
        assert!(left.insert(issuer.suffix()), "change {change}: {} again", issuer.suffix());
    }
}
