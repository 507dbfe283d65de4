use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Zone;
use coltsfootshunt_testkit::cases;
use serde_json::{Value, json};

use super::register::{MAX_NOTICE_ZONES, MAX_UNKNOWN_ZONES};
use super::{Change, ImplausibleNotice, Limit, Notice, Reading, Register, Starts, Unreadable};
use crate::directory::tests::entry;

fn zone(name: &str) -> Zone {
    Zone::try_from(name).unwrap()
}

/// What a register hears: a complete reading or changes of the store, a notice, or a reading that checks a notice.
enum Input {
    Full(u64, &'static [&'static str]),
    Put(u64, &'static str),
    Removed(u64, &'static str),
    Nothing(u64),
    Notice(u64, &'static [&'static str]),
    Check(u64, &'static [&'static str]),
    Pause(u64),
}

use Input::{Check, Full, Nothing, Notice as Heard, Pause, Put, Removed};

fn reading(is_complete: bool, revision: u64, changes: &[(&str, u64, bool)]) -> Reading {
    let change = |(name, revision, is_evacuated): &(&str, u64, bool)| Change {
        zone: zone(name),
        revision: *revision,
        is_evacuated: *is_evacuated,
    };
    let changes = changes.iter().map(change).collect();
    Reading { is_complete, changes, revision, ..Reading::default() }
}

fn notice(revision: u64, zones: &[&str]) -> Notice {
    Notice { revision, zones: zones.iter().map(|zone| (*zone).into()).collect() }
}

fn apply(register: &mut Register, input: &Input, now: &mut Instant) {
    let full = |revision: u64, zones: &[&'static str]| {
        let changes: Vec<_> = zones.iter().map(|zone| (*zone, revision, true)).collect();
        reading(true, revision, &changes)
    };
    let reading = match input {
        Full(revision, zones) => full(*revision, zones),
        Put(revision, zone) => reading(false, *revision, &[(zone, *revision, true)]),
        Removed(revision, zone) => reading(false, *revision, &[(zone, *revision, false)]),
        Nothing(revision) => reading(false, *revision, &[]),
        Check(revision, zones) => Reading { checks: register.doubted(), ..full(*revision, zones) },
        Heard(revision, zones) => {
            // The zones in force show whether it was taken.
            let _ = register.hear(&notice(*revision, zones), *now);
            return;
        }
        Pause(ms) => return *now += Duration::from_millis(*ms),
    };
    register.read(&reading, |_| false, *now);
}

/// Guards against zones in force that differ from the newest of what the store and peers have told.
fn in_force(inputs: &[Input], expected: &[&str]) {
    let mut register = Register::default();
    let mut now = Instant::now();
    inputs.iter().for_each(|input| apply(&mut register, input, &mut now));
    let zones: Vec<&str> = register.zones().map(|zone| &**zone).collect();
    assert_eq!(zones, expected);
    assert_eq!(register.is_empty(), expected.is_empty());
    assert!(expected.iter().all(|name| register.contains(&zone(name))));
}

