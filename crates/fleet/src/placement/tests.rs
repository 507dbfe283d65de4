mod outlook;
mod replay;

use std::time::{Duration, Instant};

use coltsfootshunt_testkit::cases;

use super::{Candidate, Choice, FastTargets, Outlook, choose};
use crate::job::Resources;
use crate::queue::tests::queued_task;

fn candidate(index: usize, expected_ms: u64, free: u64, suspect: bool) -> Candidate {
    let free = Resources { cpu_millis: free, memory_mb: 1_000, accelerators: 0 };
    Candidate { index, expected: Duration::from_millis(expected_ms), free, suspect }
}

fn chooses(candidates: &[Candidate], fastest_ms: u64, wanted: Choice) {
    let now = Instant::now();
    let task = queued_task("0000000000000001", 0, now, 200, 1_500);
    let fast = FastTargets {
        fastest_run: Duration::from_millis(fastest_ms),
        free_slots: 9,
        slots: 10,
        ..FastTargets::default()
    };
    assert_eq!(choose(&task, candidates, fast, &Outlook::default(), now), wanted);
}

cases! { chooses:
    the_fastest(&[candidate(0, 100, 9, false), candidate(1, 50, 9, false)], 50, Choice::Start(1));
    the_fullest_of_equals(
        &[candidate(0, 100, 9, false), candidate(1, 104, 3, false)], 100, Choice::Start(1));
    no_suspect(&[candidate(0, 50, 9, true), candidate(1, 90, 9, false)], 50, Choice::Start(1));
    to_wait_when_only_suspects_are_free(&[candidate(0, 50, 9, true)], 50, Choice::Wait);
    to_wait_when_the_free_one_makes_it_late(&[candidate(0, 300, 9, false)], 100, Choice::Wait);
    a_slow_one_when_none_is_faster(&[candidate(0, 300, 9, false)], 300, Choice::Start(0));
    to_wait_rather_than_start_too_late(&[candidate(0, 3_000, 9, false)], 2_900, Choice::Wait);
    to_wait_when_the_end_would_miss_the_deadline(&[candidate(0, 2_000, 9, false)], 1_000, Choice::Wait);
}

/// A fast target with a run time of 50 ms and a slower one are free. Of the ten slots on fast
/// targets `free` are free.
fn prefers(slow_ms: u64, objective_ms: u64, free: u64, wanted: usize) {
    let now = Instant::now();
    let task = queued_task("0000000000000001", 0, now, objective_ms, 1_500);
    let fast = FastTargets {
        fastest_run: Duration::from_millis(50),
        free_slots: free,
        slots: 10,
        ..FastTargets::default()
    };
    let candidates = [candidate(0, 50, 9, false), candidate(1, slow_ms, 9, false)];
    assert_eq!(choose(&task, &candidates, fast, &Outlook::default(), now), Choice::Start(wanted));
}

cases! { prefers:
    the_slow_target_when_few_fast_slots_are_free(100, 200, 3, 1);
    the_fast_target_when_many_slots_are_free(100, 200, 8, 0);
    the_fast_target_when_the_slow_one_is_late(190, 200, 3, 0);
    the_fast_target_when_the_slow_one_may_miss_the_deadline(1_200, 1_400, 3, 0);
}

/// The free target may be too slow for a long task, while a fast one is expected to become free
/// after a wait.
fn waits(fast_in_ms: u64, slow_ms: u64, wanted: Choice) {
    let now = Instant::now();
    let task = queued_task("0000000000000001", 0, now, 1_450, 1_500);
    let wait = Duration::from_millis(fast_in_ms);
    let fast =
        FastTargets { fastest_run: Duration::from_millis(400), free_slots: 0, slots: 10, wait };
    let candidates = [candidate(0, slow_ms, 9, false)];
    assert_eq!(choose(&task, &candidates, fast, &Outlook::default(), now), wanted);
}

cases! { waits:
    for_a_fast_target(20, 900, Choice::Wait);
    while_a_fast_target_is_more_likely_to_end_in_time(700, 1_100, Choice::Wait);
    not_too_long(1_000, 1_100, Choice::Start(0));
    not_where_the_slow_one_is_safe(20, 700, Choice::Start(0));
}
