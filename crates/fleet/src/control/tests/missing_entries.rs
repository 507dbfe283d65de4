//! Running targets whose entries are missing from the store's list.

use coltsfootshunt_testkit::cases;

use super::jobs::converged;
use crate::job::Outcome;

/// All entries disappear while a task runs, and return after some time. The task completes, and so
/// does a later one.
fn running_task_completes(missing_ms: u64) {
    let mut sim = converged(3);
    let id = sim.submit_at(0, 9_000, 100, 1_300);
    sim.run_for(20);
    (0..sim.targets.len()).for_each(|target| sim.set_hidden(target, true));
    sim.run_for(missing_ms);
    (0..sim.targets.len()).for_each(|target| sim.set_hidden(target, false));
    sim.run_for(5_000);
    assert_eq!(sim.outcomes(&id), [Some(Outcome::Completed)]);
    let later = sim.submit_at(0, 9_000, 100, 100);
    sim.run_for(2_000);
    assert_eq!(sim.outcomes(&later), [Some(Outcome::Completed)]);
    assert_eq!(sim.violations, Vec::<String>::new());
}

cases! { running_task_completes:
    missing_briefly(700);
    until_they_count_as_removed(4_000);
    missing_for_long(9_000);
}

/// The entry of the only target that fits a task has been missing for some time; checks the
/// outcome.
fn job_of_missing_target(missing_ms: u64, is_expected: fn(&Outcome) -> bool) {
    let mut sim = converged(3);
    for target in sim.targets.values_mut().skip(1) {
        target.entry.capacity.cpu_millis = 8_000;
    }
    sim.run_for(1_500);
    sim.set_hidden(0, true);
    sim.run_for(missing_ms);
    let id = sim.submit_at(3, 20_000, 100, 100);
    sim.run_for(3_000);
    let outcomes = sim.outcomes(&id);
    assert!(matches!(outcomes, [Some(outcome)] if is_expected(outcome)), "{outcomes:?}");
}

cases! { job_of_missing_target:
    completes_before_removal(1_000, |outcome| *outcome == Outcome::Completed);
    is_refused_after_removal(5_000, |outcome| {
        matches!(outcome, Outcome::Refused { .. })
    });
}
