use std::time::{Duration, Instant};

use coltsfootshunt_testkit::cases;
use proptest::prelude::*;

use super::candidate;
use crate::job::Resources;
use crate::placement::{Choice, FastTargets, Outlook, Rated, Scale, choose, shortlist};
use crate::queue::tests::queued_task;

const RUN: Duration = Duration::from_millis(100);

fn fast() -> FastTargets {
    FastTargets { fastest_run: RUN, free_slots: 9, slots: 10, ..FastTargets::default() }
}

/// A task of 8 cores is to start on one of several equally fast targets with this free CPU, while tasks of
/// these sizes wait.
fn prefers(waiting: &[u64], free: &[u64], wanted: usize) {
    let now = Instant::now();
    let mut task = queued_task("0000000000000001", 0, now, 200, 1_500);
    task.requirements.resources.cpu_millis = 8_000;
    let free = free.iter().enumerate();
    let candidates: Vec<_> =
        free.map(|(index, free)| candidate(index, 100, *free, false)).collect();
    let outlook = Outlook::new(waiting.iter().copied());
    assert_eq!(choose(&task, &candidates, fast(), &outlook, now), Choice::Start(wanted));
}

// Each case guards against room that no waiting task can use, or against a choice other than the tightest where
// nothing tells the targets apart.
cases! { prefers:
    the_tightest_when_nothing_waits(&[], &[16_000, 12_000, 24_000], 1);
    the_first_of_equals(&[7_000], &[16_000, 16_000], 0);
    room_that_a_waiting_task_fills(&[8_000], &[12_000, 16_000, 24_000], 1);
    room_that_two_waiting_tasks_fill(&[7_000, 9_000], &[14_000, 24_000], 1);
    room_that_one_task_fills_over_room_for_it_twice(&[4_000, 9_000], &[16_000, 17_000], 1);
    room_that_is_nearly_nothing(&[7_000], &[8_400, 15_000], 0);
    room_that_some_task_can_use_over_room_for_none(&[6_000], &[12_000, 17_000], 1);
    the_tightest_where_all_room_is_wasted(&[9_000], &[14_000, 12_000, 15_000], 1);
    the_tightest_where_all_room_is_filled(&[7_000, 8_000], &[16_000, 15_000], 1);
    room_for_a_size_of_zero_as_wasted(&[0, 8_000], &[12_000, 16_000], 1);
}

fn rated(index: usize, (factor, free, suspect): (u32, u64, bool)) -> Rated {
    let free = Resources { cpu_millis: free * 500, memory_mb: 1_000, accelerators: 0 };
    Rated { index, factor: f64::from(factor) / 100.0, free, suspect }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a shortlist that lacks the target that the outlook ranks first.
    #[test]
    fn the_shortlist_holds_what_is_chosen(
        targets in prop::collection::vec((80_u32..160, 16_u64..50, prop::bool::weighted(0.1)), 1..20),
        waiting in prop::collection::vec(4_000_u64..12_000, 0..8),
        (objective_ms, free_slots) in (60_u64..400, 0_u64..10),
    ) {
        let now = Instant::now();
        let mut task = queued_task("0000000000000001", 0, now, objective_ms, 1_500);
        task.requirements.resources.cpu_millis = 8_000;
        let rated: Vec<_> =
            targets.into_iter().enumerate().map(|(index, target)| rated(index, target)).collect();
        let scale = Scale::new(RUN);
        let fastest_run = scale.run(0.8);
        let fast = FastTargets { fastest_run, free_slots, ..fast() };
        let outlook = Outlook::new(waiting);
        let all: Vec<_> = rated.iter().map(|one| super::Candidate {
            index: one.index,
            expected: scale.run(one.factor),
            free: one.free,
            suspect: one.suspect,
        }).collect();
        let listed = shortlist(&rated, (scale, fastest_run), (&outlook, 8_000));
        prop_assert_eq!(
            choose(&task, &listed, fast, &outlook, now),
            choose(&task, &all, fast, &outlook, now)
        );
    }
}
