//! Dense zones, whose targets several hosts share, under one fault each.

use std::time::Duration;

use coltsfootshunt_testkit::cases;

use super::simulation::{Partition, Simulation};
use crate::control::jobs::ANSWER_MARGIN;
use crate::job::{Id, Outcome};

/// CPU of a task of which two fit on a target.
const HALF: u64 = 14_000;

/// A simulation of dense zones in which each has a lead and a deputy.
pub(super) fn converged(seed: u64) -> Simulation {
    let mut sim = Simulation::dense(seed);
    sim.run_for(8_000);
    sim
}

/// The lead of zone a, its deputy, and the third host.
fn roles(sim: &Simulation) -> (usize, usize, usize) {
    let lead = sim.stewards("a")[0];
    let deputy = sim.members(lead)[1];
    let third = (0..3).find(|host| *host != lead && *host != deputy).unwrap();
    (lead, deputy, third)
}

fn assert_safe(sim: &Simulation) {
    assert_eq!(sim.violations, Vec::<String>::new());
    assert_eq!(sim.shared_tokens, 0);
}

/// Guards against a target that stays without a holder, or with two: waits until each has one.
fn assert_covered(sim: &mut Simulation, within_ms: u64) {
    let until_ms = sim.now_ms() + within_ms;
    while !sim.is_covered("a") && sim.now_ms() < until_ms {
        sim.run_for(50);
    }
    assert!(sim.is_covered("a"), "after {within_ms} ms: {:?}", sim.holders_by_target("a"));
}

/// Guards against a dense zone that stays with one steward, and a target without a holder or with two.
#[test]
fn dense_zones_are_split() {
    let sim = converged(1);
    for zone in ["a", "b"] {
        let lead = sim.stewards(zone)[0];
        let members = sim.members(lead);
        assert_eq!((members.len(), members[0]), (2, lead));
        assert_eq!(sim.members(members[1]), members);
        let holders = sim.holders_by_target(zone);
        assert!(sim.is_covered(zone), "{holders:?}");
        let serves = |host: &usize| holders.values().any(|at| at.contains(host));
        assert!(members.iter().all(serves), "{holders:?}");
    }
    assert_safe(&sim);
}

/// Guards against a fault that leaves targets of a dense zone without a holder, or jobs without an answer: half of
/// the jobs are submitted after the fault. At the end each target has one holder, and the zone is split again.
fn serves(fault: fn(&mut Simulation), min_share: f64) {
    for seed in 1..=4 {
        let mut sim = converged(seed);
        for round in 0..60 {
            if round == 30 {
                fault(&mut sim);
            }
            sim.submit(2, HALF, 80);
            sim.run_for(100);
        }
        sim.run_for(12_000);
        let outcomes = sim.all_outcomes();
        let completed = outcomes.filter(|(_, all)| all.contains(&Some(Outcome::Completed))).count();
        assert!(completed as f64 >= min_share * 60.0, "seed {seed}: {completed} of 60");
        assert_covered(&mut sim, 1);
        let lead = sim.stewards("a")[0];
        assert_eq!(sim.members(lead).len(), 2, "seed {seed}");
        assert_safe(&sim);
    }
}

fn cut(sim: &mut Simulation, (one, other): (usize, usize), partition: Partition, for_ms: u64) {
    sim.set_partition_one_way(one, other, Some(partition));
    sim.set_partition_one_way(other, one, Some(partition));
    sim.heal_after(one, other, for_ms);
}

fn lose_store(sim: &mut Simulation) {
    (0..sim.host_count()).for_each(|host| sim.set_store_lost(host, true));
}

