use std::time::Duration;

use coltsfootshunt_core::name::Host;
use coltsfootshunt_testkit::cases;

use super::{Load, Offer, assign};

fn offer(name: &str, distance_ms: u64, free: u32, wait_ms: u32) -> Offer {
    let host = Host::try_from(name).unwrap();
    let load = Load { free, places: 10, waits_ms: [wait_ms; 6] };
    Offer { host, distance: Duration::from_millis(distance_ms), load }
}

fn spreads(tasks: usize, mut offers: Vec<Offer>, wanted: &[usize]) {
    let assigned = assign(tasks, 2, Duration::from_millis(100), &mut offers);
    let counts: Vec<usize> =
        (0..offers.len()).map(|place| assigned.iter().filter(|&&at| at == place).count()).collect();
    assert_eq!(counts, wanted);
}

cases! { spreads:
    near_room_first(2, vec![offer("a", 0, 4, 0), offer("b", 3, 4, 0)], &[2, 0]);
    what_is_over_goes_to_far_room(6, vec![offer("a", 0, 4, 80), offer("b", 3, 4, 0)], &[4, 2]);
    a_short_queue_nearby_beats_nothing(1, vec![offer("a", 0, 0, 2), offer("b", 5, 1, 0)], &[1, 0]);
    full_everywhere_goes_to_the_shortest(1, vec![offer("a", 0, 0, 90), offer("b", 3, 0, 10)], &[0, 1]);
}
