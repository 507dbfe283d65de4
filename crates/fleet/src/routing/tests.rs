mod crest;
mod split_zone;

use std::time::Duration;

use coltsfootshunt_core::name::Host;
use coltsfootshunt_testkit::cases;

use super::{
    Candidate, EndTimes, Load, Profile, assign, assign_fast, choose_stewards, expected_waits,
};

fn candidate(name: &str, round_trip_ms: u64, free: u32, wait_ms: u32) -> Candidate {
    let host = Host::try_from(name).unwrap();
    let load = Load {
        free_slots: free,
        free_fast_slots: free / 2,
        slots: 10,
        completions_per_s: 100,
        waits_ms: [wait_ms; 6],
        ..Load::default()
    };
    Candidate { host, round_trip: Duration::from_millis(round_trip_ms), load }
}

const SHORT: Profile = Profile {
    slack: Duration::from_millis(85),
    slack_level: 2,
    run: Duration::from_millis(100),
    is_long: false,
};

/// Numbers that are drawn for jobs, evenly spread.
fn draws() -> impl Iterator<Item = u64> {
    (0..100).map(|number| u64::MAX / 100 * number)
}

/// Number of tasks that each candidate gets of a job of short work.
fn counts(tasks: usize, candidates: &[Candidate], draw: u64) -> Vec<usize> {
    let assigned = assign(tasks, &SHORT, &mut candidates.to_vec(), draw);
    let count = |index| assigned.iter().filter(|&&at| at == index).count();
    (0..candidates.len()).map(count).collect()
}

/// Whatever is drawn, the candidates get these numbers of tasks.
fn assigns(tasks: usize, candidates: &[Candidate], expected: &[usize]) {
    draws().for_each(|draw| assert_eq!(counts(tasks, candidates, draw), expected));
}

cases! { assigns:
    nearest_free_slots_first(2, &[candidate("a", 0, 4, 0), candidate("b", 3, 4, 0)], &[2, 0]);
    excess_tasks_to_remote_free_slots(
        6, &[candidate("a", 0, 4, 80), candidate("b", 3, 4, 0)], &[4, 2],
    );
    to_one_steward_while_too_few_slots_are_free(
        9, &[candidate("a", 0, 1, 40), candidate("b", 3, 7, 20)], &[0, 9],
    );
    split_job_that_is_too_large_for_one_steward(
        20, &[candidate("a", 0, 6, 0), candidate("b", 3, 6, 0)], &[10, 10],
    );
    to_short_local_queue_before_remote_free_slot(
        1, &[candidate("a", 0, 0, 2), candidate("b", 5, 1, 0)], &[1, 0],
    );
    to_shortest_queue_while_all_slots_are_busy(
        1, &[candidate("a", 0, 0, 90), candidate("b", 3, 0, 10)], &[0, 1],
    );
}

/// Guards against all hosts sending their work to the steward that the last reports favour: of 100 jobs,
/// the first candidate gets a number in a range and the other one the rest, each job as a whole.
fn spreads(candidates: &[Candidate], to_first: std::ops::RangeInclusive<usize>) {
    let counts: Vec<Vec<usize>> = draws().map(|draw| counts(4, candidates, draw)).collect();
    assert!(counts.iter().all(|counts| counts.contains(&4)), "no job is split");
    let first = counts.iter().filter(|counts| counts[0] == 4).count();
    assert!(to_first.contains(&first), "{first}");
}

cases! { spreads:
    jobs_while_all_slots_are_busy(&[candidate("a", 0, 0, 40), candidate("b", 3, 0, 20)], 50..=70);
    more_jobs_to_the_shorter_queue(&[candidate("a", 3, 0, 40), candidate("b", 3, 0, 0)], 20..=45);
    more_jobs_to_free_slots(&[candidate("a", 3, 0, 0), candidate("b", 3, 8, 0)], 10..=30);
    equal_jobs_to_equal_stewards(&[candidate("a", 3, 0, 30), candidate("b", 3, 0, 30)], 45..=55);
    no_job_that_would_be_late(&[candidate("a", 0, 0, 60), candidate("b", 3, 0, 10)], 0..=0);
}

const LONG: Profile = Profile {
    slack: Duration::from_millis(300),
    slack_level: 3,
    run: Duration::from_millis(800),
    is_long: true,
};