cases! { serves:
    without_faults(|_| {}, 1.0);
    after_a_killed_deputy(|sim| { let deputy = roles(sim).1; sim.kill(deputy); }, 0.9);
    after_a_killed_lead(|sim| { let lead = roles(sim).0; sim.kill(lead); }, 0.9);
    after_a_deputy_without_power(|sim| { let deputy = roles(sim).1; sim.cut_power(deputy); }, 0.85);
    after_a_lead_without_power(|sim| { let lead = roles(sim).0; sim.cut_power(lead); }, 0.85);
    after_a_planned_stop_of_a_deputy(|sim| { let deputy = roles(sim).1; sim.stop(deputy); }, 1.0);
    after_a_planned_stop_of_the_lead(|sim| { let lead = roles(sim).0; sim.stop(lead); }, 1.0);
    after_a_frozen_deputy(|sim| { let deputy = roles(sim).1; sim.freeze(deputy, 3_000); }, 0.8);
    after_a_deputy_frozen_for_a_moment(
        |sim| { let deputy = roles(sim).1; sim.freeze(deputy, 600); }, 0.9,
    );
    after_a_frozen_lead(|sim| { let lead = roles(sim).0; sim.freeze(lead, 3_000); }, 0.8);
    after_a_deputy_cut_off_from_the_lead(|sim| {
        let (lead, deputy, _) = roles(sim);
        cut(sim, (lead, deputy), Partition::Silent, 5_000);
    }, 0.8);
    after_a_deputy_that_refuses_the_lead(|sim| {
        let (lead, deputy, _) = roles(sim);
        cut(sim, (lead, deputy), Partition::Refusing, 5_000);
    }, 0.8);
    after_a_lead_cut_off_from_all(|sim| {
        let lead = roles(sim).0;
        for other in (0..sim.host_count()).filter(|other| *other != lead) {
            cut(sim, (lead, other), Partition::Silent, 3_000);
        }
    }, 0.8);
    after_a_deputy_cut_off_from_all(|sim| {
        let deputy = roles(sim).1;
        for other in (0..sim.host_count()).filter(|other| *other != deputy) {
            cut(sim, (deputy, other), Partition::Silent, 3_000);
        }
    }, 0.8);
    after_a_killed_deputy_without_the_store(|sim| {
        lose_store(sim);
        let deputy = roles(sim).1;
        sim.kill(deputy);
    }, 0.9);
    after_a_killed_lead_without_the_store(|sim| {
        lose_store(sim);
        let lead = roles(sim).0;
        sim.kill(lead);
    }, 0.9);
    after_late_messages_between_lead_and_deputy(|sim| {
        let (lead, deputy, _) = roles(sim);
        sim.set_batch_delay(lead, deputy, 600);
        sim.set_batch_delay(deputy, lead, 600);
    }, 0.9);
}

/// Guards against a change of the split that ends runs: hosts of the zone come one by one while tasks run on all its
/// targets, and leave again as planned. All jobs complete, no run is stopped by another holder, and no target is
/// over its capacity.
fn ends_no_run(seed: u64, run_ms: u64, gap_ms: u64) {
    let mut sim = Simulation::dense(seed);
    sim.kill(1);
    sim.kill(2);
    sim.run_for(4_000);
    assert_eq!(sim.stewards("a"), [0]);
    // A host of the zone that does not stop meanwhile.
    sim.direct_callers_to(0);
    let mut jobs = Vec::new();
    for round in 0..80 {
        match round {
            10 => sim.start(1),
            30 => sim.start(2),
            50 => sim.stop(1),
            _ => {}
        }
        jobs.push(sim.submit(2, HALF, run_ms));
        sim.run_for(gap_ms);
    }
    sim.run_for(5_000);
    assert_eq!(sim.orphans, 0, "seed {seed}");
    for id in jobs {
        assert_eq!(sim.outcomes(&id), [Some(Outcome::Completed)], "seed {seed}: {id}");
    }
    assert_covered(&mut sim, 1);
    assert_safe(&sim);
}

cases! { ends_no_run:
    of_short_tasks(1, 80, 150);
    of_long_tasks(2, 500, 150);
    of_longer_tasks(3, 700, 150);
    of_longer_tasks_2(4, 700, 150);
    of_tasks_of_more_than_a_second(5, 1_100, 300);
}

