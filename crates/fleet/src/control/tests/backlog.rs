//! Effects of the age of the oldest event that the control thread has not handled.

use std::time::{Duration, Instant};

use coltsfootshunt_testkit::cases;

use super::super::Backlog;
use super::super::lag::Dropped;
use crate::report::Record;

/// Guards against effects of the few milliseconds that events wait on a host that keeps up.
fn counts(age_ms: u64, wait_ms: u64, stops_new_tasks: bool, drops_records: bool) {
    let backlog = Backlog::from(Duration::from_millis(age_ms));
    assert_eq!(backlog.wait(), Duration::from_millis(wait_ms));
    assert_eq!(
        (backlog.stops_new_tasks(), backlog.drops_records()),
        (stops_new_tasks, drops_records)
    );
}

cases! { counts:
    not_on_a_host_that_keeps_up(20, 0, false, false);
    as_wait(21, 21, false, false);
    against_new_tasks(51, 51, true, false);
    against_lines(101, 101, true, true);
}

/// Guards against lines that are lost without a trace, and against a line for each iteration.
#[test]
fn dropped_records_are_counted_once_a_second() {
    let start = Instant::now();
    let mut dropped = Dropped::new(start);
    assert!(dropped.end_iteration(start + Duration::from_secs(2)).is_none());
    dropped.add();
    dropped.add();
    let later = start + Duration::from_secs(3);
    let record = dropped.end_iteration(later);
    assert!(matches!(record, Some(Record::RecordsDropped { records: 2, .. })), "{record:?}");
    dropped.add();
    assert!(dropped.end_iteration(later + Duration::from_millis(900)).is_none());
    let record = dropped.end_iteration(later + Duration::from_secs(1));
    assert!(matches!(record, Some(Record::RecordsDropped { records: 1, .. })), "{record:?}");
}
