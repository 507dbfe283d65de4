//! Tests of the configuration in force.

use std::time::{Duration, Instant};

use coltsfootshunt_core::config::{Config, Document, Revision};
use coltsfootshunt_testkit::cases;
use uuid::Uuid;

use super::Current;

fn document(revision: u64) -> Document {
    let mut document = Document::after(None, Uuid::nil(), Config::default());
    document.version.revision = Revision(revision);
    document
}

/// Checks that documents with these revisions, in this order, leave `expected` in force.
fn in_force(received: &[u64], expected: u64) {
    let mut config = Current::default();
    let mut highest = 0;
    for revision in received {
        let is_replaced = config.replace_if_newer(document(*revision));
        assert_eq!(is_replaced, *revision > highest);
        highest = highest.max(*revision);
    }
    assert_eq!(config.revision(), Revision(expected));
}

cases! { in_force:
    no_document(&[], 0);
    ascending(&[1, 2, 3], 3);
    late_duplicates(&[2, 1, 2, 3, 1], 3);
}

/// A newer revision is requested from a peer once, and again only after the interval.
#[test]
fn a_newer_revision_is_requested_once_per_interval() {
    let now = Instant::now();
    let mut config = Current::default();
    assert!(config.should_request(Revision(2), now));
    assert!(!config.should_request(Revision(2), now));
    assert!(config.should_request(Revision(3), now), "an even newer revision is requested at once");
    assert!(
        config.should_request(Revision(3), now + Duration::from_secs(1)),
        "a lost request is repeated"
    );
    config.replace_if_newer(document(3));
    assert!(!config.should_request(Revision(3), now + Duration::from_secs(9)));
}