cases! { in_force:
    none_before_the_first_answer(&[], &[]);
    what_a_full_read_has(&[Full(5, &["a", "b"])], &["a", "b"]);
    a_change(&[Full(5, &[]), Put(6, "a")], &["a"]);
    two_zones_at_once(&[Full(5, &["a"]), Put(6, "b")], &["a", "b"]);
    none_after_it_was_taken_back(&[Full(5, &["a"]), Removed(6, "a")], &[]);
    one_that_is_evacuated_again(&[Full(5, &["a"]), Removed(6, "a"), Put(7, "a")], &["a"]);
    nothing_from_changes_without_a_full_read(&[Put(6, "a")], &[]);
    what_a_later_full_read_has(&[Full(5, &["a"]), Full(9, &["b"])], &["b"]);
    what_a_peer_has_told(&[Heard(6, &["a"])], &["a"]);
    what_a_peer_has_told_later(&[Full(5, &[]), Heard(6, &["a"])], &["a"]);
    not_what_a_peer_has_told_of_before(&[Full(7, &[]), Heard(6, &["a"])], &[]);
    not_what_a_peer_tells_of_a_revision_that_the_store_has_answered(
        &[Full(5, &[]), Nothing(8), Heard(8, &["a"])], &[]);
    that_a_peer_has_heard_it_was_taken_back(&[Full(5, &["a"]), Heard(6, &[])], &[]);
    the_newer_of_two_notices(&[Heard(7, &["a"]), Heard(6, &["b"])], &["a"]);
    the_newer_of_two_notices_in_order(&[Heard(6, &["b"]), Heard(7, &["a"])], &["a"]);
    what_the_store_tells_once_it_has_caught_up(&[Full(5, &[]), Heard(6, &["a"]), Put(7, "b")], &["b"]);
    what_a_peer_has_told_until_then(&[Full(5, &[]), Heard(8, &["a"]), Put(7, "b")], &["a"]);
    not_a_malformed_notice(&[Full(5, &["a"]), Heard(6, &["b", "no zone"])], &["a"]);
    not_the_largest_revision(&[Full(5, &["a"]), Heard(u64::MAX, &["b"])], &["a"]);
    not_the_largest_revision_before_the_store_has_answered(
        &[Heard(7, &["a"]), Heard(u64::MAX, &["b"])], &["a"]);
    not_a_revision_far_ahead(&[Full(5, &["a"]), Heard(2_000_000_000, &["b"])], &["a"]);
    a_notice_that_the_store_confirms_late(
        &[Full(5, &[]), Heard(900, &["a"]), Pause(3_000), Nothing(6), Check(900, &["a"])], &["a"]);
    the_store_that_contradicts_a_notice(
        &[Full(5, &["a"]), Heard(900, &["b"]), Pause(3_000), Nothing(6), Check(7, &["a"])], &["a"]);
    a_notice_that_was_doubted_too_late_for_a_read(
        &[Full(5, &["a"]), Heard(900, &["b"]), Pause(3_000), Full(7, &["a"])], &["b"]);
    a_notice_that_is_too_new_to_doubt(
        &[Full(5, &["a"]), Heard(900, &["b"]), Pause(1_000), Nothing(6), Check(7, &["a"])], &["b"]);
    a_notice_that_replaced_the_doubted_one(
        &[Full(5, &[]), Heard(900, &["b"]), Pause(3_000), Nothing(6), Heard(901, &["c"]), Check(7, &[])],
        &["c"]);
    no_repeat_of_a_contradicted_notice(
        &[Full(5, &[]), Heard(900, &["b"]), Pause(3_000), Nothing(6), Check(7, &[]), Heard(901, &["b"])], &[]);
    changes_after_a_contradicted_notice(
        &[Full(5, &[]), Heard(900, &["b"]), Pause(3_000), Nothing(6), Check(7, &[]), Put(8, "a")], &["a"]);
    a_notice_before_a_contradicted_one(
        &[Full(5, &[]), Heard(900, &["b"]), Pause(3_000), Nothing(6), Check(7, &[]), Heard(8, &["a"])], &["a"]);
    a_notice_once_the_store_has_reached_a_contradicted_one(
        &[Full(5, &[]), Heard(900, &["b"]), Pause(3_000), Nothing(6), Check(7, &[]), Nothing(950),
            Heard(960, &["a"])], &["a"]);
}

/// Guards against a faulty writer of keys or peer that makes hosts keep any number of zones, or lose known ones.
#[test]
fn keeps_a_bounded_number_of_zones_and_all_that_are_known() {
    let names: Vec<String> = (0..5_000).map(|number| format!("x{number}")).collect();
    let mut changes: Vec<_> = names.iter().map(|name| (name.as_str(), 5, true)).collect();
    changes.push(("z", 6, true));
    let mut register = Register::default();
    register.read(&reading(true, 6, &changes), |known| *known == zone("z"), Instant::now());
    assert_eq!(register.zones().count(), MAX_UNKNOWN_ZONES + 1);
    assert!(register.contains(&zone("z")));
    let own = register.notice().unwrap();
    let mut other = Register::default();
    assert_eq!(other.hear(&own, Instant::now()), Ok(()));
    assert!(other.contains(&zone("z")));
    let reported = register.filter_unknown(|_| false).len();
    assert_eq!((reported, register.filter_unknown(|_| false).len()), (MAX_UNKNOWN_ZONES + 1, 0));
}

/// A notice of a faulty peer is ignored, and says why.
fn refuses(notice: &Notice, reason: ImplausibleNotice) {
    let mut register = Register::default();
    register.read(&reading(true, 5, &[("a", 5, true)]), |_| true, Instant::now());
    assert_eq!(register.hear(notice, Instant::now()), Err(reason));
    assert!(register.contains(&zone("a")));
}

cases! { refuses:
    more_zones_than_any_deployment_has(
        &notice(6, &vec!["b"; MAX_NOTICE_ZONES + 1]), ImplausibleNotice::TooManyZones);
    an_invalid_name(&notice(6, &["no zone"]), ImplausibleNotice::Malformed);
    no_revision(&notice(0, &["b"]), ImplausibleNotice::Malformed);
    the_largest_revision(&notice(u64::MAX, &["b"]), ImplausibleNotice::RevisionTooHigh);
}

/// A notice of another form must not make a batch unreadable, whose other messages jobs wait for.
fn decodes(text: &Value, revision: u64) {
    let decoded: Notice = serde_json::from_value(text.clone()).unwrap();
    assert_eq!(decoded.revision, revision);
}

cases! { decodes:
    a_notice(&json!({ "revision": 7, "zones": ["a"] }), 7);
    a_notice_with_more_fields(&json!({ "revision": 7, "zones": ["a"], "new": [1] }), 7);
    a_negative_revision(&json!({ "revision": -1, "zones": ["a"] }), 0);
    zones_of_another_form(&json!({ "revision": 7, "zones": { "a": 1 } }), 0);
    another_type(&json!("a"), 0);
}

