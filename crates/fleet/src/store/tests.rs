use coltsfootshunt_testkit::cases;

use super::{Reported, Unreadable};

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
