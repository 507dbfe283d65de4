//! Start times of a target in the directory and in its own reports.

use std::time::{Duration, Instant};

use coltsfootshunt_testkit::cases;

use super::{CLOCK, LEASE, TERM, TOKEN, claimed_tracker, ends, free_cpu, start_and_confirm};
use crate::directory::Entry;
use crate::directory::tests::entry;
use crate::job::End;
use crate::lease::{self, Call, Evidence, Order, Phase, Report, Response, Token, Tracker};

/// Time between two reads of the directory after which an entry without a start time counts.
const SETTLING_TIME: Duration = Duration::from_secs(2);

fn report(started_at_ms: Option<u64>) -> Response {
    Response::Report(Report { clock_ms: CLOCK, started_at_ms, ..Report::default() })
}

fn update(tracker: &mut Tracker, listed: u64) {
    update_by_read(tracker, listed, None);
}

fn update_by_read(tracker: &mut Tracker, listed: u64, read_at: Option<Instant>) {
    let mut listed_entry = entry("t", "a");
    listed_entry.started_at_ms = listed;
    tracker.update(&listed_entry, read_at);
}

/// A directory entry with a start time that the target's report has contradicted led to a claim with
/// every update, so that hardly anything could start there. Each step is the start time in the
/// directory and the target's own, and whether the steward claims the target. Something can start if the directory
/// has shown the entry of the target's incarnation, or, without any start time there, after the settling time.
fn claims_target(steps: &[(u64, Option<u64>, bool)]) {
    let begin = Instant::now();
    let mut first = entry("t", "a");
    first.started_at_ms = steps[0].0;
    let mut tracker = Tracker::new(first, TERM, begin);
    let mut claims = Vec::new();
    for (number, (listed, own, _)) in steps.iter().enumerate() {
        let now = begin + 4 * LEASE * number as u32;
        update(&mut tracker, *listed);
        let is_claimed = tracker.wants_claim(now);
        if is_claimed {
            let claim = tracker.claim(Token(TOKEN.0 + number as u64), now);
            tracker.handle_response(&claim, report(*own), now);
        }
        claims.push(is_claimed);
        let read_at = now + Duration::from_millis(1);
        update_by_read(&mut tracker, *listed, Some(read_at));
        let later = read_at + SETTLING_TIME;
        update_by_read(&mut tracker, *listed, Some(later));
        if let Some(renewal) = tracker.next_renewal(later) {
            tracker.handle_response(&renewal, report(*own), later);
        }
        let is_shown = own.is_none_or(|own| {
            let shown = steps[..=number].iter().map(|step| step.0);
            shown.clone().any(|listed| listed == own) || shown.sum::<u64>() == 0
        });
        assert_eq!(free_cpu(&tracker, later).is_some(), is_shown, "step {number}");
    }
    assert_eq!(claims, steps.iter().map(|step| step.2).collect::<Vec<_>>());
}

cases! { claims_target:
    once_while_the_directory_is_right(&[(1, Some(1), true), (1, Some(1), false)]);
    once_while_the_directory_is_stale(
        &[(1, Some(2), true), (1, Some(2), false), (1, Some(2), false), (2, Some(2), false)]);
    once_more_for_a_foreign_start_time(
        &[(1, Some(1), true), (9, Some(1), true), (9, Some(1), false), (9, Some(1), false)]);
    once_more_for_each_of_alternating_start_times(
        &[(1, Some(1), true), (9, Some(1), true), (8, Some(1), true), (1, Some(1), false),
            (9, Some(1), false), (8, Some(1), false), (9, Some(1), false)]);
    once_more_if_its_reports_lack_the_start_time(
        &[(1, None, true), (2, None, true), (2, None, false), (2, None, false)]);
    again_for_a_new_incarnation(
        &[(1, Some(1), true), (1, Some(1), false), (2, Some(2), true), (2, Some(2), false)]);
    again_for_a_new_incarnation_after_a_stale_entry(
        &[(1, Some(2), true), (1, Some(2), false), (3, Some(3), true), (3, Some(3), false)]);
    again_for_a_new_incarnation_with_an_earlier_start_time(
        &[(5, Some(5), true), (5, Some(5), false), (3, Some(3), true), (3, Some(3), false)]);
    again_for_an_entry_that_lacked_the_start_time(
        &[(0, Some(1), true), (0, Some(1), false), (2, Some(2), true), (2, Some(2), false)]);
}

