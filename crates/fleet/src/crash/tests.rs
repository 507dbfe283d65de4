use std::net::SocketAddr;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Target;
use coltsfootshunt_testkit::cases;

use super::{Ledger, Loss, Run, Standing, Verdict};
use crate::job::{Id, Task};

use Verdict::{Crashed, Open, Survived};

fn id(number: u64) -> Id {
    Id::try_from(format!("{number:016x}")).unwrap()
}

fn task(index: u32) -> Task {
    Task { job: id(1), step: 0, index }
}

fn address(number: u32) -> SocketAddr {
    ([10, 0, 0, number as u8], 80).into()
}

/// The loss of a task's run on a target of the same number.
fn loss(index: u32, number: u32, alone: bool, verdict: Verdict) -> Loss {
    let target = Target::try_from(format!("t{number}").as_str()).unwrap();
    let run =
        Run { task: task(index), target, address: address(number), started_at_ms: 10, number };
    Loss { run, alone, verdict }
}

/// Losses of one task, each given by what became of its target.
fn standing_after(verdicts: &[Verdict], expected: Standing) {
    let mut ledger = Ledger::default();
    let now = Instant::now();
    for (number, verdict) in (1..).zip(verdicts) {
        assert!(ledger.add(&loss(0, number, true, *verdict), now));
        assert!(!ledger.add(&loss(0, number, true, *verdict), now), "known");
    }
    assert_eq!(ledger.standing(&task(0)), expected);
    assert_eq!(ledger.standing(&task(1)), Standing::Clear, "a sibling");
    assert_eq!(ledger.poison_task(&id(1)).is_some(), expected == Standing::Poison);
    assert_eq!(ledger.poison_task(&id(2)), None);
}

cases! { standing_after:
    none(&[], Standing::Clear);
    one_that_survived(&[Survived], Standing::Clear);
    one_not_yet_heard(&[Open], Standing::Suspect);
    a_crash(&[Crashed], Standing::Suspect);
    two_crashes(&[Crashed, Crashed], Standing::Suspect);
    two_crashes_and_one_that_survived(&[Crashed, Crashed, Survived], Standing::Suspect);
    two_crashes_and_one_not_yet_heard(&[Crashed, Crashed, Open], Standing::Pending);
    three_not_yet_heard(&[Open, Open, Open], Standing::Pending);
    three_crashes(&[Crashed, Crashed, Crashed], Standing::Poison);
    three_crashes_and_one_not_yet_heard(&[Crashed, Crashed, Crashed, Open], Standing::Poison);
}

/// What the report of a target at the address of a lost run says of it.
fn report_settles(name: &str, started_at_ms: u64, is_running: bool, expected: Verdict) {
    let mut ledger = Ledger::default();
    let now = Instant::now();
    ledger.add(&loss(0, 1, false, Open), now);
    ledger.add(&loss(1, 2, false, Open), now);
    let name = Target::try_from(name).unwrap();
    let mut judge = || ledger.judge((&name, address(1), started_at_ms), |_| is_running, now);
    let expected: Vec<Verdict> = [expected].into_iter().filter(|one| *one != Open).collect();
    assert_eq!(judge().iter().map(|one| one.verdict).collect::<Vec<_>>(), expected);
    assert_eq!(judge(), [], "settled losses are not judged again");
}

cases! { report_settles:
    of_a_later_incarnation("t1", 11, false, Crashed);
    of_a_later_incarnation_that_runs_the_task_again("t1", 11, true, Crashed);
    of_a_later_target_at_its_address("t9", 11, false, Crashed);
    of_the_same_incarnation("t1", 10, false, Survived);
    of_the_same_incarnation_that_still_runs_it("t1", 10, true, Open);
    of_an_earlier_incarnation("t1", 9, false, Open);
    of_an_earlier_target_at_its_address("t9", 9, false, Open);
    of_a_target_of_another_name_and_the_same_time("t9", 10, false, Open);
}

/// News of a loss replaces what was known only if it is more definite, in whatever order it arrives.
fn keeps_the_more_definite(first: Verdict, second: Verdict, expected: Verdict) {
    let mut ledger = Ledger::default();
    let now = Instant::now();
    ledger.add(&loss(0, 1, true, first), now);
    assert_eq!(ledger.add(&loss(0, 1, true, second), now), second == expected && first != second);
    assert_eq!(ledger.iter().map(|one| one.verdict).collect::<Vec<_>>(), [expected]);
    assert_eq!(ledger.len(), 1);
}

cases! { keeps_the_more_definite:
    crash_after_open(Open, Crashed, Crashed);
    open_after_crash(Crashed, Open, Crashed);
    survival_after_open(Open, Survived, Survived);
    open_after_survival(Survived, Open, Survived);
    the_same(Open, Open, Open);
}

#[test]
fn losses_are_dropped_after_their_time() {
    let mut ledger = Ledger::default();
    let start = Instant::now();
    ledger.add(&loss(0, 1, true, Open), start);
    ledger.add(&loss(1, 2, true, Open), start + Duration::from_secs(60));
    assert_eq!(ledger.expire(start + Duration::from_secs(119)), 0);
    assert_eq!(ledger.len(), 2);
    assert_eq!(ledger.expire(start + Duration::from_secs(121)), 0);
    assert_eq!(ledger.len(), 1);
    let name = Target::try_from("t1").unwrap();
    let judged = ledger.judge((&name, address(1), 11), |_| false, start);
    assert_eq!(judged, [], "a dropped loss is not judged");
}

#[test]
fn the_oldest_losses_are_dropped_beyond_the_limit() {
    let mut ledger = Ledger::default();
    let start = Instant::now();
    for index in 0..10_100 {
        ledger.add(&loss(index, 1, true, Open), start + Duration::from_millis(index.into()));
    }
    assert_eq!(ledger.expire(start + Duration::from_secs(11)), 100);
    assert_eq!(ledger.len(), 10_000);
    assert_eq!(ledger.standing(&task(99)), Standing::Clear);
    assert_eq!(ledger.standing(&task(100)), Standing::Suspect);
}