/// Number of tasks that a near and a remote steward get of a job of long work, where `fast` is the number
/// of their free slots on fast targets.
fn assigns_long(tasks: usize, fast: [u32; 2], expected: [usize; 2]) {
    let mut candidates = vec![candidate("a", 0, 8, 0), candidate("b", 5, 8, 0)];
    for (candidate, fast) in candidates.iter_mut().zip(fast) {
        candidate.load.free_fast_slots = fast;
    }
    let assigned = assign_fast(tasks, &LONG, &mut candidates, 0);
    let near = assigned.iter().filter(|&&at| at == 0).count();
    assert_eq!([near, assigned.len() - near], expected);
}

cases! { assigns_long:
    nearest_fast_targets_first(3, [4, 4], [3, 0]);
    excess_tasks_to_remote_fast_targets(4, [2, 4], [2, 2]);
    nothing_without_free_fast_targets(3, [0, 0], [0, 0]);
    nothing_unless_all_tasks_can_start(3, [1, 1], [0, 0]);
}

/// Guards against all hosts choosing the same of several equal remote stewards.
fn spreads_long(shared: bool) {
    let names = ["near", "b", "c", "d", "e", "f"];
    let far = |name: &&str| candidate(name, if *name == "near" { 0 } else { 3 }, 4, 0);
    let mut chosen = [0; 6];
    for draw in draws() {
        let mut candidates: Vec<Candidate> = names.iter().map(far).collect();
        if !shared {
            candidates[0].load.free_fast_slots = 0;
        }
        let stewards = if shared {
            choose_stewards(1, &mut candidates, draw)
        } else {
            assign_fast(1, &LONG, &mut candidates, draw)
        };
        stewards.into_iter().for_each(|index| chosen[index] += 1);
    }
    assert_eq!(chosen[0], if shared { 100 } else { 0 }, "the nearest one, where it has room");
    assert!(chosen[1..].iter().all(|count| *count >= 8), "{chosen:?}");
}

cases! { spreads_long:
    tasks_that_start_at_once(false);
    tasks_that_are_shared(true);
}

/// Long tasks that can't start at once are queued at the stewards where a fast target is free first.
fn chooses(next_ms: &[u32], expected: &[usize]) {
    let with = |&ms: &u32| {
        let mut candidate = candidate("a", 0, 0, 0);
        candidate.load.fast_ends_ms[0] = Some(ms);
        candidate
    };
    let mut candidates: Vec<Candidate> = next_ms.iter().map(with).collect();
    assert_eq!(choose_stewards(4, &mut candidates, 0), expected);
    assert!(expected.iter().all(|&index| candidates[index].load.queued_long == 4));
}

cases! { chooses:
    the_only_steward(&[40], &[0]);
    all_of_a_few_in_order(&[40, 20], &[1, 0]);
    no_more_than_the_maximum(&[90, 9, 8, 7], &[3, 2, 1]);
}

/// Runs on fast targets of two stewards end after 100, 200 and 300 ms. A job arrives behind `others` queued
/// tasks.
fn waits(tasks: usize, free_fast: u32, others: u32, expected_ms: &[u64]) {
    let mut candidates = vec![candidate("a", 0, 8, 0), candidate("b", 5, 8, 0)];
    candidates[0].load.fast_ends_ms = [Some(100), Some(300), None, None, None, None, None, None];
    candidates[1].load.fast_ends_ms = [Some(200), None, None, None, None, None, None, None];
    for candidate in &mut candidates {
        candidate.load.queued_long = others;
        candidate.load.free_fast_slots = 0;
    }
    candidates[0].load.free_fast_slots = free_fast;
    let expected: Vec<Duration> = expected_ms.iter().copied().map(Duration::from_millis).collect();
    assert_eq!(expected_waits(tasks, &LONG, &candidates), expected);
}

// Guards against admitting a large job by the wait of its first task, so that its last task is late.
cases! { waits:
    zero_if_all_can_start(3, 3, 0, &[0, 0, 0]);
    each_next_end_time_in_turn(3, 0, 0, &[100, 200, 300]);
    end_time_after_those_of_queued_tasks(1, 0, 1, &[200]);
    second_round_if_more_tasks_wait_than_run(3, 0, 1, &[200, 300, 400]);
    end_times_for_tasks_that_can_not_start_at_once(3, 1, 0, &[0, 100, 200]);
}

/// Expected wait behind `others` queued tasks, where three runs end after 10, 20 and 30 ms.
fn waits_after(others: usize, expected_ms: u64) {
    let ends: EndTimes = [30, 10, 20].into_iter().map(Duration::from_millis).collect();
    assert_eq!(ends.wait_after(others), Duration::from_millis(expected_ms));
}

cases! { waits_after:
    zero_tasks(0, 10);
    fewer_tasks_than_runs(2, 30);
    more_tasks_than_runs(4, 50);
}