#[test]
fn a_notice_is_read_as_it_was_written() {
    let own = notice(7, &["a", "b"]);
    let text = serde_json::to_string(&own).unwrap();
    assert_eq!(serde_json::from_str::<Notice>(&text).unwrap(), own);
}

/// A later page of a read may be newer than the first one, which may lack changes that came before it. Guards against
/// peers that keep the incomplete set, because the whole one seems no newer.
#[test]
fn a_read_counts_as_whole_up_to_its_first_page() {
    let now = Instant::now();
    let (mut register, mut peer) = (Register::default(), Register::default());
    register.read(&reading(true, 5, &[("b", 9, true)]), |_| true, now);
    peer.hear(&register.notice().unwrap(), now).unwrap();
    register.read(&reading(false, 9, &[("a", 7, true), ("b", 9, true)]), |_| true, now);
    peer.hear(&register.notice().unwrap(), now).unwrap();
    assert!(peer.contains(&zone("a")) && peer.contains(&zone("b")));
}

/// Evacuations are reported once, when their zones are known; restorations of those only.
#[test]
fn reports_each_change_of_a_known_zone_once() {
    let now = Instant::now();
    let mut register = Register::default();
    let mut report = |input: Option<Reading>, is_known: bool| {
        if let Some(input) = input {
            register.read(&input, |_| true, now);
        }
        let transitions = register.settle(|_| is_known);
        let text = transitions.iter().map(|one| (one.zone.to_string(), one.is_evacuated));
        (text.collect::<Vec<_>>(), register.version())
    };
    assert_eq!(report(None, true), (vec![], 0));
    assert_eq!(report(Some(reading(true, 5, &[("a", 5, true)])), false), (vec![], 1));
    assert_eq!(report(None, true), (vec![("a".to_owned(), true)], 1));
    assert_eq!(report(None, true), (vec![], 1));
    assert_eq!(report(Some(reading(false, 6, &[])), true), (vec![], 1));
    let gone = reading(false, 7, &[("a", 7, false)]);
    assert_eq!(report(Some(gone), true), (vec![("a".to_owned(), false)], 2));
}

/// A key that can't be read must not fill the log.
#[test]
fn reports_each_unreadable_key_once() {
    let mut register = Register::default();
    let one = |key: &str, revision| Unreadable { key: key.into(), revision, reason: "odd".into() };
    assert_eq!(register.filter_new(&[one("a", 1), one("b", 2)]).len(), 2);
    assert_eq!(register.filter_new(&[one("a", 1)]).len(), 0);
    assert_eq!(register.filter_new(&[one("a", 3)]).len(), 1);
    let many: Vec<_> = (0..10_000).map(|number| one(&format!("x{number}"), 9)).collect();
    assert!(register.filter_new(&many).len() < 2_000);
}

/// After a pause the zones stay in force, but this host waits for word before it claims a zone.
#[test]
fn is_not_informed_after_a_pause_before_it_hears_again() {
    let now = Instant::now();
    let mut register = Register::default();
    assert!(!register.is_informed());
    register.read(&reading(true, 5, &[("a", 5, true)]), |_| true, now);
    assert!(register.is_informed());
    register.set_outdated();
    assert!(!register.is_informed() && register.contains(&zone("a")));
    register.read(&reading(false, 5, &[]), |_| true, now);
    assert!(register.is_informed());
}

/// Starts each of the warm targets some times, and then the cold target as often as it may, up to 100 times. Guards
/// against a cold target that gets most of the work, and against one that gets none.
fn starts_on_a_cold_target(warm: usize, each: usize, expected: usize) {
    let mut starts = Starts::new(Limit { overage: 1.5, slack: 5.0 });
    let mut entries: Vec<_> = (0..=warm).map(|one| entry(&format!("t{one}"), "a")).collect();
    // Starts before it became cold don't count.
    starts.update(entries.iter());
    entries.iter().for_each(|entry| (0..30).for_each(|_| starts.record(entry)));
    entries[0].is_cold = true;
    starts.update(entries.iter());
    entries[1..].iter().for_each(|entry| (0..each).for_each(|_| starts.record(entry)));
    let mut count = 0;
    while count < 100 && starts.allows(&entries[0]) {
        starts.record(&entries[0]);
        count += 1;
    }
    assert_eq!(count, expected);
    assert!(entries[1..].iter().all(|entry| starts.allows(entry)));
    entries[0].is_cold = false;
    starts.update(entries.iter());
    assert!(starts.allows(&entries[0]), "it is warm again");
}

cases! { starts_on_a_cold_target:
    has_the_slack_at_first(3, 0, 5);
    has_the_mean_and_a_half_later(3, 10, 20);
    has_no_limit_without_warm_targets(0, 0, 100);
}
