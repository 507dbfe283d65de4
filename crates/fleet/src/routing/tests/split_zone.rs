//! Owners in a zone whose targets are divided among several stewards.

use coltsfootshunt_testkit::cases;
use xxhash_rust::xxh3::xxh3_64;

use super::{SHORT, candidate, draws};
use crate::routing::{Candidate, assign, assign_in_split_zone};

/// Number of tasks that each candidate gets of 100 jobs.
fn totals(tasks: usize, candidates: &[Candidate]) -> Vec<usize> {
    let mut totals = vec![0; candidates.len()];
    for draw in draws() {
        let draw = xxh3_64(&draw.to_le_bytes());
        for at in assign_in_split_zone(tasks, &SHORT, &mut candidates.to_vec(), draw) {
            totals[at] += 1;
        }
    }
    totals
}

/// Guards against work that goes to other zones, or all to one steward, while the own zone's stewards have room.
fn divides(
    tasks: usize,
    candidates: &[Candidate],
    first: std::ops::RangeInclusive<usize>,
    far: usize,
) {
    let totals = totals(tasks, candidates);
    assert!(first.contains(&totals[0]), "{totals:?}");
    assert_eq!(totals[2..].iter().sum::<usize>(), far, "{totals:?}");
}

fn far() -> Candidate {
    candidate("far", 3, 10, 0)
}

cases! { divides:
    evenly_among_equal_ones(2, &[candidate("a", 1, 6, 0), candidate("b", 1, 6, 0), far()], 70..=130, 0);
    by_free_slots(2, &[candidate("a", 1, 8, 0), candidate("b", 1, 2, 0), far()], 130..=190, 0);
    to_the_one_with_room(2, &[candidate("a", 1, 6, 0), candidate("b", 1, 0, 40), far()], 200..=200, 0);
    among_both_if_one_has_too_few(10, &[candidate("a", 1, 6, 0), candidate("b", 1, 4, 0), far()], 600..=600, 0);
}

/// Guards against another choice where each zone has one steward.
fn is_as_elsewhere(tasks: usize, candidates: &[Candidate]) {
    for draw in draws() {
        let split = assign_in_split_zone(tasks, &SHORT, &mut candidates.to_vec(), draw);
        assert_eq!(split, assign(tasks, &SHORT, &mut candidates.to_vec(), draw));
    }
}

cases! { is_as_elsewhere:
    with_room(2, &[candidate("a", 0, 4, 0), candidate("b", 3, 4, 0), candidate("c", 3, 4, 0)]);
    with_too_little_room(8, &[candidate("a", 0, 4, 80), candidate("b", 3, 4, 0), candidate("c", 3, 9, 0)]);
    without_a_steward_in_the_own_zone(4, &[candidate("b", 3, 4, 0), candidate("c", 3, 9, 0)]);
    while_all_are_busy(4, &[candidate("a", 0, 0, 30), candidate("b", 3, 0, 20), candidate("c", 3, 0, 90)]);
}
