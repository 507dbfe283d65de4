use std::time::Duration;

use coltsfootshunt_testkit::cases;

use super::agent::list_interval;
use super::{Changes, Content, Replica, Reported, Row, Unreadable};
use crate::directory::tests::entry;

fn unreadable(key: &str, revision: u64) -> Unreadable {
    Unreadable { key: key.into(), revision, reason: "it is odd".into() }
}

/// Each read lists the keys and revisions that are unreadable; checks which of the last are reported.
fn reports(reads: &[&[(&str, u64)]], wanted: &[(&str, u64)]) {
    let mut reported = Reported::default();
    let mut last = Vec::new();
    for read in reads {
        last = reported
            .filter_new(read.iter().map(|(key, revision)| unreadable(key, *revision)).collect());
    }
    let last: Vec<(&str, u64)> = last.iter().map(|one| (&*one.key, one.revision)).collect();
    assert_eq!(last, wanted);
}

cases! { reports:
    all_at_first(&[&[("a", 1), ("b", 2)]], &[("a", 1), ("b", 2)]);
    nothing_twice(&[&[("a", 1)], &[("a", 1)]], &[]);
    a_change(&[&[("a", 1), ("b", 2)], &[("a", 3), ("b", 2)]], &[("a", 3)]);
    nothing_from_a_stale_read(&[&[("a", 3)], &[("a", 1)], &[("a", 3)]], &[]);
    an_entry_that_is_unreadable_again(&[&[("a", 1)], &[], &[("a", 4)]], &[("a", 4)]);
}

/// What a row holds, by a word for each case.
fn row(key: &str, revision: u64, content: &str) -> Row<crate::directory::Entry> {
    let content = match content {
        "removed" => Content::Removed,
        "unreadable" => Content::Unreadable("it is odd".into()),
        zone => Content::Entry(entry(key, zone)),
    };
    Row { key: key.into(), revision, content }
}

/// Key, revision and content.
type Text<'a> = (&'a str, u64, &'a str);

/// Each set of changes has a revision and rows; checks the zone of each entry that is listed at the end.
fn keeps(changes: &[(u64, &[Text<'_>])], expected: &[(&str, &str)], unreadable: &[(&str, u64)]) {
    let mut replica = Replica::default();
    for (revision, rows) in changes {
        let rows = rows.iter().map(|(key, revision, content)| row(key, *revision, content));
        replica.apply(Changes { rows: rows.collect(), revision: *revision });
    }
    let listing = replica.listing();
    let entries: Vec<(&str, &str)> =
        listing.entries.iter().map(|entry| (&*entry.name, &*entry.zone)).collect();
    assert_eq!(entries, expected);
    let unread: Vec<(&str, u64)> =
        listing.unreadable.iter().map(|one| (&*one.key, one.revision)).collect();
    assert_eq!(unread, unreadable);
    assert_eq!(replica.revision(), changes.iter().map(|(revision, _)| *revision).max().unwrap());
}

cases! { keeps:
    what_has_not_changed(&[(5, &[("a", 1, "y"), ("b", 2, "y")]), (6, &[])], &[("a", "y"), ("b", "y")], &[]);
    a_change(&[(5, &[("a", 1, "y")]), (7, &[("a", 6, "z")])], &[("a", "z")], &[]);
    the_last_of_two_changes(&[(5, &[]), (9, &[("a", 6, "y"), ("a", 8, "z")])], &[("a", "z")], &[]);
    no_removed_entry(&[(5, &[("a", 1, "y"), ("b", 2, "y")]), (7, &[("a", 6, "removed")])], &[("b", "y")], &[]);
    an_entry_that_is_back(
        &[(5, &[("a", 1, "y")]), (9, &[("a", 6, "removed"), ("a", 8, "z")])], &[("a", "z")], &[]);
    // A later page of the first read may be newer than its first page, from which the changes continue.
    no_change_that_is_older_than_the_read(&[(5, &[("a", 8, "z")]), (9, &[("a", 6, "y")])], &[("a", "z")], &[]);
    an_unreadable_entry_apart(&[(5, &[("a", 1, "y")]), (7, &[("a", 6, "unreadable")])], &[], &[("a", 6)]);
    an_entry_that_is_readable_again(
        &[(5, &[("a", 1, "unreadable")]), (7, &[("a", 6, "y")])], &[("a", "y")], &[]);
}

/// Targets register within seconds of a start of all. A host that had seen the first of them kept that list for ten
/// seconds, its zone seemed to have no targets and got no steward, and half of the jobs were refused.
fn reads_the_list_again_within(uptime_ms: u64, interval_ms: u64) {
    let interval = list_interval(Duration::from_millis(uptime_ms));
    assert_eq!(interval, Duration::from_millis(interval_ms));
}

cases! { reads_the_list_again_within:
    seconds_at_the_start(0, 2_500);
    seconds_while_the_fleet_starts(14_999, 2_500);
    ten_seconds_later(15_000, 10_000);
}
