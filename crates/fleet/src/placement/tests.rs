use std::time::{Duration, Instant};

use coltsfootshunt_testkit::cases;

use super::{Candidate, Choice, Fast, choose};
use crate::job::Resources;
use crate::queue::tests::waiting;

fn candidate(place: usize, expected_ms: u64, free: u64, suspect: bool) -> Candidate {
    let free = Resources { cpu_millis: free, memory_mb: 1_000, accelerators: 0 };
    Candidate { place, expected: Duration::from_millis(expected_ms), free, suspect }
}

fn chooses(candidates: &[Candidate], fastest_ms: u64, wanted: Choice) {
    let now = Instant::now();
    let task = waiting("0000000000000001", 0, now, 200, 1_500);
    let fast =
        Fast { best: Duration::from_millis(fastest_ms), free: 9, places: 10, ..Fast::default() };
    assert_eq!(choose(&task, candidates, fast, now), wanted);
}

cases! { chooses:
    the_fastest(&[candidate(0, 100, 9, false), candidate(1, 50, 9, false)], 50, Choice::Start(1));
    the_fullest_of_equals(
        &[candidate(0, 100, 9, false), candidate(1, 104, 3, false)], 100, Choice::Start(1));
    no_suspect(&[candidate(0, 50, 9, true), candidate(1, 90, 9, false)], 50, Choice::Start(1));
    to_wait_when_only_suspects_are_free(&[candidate(0, 50, 9, true)], 50, Choice::Wait);
    to_wait_when_the_free_one_makes_it_late(&[candidate(0, 300, 9, false)], 100, Choice::Wait);
    a_slow_one_when_none_is_faster(&[candidate(0, 300, 9, false)], 300, Choice::Start(0));
    to_wait_rather_than_start_in_vain(&[candidate(0, 3_000, 9, false)], 2_900, Choice::Wait);
    to_wait_when_the_caller_would_be_gone(&[candidate(0, 2_000, 9, false)], 1_000, Choice::Wait);
}

/// A fast target of 50 ms and a slow one are free; `free` of ten fast places are.
fn leaves(slow_ms: u64, objective_ms: u64, free: u64, wanted: usize) {
    let now = Instant::now();
    let task = waiting("0000000000000001", 0, now, objective_ms, 1_500);
    let fast = Fast { best: Duration::from_millis(50), free, places: 10, ..Fast::default() };
    let candidates = [candidate(0, 50, 9, false), candidate(1, slow_ms, 9, false)];
    assert_eq!(choose(&task, &candidates, fast, now), Choice::Start(wanted));
}

cases! { leaves:
    fast_targets_to_long_work_when_few_are_free(100, 200, 3, 1);
    nothing_when_many_are_free(100, 200, 8, 0);
    nothing_when_the_slow_one_would_make_it_late(190, 200, 3, 0);
    nothing_when_the_caller_might_be_gone(1_200, 1_400, 3, 0);
}

/// Long work whose free target may well be too slow, while fast ones are expected to be free after a wait.
fn waits(fast_in_ms: u64, slow_ms: u64, wanted: Choice) {
    let now = Instant::now();
    let task = waiting("0000000000000001", 0, now, 1_450, 1_500);
    let wait = Duration::from_millis(fast_in_ms);
    let fast = Fast { best: Duration::from_millis(400), free: 0, places: 10, wait };
    let candidates = [candidate(0, slow_ms, 9, false)];
    assert_eq!(choose(&task, &candidates, fast, now), wanted);
}

cases! { waits:
    for_a_fast_target(20, 900, Choice::Wait);
    for_a_fast_target_as_long_as_that_is_the_better_chance(700, 1_100, Choice::Wait);
    no_longer(1_000, 1_100, Choice::Start(0));
    not_where_the_slow_one_is_safe(20, 700, Choice::Start(0));
}