/// Simulates a third member that comes while the messages of the lead take some time to the second one, whose targets
/// are busy. Returns the lead and the jobs, all submitted to the second member.
fn join_while_a_member_hears_late(seed: u64, delay_ms: u64) -> (Simulation, usize, Vec<Id>) {
    let mut sim = Simulation::dense_with(seed, 10);
    sim.kill(2);
    sim.run_for(8_000);
    let lead = sim.stewards("a")[0];
    let deputy = 1 - lead;
    assert_eq!(sim.members(lead), [lead, deputy]);
    sim.direct_callers_to(deputy);
    // Jobs are answered 1,500 ms after their submission.
    sim.caller_timeout = Some(Duration::from_millis(1_500) + ANSWER_MARGIN);
    let mut jobs = Vec::new();
    for round in 0..80 {
        if round == 10 {
            sim.set_batch_delay(lead, deputy, delay_ms);
            sim.start(2);
        }
        jobs.push(sim.submit(2, HALF, 700));
        sim.run_for(100);
    }
    sim.run_for(3_000);
    (sim, lead, jobs)
}

/// Guards against a claim that ends the runs of a member that hears late of the split.
fn ends_no_run_of_a_member_that_hears_late(seed: u64, delay_ms: u64) {
    let (mut sim, lead, jobs) = join_while_a_member_hears_late(seed, delay_ms);
    assert_eq!(sim.members(lead).len(), 3);
    assert_eq!(sim.orphans, 0, "seed {seed}");
    for id in jobs {
        assert_eq!(sim.outcomes(&id), [Some(Outcome::Completed)], "seed {seed}: {id}");
    }
    assert_covered(&mut sim, 1);
    assert_safe(&sim);
}

cases! { ends_no_run_of_a_member_that_hears_late:
    by_100_ms(1, 100);
    by_300_ms(2, 300);
    by_400_ms(3, 400);
}

/// Guards against targets that stay unused after a change of the split, because the new holder hears late that the
/// former one has given them up, or the owners hear late of its free slots: jobs then wait beyond their deadlines.
#[test]
fn answers_in_time_while_a_member_hears_late() {
    for seed in 1..=20 {
        let (sim, _, jobs) = join_while_a_member_hears_late(seed, 400);
        let is_late = |id: &&Id| sim.outcomes(id).contains(&Some(Outcome::Unknown));
        let late: Vec<&Id> = jobs.iter().filter(is_late).collect();
        assert_eq!(late, Vec::<&Id>::new(), "seed {seed}");
        assert_safe(&sim);
    }
}

/// Guards against two versions that can't serve a zone together. The given host, by rank of the zone, runs the version
/// before this one.
fn serves_beside_the_version_before(rank: usize) {
    let mut sim = converged(5);
    let (lead, deputy, third) = roles(&sim);
    let host = [lead, deputy, third][rank];
    sim.kill(host);
    sim.run_for(3_000);
    sim.set_previous_version(host, true);
    sim.start(host);
    sim.run_for(6_000);
    if rank == 0 {
        // The older version gets the claim when the two others are gone for a moment.
        [deputy, third].into_iter().for_each(|other| sim.kill(other));
        sim.run_for(3_000);
        [deputy, third].into_iter().for_each(|other| sim.start(other));
        sim.run_for(6_000);
        assert_eq!(sim.stewards("a"), [host]);
    }
    for _ in 0..30 {
        sim.submit(2, HALF, 80);
        sim.run_for(100);
    }
    sim.run_for(3_000);
    assert_covered(&mut sim, 1);
    let holders = sim.holders_by_target("a");
    let holds = |host: usize| holders.values().any(|at| at.contains(&host));
    assert_eq!(holds(host), rank == 0, "{holders:?}");
    let completed = |(_, all): &(_, &[Option<Outcome>])| all.contains(&Some(Outcome::Completed));
    assert_eq!(sim.all_outcomes().filter(completed).count(), 30);
    assert_safe(&sim);
}

cases! { serves_beside_the_version_before:
    as_lead(0);
    as_former_deputy(1);
    as_other(2);
}

/// Guards against a lead of the version before that takes over a zone with deputies: their runs end, but each target
/// has one holder afterwards.
#[test]
fn gives_up_to_a_lead_of_the_version_before() {
    gives_up_to_older_lead(0);
}

