use coltsfootshunt_testkit::cases;

use super::simulation::World;
use crate::job::{Outcome, Refusal};

/// A world whose hosts have found each other and claimed their targets.
pub(super) fn settled(seed: u64) -> World {
    let mut world = World::new(seed);
    world.run_for(2_000);
    world
}

fn answers(width: u32, cpu: u64, takes_ms: u64, wanted: Outcome) {
    let mut world = settled(1);
    let id = world.submit(width, cpu, takes_ms);
    world.run_for(2_000);
    assert_eq!(world.outcomes(&id), [Some(wanted)]);
    assert_eq!(world.broken, Vec::<String>::new());
}

cases! { answers:
    a_job_of_one_task(1, 14_000, 100, Outcome::Completed);
    a_job_of_many_tasks(8, 14_000, 50, Outcome::Completed);
    a_job_wider_than_all_targets(20, 14_000, 100, Outcome::Completed);
    what_no_target_can_hold_at_once(1, 40_000, 100, Outcome::Failed);
    what_can_not_end_in_time_at_once(1, 14_000, 9_000, Outcome::Refused {
        refusal: Refusal::Infeasible,
        retry_after: std::time::Duration::from_secs(1),
    });
}

fn survives(act: fn(&mut World), share: f64) {
    let mut world = settled(2);
    let mut served = 0;
    for round in 0..60 {
        if round == 10 {
            act(&mut world);
        }
        world.submit(2, 14_000, 80);
        world.run_for(100);
    }
    world.run_for(6_000);
    for (_, outcomes) in world.all() {
        served += usize::from(outcomes.contains(&Some(Outcome::Completed)));
    }
    assert!(served as f64 >= share * 60.0, "{served} of 60");
    assert_eq!(world.broken, Vec::<String>::new());
}

cases! { survives:
    a_quiet_time(|_| {}, 1.0);
    a_planned_stop(|world| world.stop(0), 1.0);
    planned_stops_of_a_whole_zone(|world| { world.stop(0); world.stop(1); }, 1.0);
    a_killed_host(|world| world.kill(0), 0.9);
    a_frozen_host(|world| world.freeze(0, 3_000), 0.8);
    a_crashed_target(|world| world.crash(0), 0.95);
    a_cut_between_zones(|world| {
        for (one, other) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
            world.set_cut(one, other, true);
        }
    }, 0.9);
}
