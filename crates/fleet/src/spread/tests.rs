use std::time::Duration;

use coltsfootshunt_core::name::Host;
use coltsfootshunt_testkit::cases;

use super::{Load, Offer, Shape, assign};

fn offer(name: &str, distance_ms: u64, free: u32, wait_ms: u32) -> Offer {
    let host = Host::try_from(name).unwrap();
    let load = Load {
        free,
        free_fast: free / 2,
        places: 10,
        turnover: 100,
        waits_ms: [wait_ms; 6],
        ..Load::default()
    };
    Offer { host, distance: Duration::from_millis(distance_ms), load }
}

fn spreads(tasks: usize, mut offers: Vec<Offer>, wanted: &[usize]) {
    let slack = Duration::from_millis(85);
    let shape = Shape { slack, level: 2, run: Duration::from_millis(100), is_long: false };
    let assigned = assign(tasks, &shape, &mut offers);
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

fn spreads_long(tasks: usize, fast: [u32; 2], wanted: [usize; 2]) {
    let mut offers = vec![offer("a", 0, 8, 0), offer("b", 5, 8, 0)];
    for (offer, fast) in offers.iter_mut().zip(fast) {
        offer.load.free_fast = fast;
        offer.load.fast_wait_ms = 100;
    }
    let slack = Duration::from_millis(300);
    let shape = Shape { slack, level: 3, run: Duration::from_millis(800), is_long: true };
    let assigned = assign(tasks, &shape, &mut offers);
    let near = assigned.iter().filter(|&&at| at == 0).count();
    assert_eq!([near, tasks - near], wanted);
}

cases! { spreads_long:
    near_while_fast_targets_are_free_there(3, [4, 4], [3, 0]);
    to_fast_targets_far_away(4, [2, 4], [2, 2]);
    near_where_no_fast_target_is_free(3, [0, 0], [3, 0]);
}
