use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Kind};
use coltsfootshunt_testkit::cases;

use super::{Parked, Register};
use crate::job::{Id, Patience, Plan, RequestId, Requirements, Step, Submission};

const MAX_TIME: Duration = Duration::from_millis(1_300);

fn id() -> Id {
    Id::try_from("0000000000000001").unwrap()
}

fn host(name: &str) -> Host {
    Host::try_from(name).unwrap()
}

fn parked(now: Instant) -> Parked {
    let step = Step { count: 1, requirements: Requirements::default(), after: Vec::new() };
    let submission = Submission {
        id: id(),
        kind: Kind::try_from("cut").unwrap(),
        plan: Arc::new(Plan::new("work".into(), vec![step]).unwrap()),
        patience: Patience::from(Duration::from_secs(1)),
    };
    Parked { request_id: RequestId(1), submission, since: now }
}

/// Stewards that say that a job's runs are over before and after its owner says that it was given up.
fn releases(before: &[&str], after: &[&str], is_settled: bool) {
    let mut register = Register::new(MAX_TIME);
    let now = Instant::now();
    for steward in before {
        assert!(register.settle(&id(), &host(steward), now).is_empty());
    }
    register.give_up(&id(), [host("a"), host("b")], now);
    if register.is_unsettled(&id()) {
        register.park(parked(now));
    }
    let waited = register.has_parked();
    let released: usize =
        after.iter().map(|steward| register.settle(&id(), &host(steward), now).len()).sum();
    assert_eq!(register.is_unsettled(&id()), !is_settled);
    assert_eq!(released, usize::from(waited && is_settled));
    assert_eq!(register.has_parked(), !is_settled);
    let late = register.expire(now + MAX_TIME);
    assert_eq!(late.len(), usize::from(!is_settled), "the leases have ended");
    assert!(!register.is_unsettled(&id()));
}

cases! { releases:
    nothing_before_all_stewards_have_answered(&[], &["a"], false);
    nothing_by_the_word_of_another_host(&[], &["a", "c"], false);
    all_when_the_last_has_answered(&[], &["a", "b"], true);
    all_when_one_answered_early(&["b"], &["a"], true);
    at_once_when_all_answered_early(&["a", "b"], &[], true);
}

#[test]
fn a_caller_that_leaves_waits_no_more() {
    let mut register = Register::new(MAX_TIME);
    let now = Instant::now();
    register.give_up(&id(), [host("a")], now);
    register.park(parked(now));
    register.leave(&id(), RequestId(1));
    assert!(!register.has_parked());
    assert!(register.settle(&id(), &host("a"), now).is_empty());
}
