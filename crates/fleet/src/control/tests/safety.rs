use coltsfootshunt_testkit::cases;
use proptest::prelude::*;

use super::jobs::settled;
use super::simulation::{Chances, Cut, World};
use crate::job::Outcome;

/// Cases of each property; more by `COLTSFOOTSHUNT_CASES`.
const CASES: u32 = 12;

fn cases() -> u32 {
    std::env::var("COLTSFOOTSHUNT_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(CASES)
}

fn disturb(world: &mut World, kinds: &[u8]) {
    let host = world.pick(world.hosts());
    match kinds[world.pick(kinds.len())] {
        0 => world.kill(host),
        1 => {
            let for_ms = 200 + world.pick(4_000) as u64;
            world.freeze(host, for_ms);
        }
        2 => world.stop(host),
        3 => {
            let target = world.pick(world.targets.len());
            world.crash(target);
        }
        4 => {
            let other = world.pick(world.hosts());
            let cut = world.chance(0.5);
            if other != host {
                world.set_cut(host, other, cut);
            }
        }
        kind @ 6..=8 => {
            let other = world.pick(world.hosts());
            let cut = if kind == 8 { Cut::Silent } else { Cut::Refusing };
            let cut = world.chance(0.5).then_some(cut);
            if other != host {
                world.set_path(host, other, cut);
                if kind == 6 {
                    world.set_path(other, host, cut);
                }
            }
        }
        9 => {
            let target = world.pick(world.targets.len());
            let how = world.chance(0.7).then_some(Cut::Refusing);
            (0..world.hosts()).for_each(|host| world.sever(host, target, how));
        }
        10 => {
            let target = world.pick(world.targets.len());
            let refusing = world.chance(0.5);
            let how = if refusing { Cut::Refusing } else { Cut::Silent };
            let cut = world.chance(0.7);
            world.sever(host, target, cut.then_some(how));
        }
        11 => {
            let target = world.pick(world.targets.len());
            let hidden = world.chance(0.5);
            world.hide(target, hidden);
        }
        // What the cut holds up arrives when it ends.
        12 => {
            world.holds_up = true;
            let for_ms = 500 + world.pick(3_500) as u64;
            for other in (0..world.hosts()).filter(|other| *other != host) {
                world.cut_for(host, other, for_ms);
            }
        }
        _ => {
            let killed: Vec<usize> = (0..world.hosts()).filter(|one| !world.is_up(*one)).collect();
            killed.into_iter().for_each(|one| world.start(one));
        }
    }
}

/// What comes, and to which targets.
#[derive(Clone, Copy)]
struct Mix {
    /// Run times of tasks on fast targets, in milliseconds.
    takes_ms: (u64, usize),
    /// Run times on slow targets, in percent of those.
    slow_percent: u64,
}

/// Work that ends in time anywhere, on targets that are alike.
const SHORT: Mix = Mix { takes_ms: (30, 600), slow_percent: 100 };
/// Work of which much ends in time on fast targets only.
const LONG: Mix = Mix { takes_ms: (150, 800), slow_percent: 220 };

/// Random work and random failures; nothing that must never happen happens.
fn keeps_promises(seed: u64, mix: Mix, chances: Chances, kinds: &[u8]) {
    let mut world = settled(seed);
    world.chances = chances;
    world.slow_percent = mix.slow_percent;
    for _ in 0..120 {
        let width = 1 + world.pick(5) as u32;
        let cpu = 9_000 + world.pick(8_000) as u64;
        let takes_ms = mix.takes_ms.0 + world.pick(mix.takes_ms.1) as u64;
        world.submit(width, cpu, takes_ms);
        let gap_ms = 20 + world.pick(120) as u64;
        world.run_for(gap_ms);
        if !kinds.is_empty() && world.chance(0.08) {
            disturb(&mut world, kinds);
        }
    }
    world.run_for(15_000);
    if mix.slow_percent > 100 && kinds.is_empty() {
        assert!(world.grants > 0, "seed {seed}: no work stood with several stewards");
    }
    assert_eq!(world.broken, Vec::<String>::new(), "seed {seed}");
    for (id, outcomes) in world.all() {
        let refused = |one: &Option<Outcome>| matches!(one, Some(Outcome::Refused { .. }));
        let started = world.starts.keys().any(|task| task.job == *id);
        let all = !outcomes.is_empty() && outcomes.iter().all(refused);
        assert!(!(all && started), "seed {seed}: {id} was refused and ran");
    }
}

fn property(chances: Chances, kinds: &'static [u8]) {
    holds(SHORT, chances, kinds);
}

fn long_work(chances: Chances, kinds: &'static [u8]) {
    holds(LONG, chances, kinds);
}

fn holds(mix: Mix, chances: Chances, kinds: &'static [u8]) {
    let config = ProptestConfig { cases: cases(), failure_persistence: None, ..Default::default() };
    let mut runner = proptest::test_runner::TestRunner::new_with_rng(
        config,
        proptest::test_runner::TestRng::deterministic_rng(
            proptest::test_runner::RngAlgorithm::ChaCha,
        ),
    );
    let run = runner.run(&any::<u64>(), |seed| {
        keeps_promises(seed, mix, chances, kinds);
        Ok(())
    });
    run.unwrap_or_else(|error| panic!("{error}"));
}

fn replays(seed: u64, chances: Chances, kinds: &[u8]) {
    keeps_promises(seed, SHORT, chances, kinds);
}

/// A message that a cut held up was acted on after its sender had been given up and its caller had come again.
fn held_up(seed: u64, mix: Mix, chances: Chances) {
    keeps_promises(seed, mix, chances, &[12]);
}

cases! { held_up:
    seed_of_short_work(10_133_900_383_219_896_787, SHORT, CALM);
    seed_of_long_work(13_816_815_059_462_110_367, LONG, CALM);
    seed_of_runs_that_hang(1_603_505_714_170_103_243, SHORT, HANGING);
}

// Seeds that once broke a promise, with what was wrong.
cases! { replays:
    // A host that had lost another told it only a second later, after the caller's repeat.
    seed_lost_in_one_direction(18_252_509_250_088_558_839, CALM, &[1]);
    // Two stewards and a target's next life that obeyed the older token.
    seed_over_room(7_668_601_383_230_336_564, LATE, &[0, 1, 2, 3, 4, 5, 5]);
    // Ends of an earlier opening of a job counted for its repeat at the same owner.
    seed_earlier_opening(15_745_681_042_085_076_154, CALM, &[1]);
    // Tasks given back at the end of a pause were sent anew before their jobs were answered.
    seed_sent_after_pause(12_268_704_605_994_878_515, CALM, &[1]);
    // An unanswered start ran, and another steward let its end be forgotten.
    seed_refused_and_ran(7_847_576_405_512_456_116, LATE, &[0, 1, 2, 3, 4, 5, 5]);
    // Over its room once, before seeds repeated (tokens and the order of maps were random): not traced.
    seed_over_room_under_cuts(3_127_334_871_842_609_774, CALM, &[4]);
    // Twice, before seeds repeated; the causes are taken to be those above.
    seed_freezes_first(5_310_600_520_921_332_706, CALM, &[1]);
    seed_freezes_second(18_114_288_459_833_302_785, CALM, &[1]);
    seed_all_first(2_861_584_284_503_328_599, LATE, &[0, 1, 2, 3, 4, 5, 5]);
    // A start that reached a target's next life was taken for lost with the earlier one.
    seed_next_life(5_457_302_658_918_603_701, CALM, &[3]);
    seed_next_life_under_all(15_256_131_501_701_599_537, LATE, &[0, 1, 2, 3, 4, 5, 5]);
    seed_next_life_under_all_again(15_256_146_051_097_990_234, LATE, &[0, 1, 2, 3, 4, 5, 5]);
    seed_next_life_under_all_third(15_256_131_501_703_333_960, LATE, &[0, 1, 2, 3, 4, 5, 5]);
    // A wait without bound, where every target was suspect.
    seed_all_suspect(10_122_958_816_829_906_110, CALM, &[3]);
    // Late orders that the test carried out in a target's next life.
    seed_late_first(5_246_629_239_820_521_074, LATE, &[0, 1, 2, 3, 4, 5, 5]);
    seed_late_second(5_246_549_182_611_661_508, LATE, &[0, 1, 2, 3, 4, 5, 5]);
    seed_late_third(5_246_509_154_007_231_725, LATE, &[0, 1, 2, 3, 4, 5, 5]);
    seed_under_all(8_241_656_503_248_976_402, LATE, &[0, 1, 2, 3, 4, 5, 5]);
}

const LATE: Chances =
    Chances { call_lost: 0.05, answer_lost: 0.05, late: 0.8, fails: 0.02, sheds: 0.0, hangs: 0.0 };
const CALM: Chances =
    Chances { call_lost: 0.0, answer_lost: 0.0, late: 0.0, fails: 0.02, sheds: 0.0, hangs: 0.0 };
const SHEDDING: Chances = Chances { sheds: 0.4, ..CALM };
/// Runs that outlast their callers' patience and pause, on which a second run would show.
const HANGING: Chances = Chances { hangs: 0.25, ..CALM };
const HANGING_LATE: Chances = Chances { hangs: 0.25, ..LATE };

fn lasting(chances: Chances, kinds: &'static [u8]) {
    holds(SHORT, chances, kinds);
}

cases! { lasting:
    under_frozen_and_killed_hosts(HANGING, &[0, 1, 5]);
    under_cuts_between_hosts(HANGING, &[4]);
    under_cuts_between_hosts_that_hold_messages_up(HANGING, &[12]);
    under_refusing_cuts_and_targets_out_of_reach(HANGING, &[6, 7, 8, 9, 10]);
    under_calls_that_are_lost_or_carried_out_late(HANGING_LATE, &[4, 6, 5, 0]);
    under_all_of_it(HANGING_LATE, &[0, 1, 2, 3, 4, 5, 5, 6, 7, 8, 9, 10, 11, 12]);
}

cases! { property:
    under_calls_that_are_lost_or_carried_out_late(LATE, &[]);
    under_targets_that_turn_calls_away(SHEDDING, &[]);
    under_targets_that_turn_calls_away_and_all_of_it(SHEDDING, &[0, 1, 2, 3, 4, 5, 5]);
    under_killed_hosts(CALM, &[0, 5]);
    under_frozen_hosts(CALM, &[1]);
    under_planned_stops(CALM, &[2, 5]);
    under_crashed_targets(CALM, &[3]);
    under_cuts_between_hosts(CALM, &[4]);
    under_refusing_cuts_between_hosts(CALM, &[6]);
    under_refusing_cuts_one_way(CALM, &[7]);
    under_silent_cuts_one_way(CALM, &[8]);
    under_cuts_of_all_kinds_and_lost_calls(LATE, &[4, 6, 7, 8]);
    under_entries_that_vanish(CALM, &[11]);
    under_entries_that_vanish_and_crashed_targets(LATE, &[3, 11, 11]);
    under_all_of_it(LATE, &[0, 1, 2, 3, 4, 5, 5]);
    under_all_of_it_and_cuts_of_all_kinds(LATE, &[0, 1, 2, 3, 4, 5, 5, 6, 7, 8]);
    under_cuts_between_hosts_that_hold_messages_up(CALM, &[12]);
    under_targets_that_refuse_connections(CALM, &[9]);
    under_targets_out_of_reach_of_one_host(CALM, &[10]);
    under_all_of_it_and_targets_out_of_reach(LATE, &[0, 1, 2, 3, 4, 5, 5, 9, 10, 10]);
}

cases! { long_work:
    in_a_quiet_time(CALM, &[]);
    under_calls_that_are_lost_or_carried_out_late(LATE, &[]);
    under_frozen_hosts(CALM, &[1]);
    under_killed_hosts(CALM, &[0, 5]);
    under_planned_stops(CALM, &[2, 5]);
    under_cuts_between_hosts(CALM, &[4]);
    under_refusing_cuts_between_hosts(CALM, &[6]);
    under_cuts_one_way(CALM, &[7, 8]);
    under_all_of_it_at_once(LATE, &[0, 1, 2, 3, 4, 5, 5]);
    under_targets_that_refuse_connections(CALM, &[9]);
    under_cuts_between_hosts_that_hold_messages_up(CALM, &[12]);
}