/// The response to a claim that was sent before the directory showed a new incarnation may come from
/// the earlier one, so it contradicts nothing.
#[test]
fn a_claim_from_before_a_new_incarnation_does_not_hide_it() {
    let now = Instant::now();
    let mut tracker = Tracker::new(entry("t", "a"), TERM, now);
    let claim = tracker.claim(TOKEN, now);
    update(&mut tracker, 2);
    tracker.handle_response(&claim, report(Some(1)), now);
    assert_eq!(tracker.phase, Phase::Held(TOKEN));
    update(&mut tracker, 2);
    assert!(tracker.wants_claim(now));
}

/// A claim without a response settles nothing.
#[test]
fn a_claim_without_response_is_repeated() {
    let now = Instant::now();
    let mut tracker = Tracker::new(entry("t", "a"), TERM, now);
    let claim = tracker.claim(TOKEN, now);
    tracker.handle_response(&claim, report(Some(1)), now);
    update(&mut tracker, 2);
    let claim = tracker.claim(Token(6), now);
    tracker.handle_response(&claim, Response::NoResponse, now);
    let later = now + Duration::from_millis(500);
    update(&mut tracker, 2);
    assert!(tracker.wants_claim(later));
}

/// If the directory showed a new incarnation before its first report, the ends of that incarnation were
/// taken for processed ones of the earlier one: they were acknowledged unseen, and the runs were lost.
fn counts_ends_of_a_new_incarnation(show: fn(&mut Tracker, Instant) -> Call) {
    let begin = Instant::now();
    let mut tracker = claimed_tracker(begin);
    start_and_confirm(&mut tracker, 0, begin);
    let renewal = tracker.next_renewal(begin).unwrap();
    let ended = [(3, 0, lease::End::Done)];
    let changes = tracker.handle_response(&renewal, super::report(CLOCK + 2, &[], &ended), begin);
    assert_eq!(ends(&changes), [(0, End::Done)]);
    let later = begin + LEASE * 2;
    let claim = show(&mut tracker, later);
    tracker.handle_response(&claim, report(Some(2)), later);
    start_and_confirm(&mut tracker, 1, later);
    let renewal = tracker.next_renewal(later).unwrap();
    let Order::Renew { lease_until_ms: Some(lease_until_ms), acknowledged, .. } = renewal.order
    else {
        panic!("expected an extension of the lease");
    };
    assert_eq!(acknowledged, 0, "acknowledges ends that were not listed");
    let longest_ms = LEASE.as_millis() as u64;
    assert!(lease_until_ms <= CLOCK + 1 + longest_ms, "lease until {lease_until_ms} ms");
    let Response::Report(ended) = super::report(CLOCK + 9, &[], &[(1, 1, lease::End::Done)]) else {
        unreachable!();
    };
    let ended = Report { started_at_ms: Some(2), ..ended };
    let changes = tracker.handle_response(&renewal, Response::Report(ended), later);
    assert_eq!(ends(&changes), [(1, End::Done)]);
}

fn show_while_released(tracker: &mut Tracker, now: Instant) -> Call {
    tracker.release(End::Lost, Evidence::LeaseExpired, &mut Vec::new());
    update(tracker, 2);
    tracker.claim(Token(6), now)
}

fn show_during_a_claim(tracker: &mut Tracker, now: Instant) -> Call {
    let claim = tracker.claim(Token(6), now);
    update(tracker, 2);
    claim
}

cases! { counts_ends_of_a_new_incarnation:
    shown_while_the_target_was_released(show_while_released);
    shown_while_a_claim_was_pending(show_during_a_claim);
}

/// A target came back under its name as a smaller kind, and tasks were started over its capacity while the
/// directory still had the entry of the earlier incarnation. Each read is its start time and when it was made, in
/// milliseconds after the first report of the new incarnation.
fn starts_nothing_by_an_outdated_entry(reads: &[(u64, u64)], is_open: bool) {
    let begin = Instant::now();
    let mut tracker = claimed_tracker(begin);
    assert!(free_cpu(&tracker, begin).is_some());
    let later = begin + LEASE;
    tracker.release(End::Lost, Evidence::LeaseExpired, &mut Vec::new());
    let claim = tracker.claim(Token(6), later);
    tracker.handle_response(&claim, report(Some(2)), later);
    assert_eq!(tracker.phase, Phase::Held(Token(6)));
    assert_eq!(free_cpu(&tracker, later), None, "the entry is that of the earlier incarnation");
    for (listed, read_ms) in reads {
        let read_at = later + Duration::from_millis(*read_ms);
        update_by_read(&mut tracker, *listed, Some(read_at));
    }
    if tracker.wants_claim(later) {
        let claim = tracker.claim(Token(7), later);
        tracker.handle_response(&claim, report(Some(2)), later);
    }
    assert_eq!(free_cpu(&tracker, later).is_some(), is_open);
}

