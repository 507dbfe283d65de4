//! Cuts between hosts that live, and hosts that are gone.

use coltsfootshunt_testkit::cases;

use super::jobs::settled;
use super::simulation::{Cut, World};
use crate::job::{Id, Outcome};

/// Seeds of each case.
const SEEDS: std::ops::Range<u64> = 1..5;
const ROUNDS: usize = 120;

/// Paths between two zones; hosts 0 and 1 are of one zone, 2 and 3 of the other.
const ZONES: &[(usize, usize)] = &[(0, 2), (0, 3), (1, 2), (1, 3), (2, 0), (2, 1), (3, 0), (3, 1)];
/// Paths from one zone to the other.
const ONE_WAY: &[(usize, usize)] = &[(0, 2), (0, 3), (1, 2), (1, 3)];
/// Paths between the hosts of one zone.
const MATES: &[(usize, usize)] = &[(0, 1), (1, 0)];
/// Paths between one host and all others.
const LONE: &[(usize, usize)] = &[(0, 1), (0, 2), (0, 3), (1, 0), (2, 0), (3, 0)];

/// Fences that are heard when one of two stewards takes a zone and gives it up: by both, at three targets.
const CONTEST: u32 = 6;

/// Jobs come all the time, and 1 s later something happens. `share` of them are served at their first
/// send, and stewards take zones from each other at most so many times.
fn serves(act: impl Fn(&mut World), share: f64, contests: u32) {
    concludes(act, |first| *first == Some(Outcome::Completed), share, contests);
}

/// The same where a host must turn away what comes to it.
fn serves_or_refuses(act: impl Fn(&mut World), share: f64, contests: u32) {
    let concluded = |first: &Option<Outcome>| {
        matches!(first, Some(Outcome::Completed | Outcome::Refused { .. }))
    };
    concludes(act, concluded, share, contests);
}

fn concludes(
    act: impl Fn(&mut World),
    concluded: impl Fn(&Option<Outcome>) -> bool,
    share: f64,
    contests: u32,
) {
    for seed in SEEDS {
        let mut world = settled(seed);
        for round in 0..ROUNDS {
            if round == 10 {
                act(&mut world);
            }
            world.submit(2, 14_000, 80);
            world.run_for(100);
        }
        world.run_for(6_000);
        let served = world.all().filter(|(_, outcomes)| concluded(&outcomes[0])).count();
        let heard = world.fences;
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
        let enough = served as f64 >= share * ROUNDS as f64;
        assert!(enough, "seed {seed}: {served} of {ROUNDS} answered at once, {heard} fences");
        assert!(heard <= contests * CONTEST, "seed {seed}: {heard} fences");
    }
}

fn cut(paths: &'static [(usize, usize)], cut: Cut) -> impl Fn(&mut World) {
    move |world| {
        for (from, to) in paths {
            world.set_path(*from, *to, Some(cut));
        }
    }
}

fn kill(hosts: &'static [usize]) -> impl Fn(&mut World) {
    move |world| hosts.iter().for_each(|host| world.kill(*host))
}

cases! { serves:
    between_silent_zones(cut(ZONES, Cut::Silent), 0.99, 0);
    between_silent_zones_one_way(cut(ONE_WAY, Cut::Silent), 0.99, 0);
    between_refusing_zones(cut(ZONES, Cut::Refusing), 0.93, 2);
    between_refusing_zones_one_way(cut(ONE_WAY, Cut::Refusing), 0.93, 2);
    between_silent_hosts_of_a_zone(cut(MATES, Cut::Silent), 0.93, 2);
    between_refusing_hosts_of_a_zone(cut(MATES, Cut::Refusing), 0.93, 2);
    between_refusing_hosts_one_way(cut(&MATES[..1], Cut::Refusing), 0.93, 2);
    between_refusing_hosts_the_other_way(cut(&MATES[1..], Cut::Refusing), 0.93, 2);
    after_a_whole_zone_was_killed(kill(&[0, 1]), 0.98, 0);
    alone_after_all_others_were_killed(kill(&[0, 1, 2]), 0.95, 0);
}

cases! { serves_or_refuses:
    // It contests both zones at the cut, and again once it no longer counts itself as cut off.
    beside_a_silent_lone_host(cut(LONE, Cut::Silent), 0.93, 4);
    beside_a_refusing_lone_host(cut(LONE, Cut::Refusing), 0.93, 4);
}

/// A long run of a job whose owner is in one zone and whose steward in the other; these two hosts.
fn run_far(world: &mut World, seed: u64) -> (usize, usize, Id) {
    let steward = world.stewards("a")[0];
    // The owner's own zone has no targets for a while.
    let owner = 2;
    let up_again_ms = world.now_ms() + 1_300;
    for target in world.targets.values_mut().filter(|one| one.entry.zone.to_string() == "b") {
        target.crash(up_again_ms);
    }
    world.run_for(800);
    let id = world.submit_at(owner, 9_000, 100, 5_000);
    world.run_for(100);
    assert_eq!(world.starts.len(), 1, "seed {seed}");
    (steward, owner, id)
}

/// An owner loses another zone's steward by a refusal and answers its callers. The steward does not
/// hear the owner any more, and at `parted_ms` it loses its targets.
fn repeats(way_back: Option<Cut>, parted_ms: u64) {
    for seed in SEEDS {
        let mut world = settled(seed);
        let (steward, owner, id) = run_far(&mut world, seed);
        world.set_path(owner, steward, Some(Cut::Refusing));
        world.set_path(steward, owner, way_back);
        // Whatever the owner sends next finds the path cut.
        world.submit_at(owner, 9_000, 100, 100);
        world.repeats_at(3);
        world.run_for(parted_ms);
        world.part(steward);
        world.run_for(4_000);
        assert!(world.outcomes(&id).len() > 1, "seed {seed}: no repeat");
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}, parted {parted_ms}");
    }
}

cases! { repeats:
    where_the_steward_stops_the_run_in_time(None, 1_200);
    where_the_steward_loses_its_targets_at_once(None, 0);
    where_the_steward_loses_its_targets_a_little_later(None, 400);
    where_the_steward_loses_its_targets_before_it_misses_the_owner(None, 750);
    where_the_steward_hears_of_the_cut_at_once(Some(Cut::Refusing), 700);
    where_the_steward_loses_its_targets_before_it_loses_the_owner(None, 700);
    where_the_steward_can_not_tell_the_owner(Some(Cut::Silent), 700);
}

/// A caller leaves after its patience, just after its job's owner was cut off from the steward that
/// runs it; the steward loses its targets before it loses the owner.
#[test]
fn repeats_after_the_caller_left() {
    for seed in SEEDS {
        let mut world = settled(seed);
        let (steward, owner, id) = run_far(&mut world, seed);
        // The caller goes 1.5 s after it came.
        world.run_for(1_380);
        world.set_cut(owner, steward, true);
        world.repeats_at(3);
        world.run_for(600);
        world.part(steward);
        world.run_for(4_000);
        assert!(world.outcomes(&id).len() > 1, "seed {seed}: no repeat");
        assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
    }
}