/// Guards against a lead that claims a target again when its watch is fenced between the word of the higher claim and
/// the next tick: the older version, which can't hear it, would give the zone up. The delays cover the longest wait of
/// a watch, in steps shorter than a tick.
#[test]
fn leaves_targets_to_a_higher_claim() {
    (40..2_000).step_by(40).for_each(gives_up_to_older_lead);
}

fn gives_up_to_older_lead(delay_ms: u64) {
    let mut sim = converged(6);
    let (lead, deputy, third) = roles(&sim);
    sim.kill(third);
    sim.run_for(3_000);
    sim.set_previous_version(third, true);
    sim.start(third);
    sim.run_for(3_000 + delay_ms);
    // The deputy hears the older version, which hears neither of the others and claims the zone too.
    for other in [lead, deputy] {
        sim.set_partition_one_way(other, third, Some(Partition::Silent));
    }
    sim.run_for(3_000);
    assert!(sim.stewards("a").contains(&third), "after {delay_ms} ms");
    for other in [lead, deputy] {
        sim.set_partition_one_way(other, third, None);
    }
    sim.run_for(8_000);
    assert_eq!(sim.stewards("a").len(), 1);
    assert_covered(&mut sim, 1);
    assert_safe(&sim);
}

/// Guards against a host of another size that ends up with the share of the others, or disturbs them.
fn shares_by_size(cpu_millis: u32, is_member: bool) {
    let mut sim = converged(7);
    let (lead, deputy, third) = roles(&sim);
    sim.kill(third);
    sim.set_cpu_millis(third, cpu_millis);
    sim.start(third);
    sim.run_for(4_000);
    sim.kill(deputy);
    sim.run_for(6_000);
    assert_covered(&mut sim, 1);
    assert_eq!(sim.members(lead).contains(&third), is_member);
    assert_eq!(sim.stewards("a"), [lead]);
    assert_safe(&sim);
}

cases! { shares_by_size:
    a_host_of_a_quarter(5, false);
    a_host_of_half(10, true);
    a_somewhat_larger_host(25, true);
}

/// Guards against hosts that act by different splits for long: the deputy doesn't hear the lead, but the third host
/// hears both, and each of the two claims the zone.
#[test]
fn two_leads_end_with_one() {
    for seed in 1..=6 {
        let mut sim = converged(seed);
        let (lead, deputy, _) = roles(&sim);
        sim.set_partition(lead, deputy, true);
        for _ in 0..60 {
            sim.submit(2, HALF, 80);
            sim.run_for(100);
        }
        sim.set_partition(lead, deputy, false);
        sim.run_for(12_000);
        assert_eq!(sim.stewards("a").len(), 1, "seed {seed}");
        assert_covered(&mut sim, 1);
        assert_safe(&sim);
    }
}

/// Guards against effects where no zone is dense: the same events with and without the messages on splits lead to the
/// same messages.
fn is_without_effect(fault: fn(&mut Simulation)) {
    let play = |knows_splits: bool| {
        let mut sim = Simulation::new(3);
        (0..sim.host_count()).for_each(|host| sim.set_previous_version(host, !knows_splits));
        sim.record_messages();
        for round in 0..80 {
            if round == 30 {
                fault(&mut sim);
            }
            sim.submit(2, HALF, 80);
            sim.run_for(100);
        }
        sim.run_for(3_000);
        assert_eq!(sim.split_messages, 0);
        sim.recorded_messages()
    };
    assert_eq!(play(true), play(false));
}

cases! { is_without_effect:
    without_faults(|_| {});
    after_a_killed_steward(|sim| { let steward = sim.stewards("a")[0]; sim.kill(steward); });
    after_a_frozen_steward(|sim| { let steward = sim.stewards("a")[0]; sim.freeze(steward, 2_000); });
    after_a_stopped_steward(|sim| { let steward = sim.stewards("a")[0]; sim.stop(steward); });
    after_a_zone_is_gone(|sim| { sim.kill(0); sim.kill(1); });
}