cases! { starts_nothing_by_an_outdated_entry:
    without_a_read(&[], false);
    of_a_read_that_began_before(&[(1, 0), (1, 50), (1, 999)], false);
    but_by_its_own_entry(&[(1, 0), (2, 50)], true);
    of_a_late_read_after_an_outage_of_the_store(&[(1, 10_000), (1, 20_000)], false);
    of_another_writer(&[(1, 0), (9, 1_000), (9, 20_000)], false);
    of_another_writer_without_a_start_time(&[(1, 0), (0, 1_000), (0, 20_000)], false);
    but_by_its_own_entry_after_another_writers(&[(1, 0), (9, 1_000), (2, 1_500)], true);
    but_by_its_own_entry_before_a_stale_read(&[(2, 50), (1, 60)], true);
    but_by_its_own_entry_before_another_writers(&[(2, 50), (9, 60)], true);
}

/// A stale read and another writer's entry raised or lowered the capacity of a target, and moved it, although the
/// directory had shown its own entry. Each read is its start time, in thousandths of the capacity as well.
fn keeps_its_own_entry(reads: &[u64], own: u64) {
    let begin = Instant::now();
    let mut tracker = claimed_tracker(begin);
    let listed_entry = |started_at_ms: u64| {
        let mut listed = entry("t", &format!("zone-{started_at_ms}"));
        listed.started_at_ms = started_at_ms;
        listed.capacity.cpu_millis = started_at_ms;
        listed.address.set_port(started_at_ms as u16);
        listed
    };
    for (number, started_at_ms) in (0..).zip(reads) {
        let now = begin + LEASE * number;
        tracker.update(&listed_entry(*started_at_ms), Some(now));
        if tracker.wants_claim(now) {
            assert_eq!(free_cpu(&tracker, now), None, "an incarnation is to be claimed");
            let claim = tracker.claim(Token(TOKEN.0 + 1 + u64::from(number)), now);
            assert_eq!(u64::from(claim.address.port()), *started_at_ms, "claimed elsewhere");
            tracker.handle_response(&claim, report(Some(own)), now);
        }
        tracker.update(&listed_entry(*started_at_ms), Some(now));
    }
    assert_eq!(free_cpu(&tracker, begin + LEASE * 10), Some(own));
    assert_eq!(Entry { started_at_ms: own, ..tracker.entry.clone() }, listed_entry(own));
}

cases! { keeps_its_own_entry:
    while_reads_are_stale(&[2, 1, 1], 2);
    while_another_writer_changes_it(&[2, 9, 9], 2);
    while_another_writer_changes_it_without_a_start_time(&[2, 0, 0], 2);
    while_several_writers_change_it(&[2, 9, 8, 1, 0, 9], 2);
    once_it_has_written_it_again(&[2, 9, 2, 2], 2);
}

/// An entry of a deployment whose targets write no start time says nothing of their incarnations. After an outage of
/// the store the first read showed the entry of the earlier incarnation, and it counted at once.
fn counts_without_start_times(reads_ms: &[u64], is_open: bool) {
    let begin = Instant::now();
    let at = |ms: &u64| begin + Duration::from_millis(*ms);
    let mut listed = entry("t", "a");
    listed.started_at_ms = 0;
    let mut tracker = Tracker::new(listed, TERM, begin);
    let claim = tracker.claim(TOKEN, begin);
    tracker.handle_response(&claim, report(Some(2)), begin);
    for read_ms in reads_ms {
        update_by_read(&mut tracker, 0, Some(at(read_ms)));
    }
    assert_eq!(free_cpu(&tracker, begin).is_some(), is_open);
}

cases! { counts_without_start_times:
    not_before_a_read(&[], false);
    not_at_the_first_read_after_an_outage(&[0, 9_000, 9_000], false);
    not_before_the_target_could_write(&[0, 200, 2_100], false);
    once_the_target_could_write(&[0, 200, 2_200], true);
    once_the_target_could_write_after_an_outage(&[0, 9_000, 11_000], true);
}

/// The directory may show a new incarnation before its first report.
#[test]
fn an_entry_that_came_before_the_report_counts() {
    let begin = Instant::now();
    let mut tracker = claimed_tracker(begin);
    update(&mut tracker, 2);
    let claim = tracker.claim(Token(6), begin);
    tracker.handle_response(&claim, report(Some(2)), begin);
    assert!(free_cpu(&tracker, begin).is_some());
}
