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

/// The loss of a task's run on a target of the same number.
fn loss(index: u32, number: u32, alone: bool, verdict: Verdict) -> Loss {
    let target = Target::try_from(format!("t{number}").as_str()).unwrap();
    Loss { run: Run { task: task(index), target, started_at_ms: 10, number }, alone, verdict }
}

/// Losses of one task, each given by whether it was alone and what became of its target.
fn standing_after(losses: &[(bool, Verdict)], expected: Standing) {
    let mut ledger = Ledger::default();
    let now = Instant::now();
    for (number, (alone, verdict)) in (1..).zip(losses) {
        assert!(ledger.add(&loss(0, number, *alone, *verdict), now));
        assert!(!ledger.add(&loss(0, number, *alone, *verdict), now), "known");
    }
    assert_eq!(ledger.standing(&task(0)), expected);
    assert_eq!(ledger.standing(&task(1)), Standing::Clear, "a sibling");
    assert_eq!(ledger.deadly_task(&id(1)).is_some(), expected == Standing::Deadly);
    assert_eq!(ledger.deadly_task(&id(2)), None);
}

cases! { standing_after:
    none(&[], Standing::Clear);
    one_that_survived(&[(true, Survived)], Standing::Clear);
    one_not_yet_heard(&[(false, Open)], Standing::Suspect);
    a_crash_beside_others(&[(false, Crashed)], Standing::Suspect);
    a_crash_alone(&[(true, Crashed)], Standing::Suspect);
    two_crashes_beside_others(&[(false, Crashed), (false, Crashed)], Standing::Suspect);
    two_crashes_of_which_one_alone(&[(false, Crashed), (true, Crashed)], Standing::Suspect);
    two_alone_of_which_one_is_not_yet_heard(&[(true, Crashed), (true, Open)], Standing::Pending);
    two_alone_of_which_one_survived(&[(true, Crashed), (true, Survived)], Standing::Suspect);
    three_not_yet_heard(&[(false, Open), (false, Open), (false, Open)], Standing::Pending);
    two_crashes_alone(&[(true, Crashed), (true, Crashed)], Standing::Deadly);
    two_crashes_alone_after_one_beside_others(
        &[(false, Crashed), (true, Crashed), (true, Crashed)],
        Standing::Deadly,
    );
}

/// What a target's report says of a run that was lost with it.
fn report_settles(started_at_ms: u64, is_running: bool, expected: Verdict) {
    let mut ledger = Ledger::default();
    let now = Instant::now();
    let lost = loss(0, 1, false, Open);
    ledger.add(&lost, now);
    ledger.add(&loss(1, 2, false, Open), now);
    let settled = ledger.judge(&lost.run.target, started_at_ms, |_| is_running, now);
    let expected: Vec<Verdict> = [expected].into_iter().filter(|one| *one != Open).collect();
    assert_eq!(settled.iter().map(|one| one.verdict).collect::<Vec<_>>(), expected);
    let again = ledger.judge(&lost.run.target, started_at_ms, |_| is_running, now);
    assert_eq!(again, [], "settled losses are not judged again");
}

cases! { report_settles:
    of_a_later_incarnation(11, false, Crashed);
    of_a_later_incarnation_that_runs_the_task_again(11, true, Crashed);
    of_the_same_incarnation(10, false, Survived);
    of_the_same_incarnation_that_still_runs_it(10, true, Open);
    of_an_earlier_incarnation(9, false, Open);
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
    let target = loss(0, 1, true, Open).run.target;
    assert_eq!(ledger.judge(&target, 11, |_| false, start), [], "a dropped loss is not judged");
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
