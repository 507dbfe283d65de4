//! Tests of this slice.

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

/// Offers in this order leave this revision in force.
fn in_force(offers: &[u64], wanted: u64) {
    let mut config = Current::default();
    let mut highest = 0;
    for revision in offers {
        let taken = config.replace_if_newer(document(*revision));
        assert_eq!(taken, *revision > highest);
        highest = highest.max(*revision);
    }
    assert_eq!(config.revision(), Revision(wanted));
}

cases! { in_force:
    nothing(&[], 0);
    rising(&[1, 2, 3], 3);
    late_copies(&[2, 1, 2, 3, 1], 3);
}

/// A peer that has a newer revision is asked for it, and not again at once.
#[test]
fn newer_revision_is_asked_for_once() {
    let now = Instant::now();
    let mut config = Current::default();
    assert!(config.should_request(Revision(2), now));
    assert!(!config.should_request(Revision(2), now));
    assert!(config.should_request(Revision(3), now), "a still newer one is");
    assert!(
        config.should_request(Revision(3), now + Duration::from_secs(1)),
        "a lost answer is made good"
    );
    config.replace_if_newer(document(3));
    assert!(!config.should_request(Revision(3), now + Duration::from_secs(9)));
}
