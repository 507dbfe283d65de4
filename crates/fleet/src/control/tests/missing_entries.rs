//! Entries that vanish from the store's list while their targets live.

use coltsfootshunt_testkit::cases;

use super::jobs::settled;
use crate::job::Outcome;

/// All entries of both zones vanish while a task runs, and are back after some time.
fn runs_on(vanished_ms: u64) {
    let mut world = settled(3);
    let id = world.submit_at(0, 9_000, 100, 1_300);
    world.run_for(20);
    (0..world.targets.len()).for_each(|target| world.hide(target, true));
    world.run_for(vanished_ms);
    (0..world.targets.len()).for_each(|target| world.hide(target, false));
    world.run_for(5_000);
    assert_eq!(world.outcomes(&id), [Some(Outcome::Completed)]);
    let later = world.submit_at(0, 9_000, 100, 100);
    world.run_for(2_000);
    assert_eq!(world.outcomes(&later), [Some(Outcome::Completed)]);
    assert_eq!(world.broken, Vec::<String>::new());
}

cases! { runs_on:
    for_a_moment(700);
    until_they_count_as_gone(4_000);
    for_long(9_000);
}

/// The only targets that can hold a task have vanished for so long; what its caller hears.
fn fits(vanished_ms: u64, wanted: fn(&Outcome) -> bool) {
    let mut world = settled(3);
    for target in world.targets.values_mut().skip(1) {
        target.entry.capacity.cpu_millis = 8_000;
    }
    world.run_for(1_500);
    world.hide(0, true);
    world.run_for(vanished_ms);
    let id = world.submit_at(3, 20_000, 100, 100);
    world.run_for(3_000);
    let outcomes = world.outcomes(&id);
    assert!(matches!(outcomes, [Some(outcome)] if wanted(outcome)), "{outcomes:?}");
}

cases! { fits:
    while_its_entry_counts(1_000, |outcome| *outcome == Outcome::Completed);
    not_said_to_be_impossible_once_it_counts_as_gone(5_000, |outcome| {
        matches!(outcome, Outcome::Refused { .. })
    });
}
