use std::time::Duration;

use coltsfootshunt_core::name::Host;
use coltsfootshunt_testkit::cases;

use super::{
    Candidate, EndTimes, Load, Profile, assign, assign_fast, choose_stewards, expected_waits,
};

fn offer(name: &str, distance_ms: u64, free: u32, wait_ms: u32) -> Candidate {
    let host = Host::try_from(name).unwrap();
    let load = Load {
        free_slots: free,
        free_fast_slots: free / 2,
        slots: 10,
        completions_per_s: 100,
        waits_ms: [wait_ms; 6],
        ..Load::default()
    };
    Candidate { host, round_trip: Duration::from_millis(distance_ms), load }
}

fn spreads(tasks: usize, mut offers: Vec<Candidate>, wanted: &[usize]) {
    let slack = Duration::from_millis(85);
    let profile =
        Profile { slack, slack_level: 2, run: Duration::from_millis(100), is_long: false };
    let assigned = assign(tasks, &profile, &mut offers);
    let counts: Vec<usize> =
        (0..offers.len()).map(|place| assigned.iter().filter(|&&at| at == place).count()).collect();
    assert_eq!(counts, wanted);
}

cases! { spreads:
    near_room_first(2, vec![offer("a", 0, 4, 0), offer("b", 3, 4, 0)], &[2, 0]);
    what_is_over_goes_to_far_room(6, vec![offer("a", 0, 4, 80), offer("b", 3, 4, 0)], &[4, 2]);
    a_crest_splits_no_job(4, vec![offer("a", 0, 0, 40), offer("b", 3, 0, 20)], &[0, 4]);
    a_crest_counts_what_is_free(9, vec![offer("a", 0, 1, 40), offer("b", 3, 7, 20)], &[0, 9]);
    a_job_too_wide_for_one_is_split(20, vec![offer("a", 0, 6, 0), offer("b", 3, 6, 0)], &[10, 10]);
    a_short_queue_nearby_beats_nothing(1, vec![offer("a", 0, 0, 2), offer("b", 5, 1, 0)], &[1, 0]);
    full_everywhere_goes_to_the_shortest(1, vec![offer("a", 0, 0, 90), offer("b", 3, 0, 10)], &[0, 1]);
}

const LONG: Profile = Profile {
    slack: Duration::from_millis(300),
    slack_level: 3,
    run: Duration::from_millis(800),
    is_long: true,
};

fn spreads_long(tasks: usize, fast: [u32; 2], wanted: [usize; 2]) {
    let mut offers = vec![offer("a", 0, 8, 0), offer("b", 5, 8, 0)];
    for (offer, fast) in offers.iter_mut().zip(fast) {
        offer.load.free_fast_slots = fast;
    }
    let assigned = assign_fast(tasks, &LONG, &mut offers);
    let near = assigned.iter().filter(|&&at| at == 0).count();
    assert_eq!([near, assigned.len() - near], wanted);
}

cases! { spreads_long:
    near_while_fast_targets_are_free_there(3, [4, 4], [3, 0]);
    to_fast_targets_far_away(4, [2, 4], [2, 2]);
    nowhere_where_no_fast_target_is_free(3, [0, 0], [0, 0]);
    nowhere_while_there_is_no_room_for_all(3, [1, 1], [0, 0]);
}

/// Long work that can't start at once stands with the stewards where a fast target is free soonest.
fn stands(next_ms: &[u32], wanted: &[usize]) {
    let with = |&ms: &u32| {
        let mut offer = offer("a", 0, 0, 0);
        offer.load.fast_ends_ms[0] = Some(ms);
        offer
    };
    let mut offers: Vec<Candidate> = next_ms.iter().map(with).collect();
    assert_eq!(choose_stewards(4, &mut offers), wanted);
    assert!(wanted.iter().all(|&place| offers[place].load.queued_long == 4));
}

cases! { stands:
    with_the_only_one(&[40], &[0]);
    with_all_of_a_few(&[40, 20], &[1, 0]);
    with_no_more_than_pays(&[90, 9, 8, 7], &[3, 2, 1]);
}

/// Runs on fast targets of two stewards end after 100, 200 and 300 ms; a job comes after some others.
fn awaits(tasks: usize, free_fast: u32, others: u32, wanted_ms: &[u64]) {
    let mut offers = vec![offer("a", 0, 8, 0), offer("b", 5, 8, 0)];
    offers[0].load.fast_ends_ms = [Some(100), Some(300), None, None, None, None, None, None];
    offers[1].load.fast_ends_ms = [Some(200), None, None, None, None, None, None, None];
    for offer in &mut offers {
        offer.load.queued_long = others;
        offer.load.free_fast_slots = 0;
    }
    offers[0].load.free_fast_slots = free_fast;
    let wanted: Vec<Duration> = wanted_ms.iter().copied().map(Duration::from_millis).collect();
    assert_eq!(expected_waits(tasks, &LONG, &offers), wanted);
}

// A wide job was taken by the wait of its first task, and its last one came too late.
cases! { awaits:
    nothing_where_all_can_start(3, 3, 0, &[0, 0, 0]);
    one_place_after_the_other(3, 0, 0, &[100, 200, 300]);
    the_place_after_those_of_others(1, 0, 1, &[200]);
    a_second_round_where_more_wait_than_run(3, 0, 1, &[200, 300, 400]);
    places_for_what_can_not_start_at_once(3, 1, 0, &[0, 100, 200]);
}

fn ends(others: usize, wanted_ms: u64) {
    let ends: EndTimes = [30, 10, 20].into_iter().map(Duration::from_millis).collect();
    assert_eq!(ends.wait_after(others), Duration::from_millis(wanted_ms));
}

cases! { ends:
    the_next_one_first(0, 10);
    one_after_the_other(2, 30);
    a_round_later(4, 50);
}
