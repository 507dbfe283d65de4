//! Pairs of hosts that speak rarely, and get work in common while a fault begins.

use coltsfootshunt_testkit::cases;

use super::jobs::converged;
use super::simulation::{Partition, Simulation};
use crate::job::Id;

/// Cases of each world, unless set by `COLTSFOOTSHUNT_CASES`.
const CASES: u64 = 12;
/// Interval of heartbeats between hosts without common work, in milliseconds.
const DISTANT_MS: u64 = 2_000;
/// When a fault begins relative to the submission, in milliseconds: before the first task message, with it or
/// the batch ahead of it in flight, and after it.
const BEGINS_MS: [i64; 9] = [-60, -20, -1, 1, 2, 3, 4, 30, 400];
/// Duration of faults, in milliseconds.
const LASTS_MS: [u64; 6] = [200, 600, 750, 1_200, 2_000, 4_000];
/// Time from the begin of the fault until the steward loses its targets, so that its stops don't arrive.
const LOSES_TARGETS_MS: [Option<u64>; 4] = [None, Some(0), Some(400), Some(700)];

fn cases() -> u64 {
    let text = std::env::var("COLTSFOOTSHUNT_CASES").ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(CASES)
}

fn choose<T: Copy>(sim: &mut Simulation, from: &[T]) -> T {
    from[sim.random_below(from.len())]
}

/// A fault between an owner and the steward that gets its task. Both directions may be affected.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Partitions from the owner to the steward, and back.
    Cut(Option<Partition>, Option<Partition>),
    /// The owner stops hearing the steward. When it has given the steward up, it can't reach it either.
    Crossed(Partition),
    OwnerFreezes,
    StewardFreezes,
}

/// Two hosts without common work, of which the steward expects the next heartbeat of the owner within 2 s.
struct Pair {
    steward: usize,
    owner: usize,
    /// Steward of the owner's zone, to which callers repeat their jobs.
    other: usize,
}

impl Pair {
    fn new(sim: &mut Simulation) -> Self {
        let (steward, other) = (sim.stewards("a")[0], sim.stewards("b")[0]);
        let owner = if other == 2 { 3 } else { 2 };
        // The time until the owner's next heartbeat differs from case to case.
        let phase_ms = sim.random_below(2_000) as u64;
        sim.run_for(3_000 + phase_ms);
        // The owner's zone has no room at first, so that the task goes to the steward of the other one.
        let up_again_ms = sim.now_ms() + 1_300;
        for target in sim.targets.values_mut().filter(|one| one.entry.zone.to_string() == "b") {
            target.crash(up_again_ms);
        }
        sim.run_for(800);
        assert_eq!(sim.expected_interval_ms(steward, owner), Some(DISTANT_MS));
        Self { steward, owner, other }
    }

    fn submit(&self, sim: &mut Simulation) -> Id {
        let id = sim.submit_at(self.owner, 9_000, 100, 5_000);
        sim.direct_callers_to(self.other);
        id
    }

    /// Begins a fault that lasts for `lasts_ms`.
    fn begin(&self, sim: &mut Simulation, fault: Fault, lasts_ms: u64) {
        match fault {
            Fault::Cut(there, back) => self.cut(sim, there, back),
            Fault::Crossed(partition) => self.cut(sim, None, Some(partition)),
            Fault::OwnerFreezes => sim.freeze(self.owner, lasts_ms),
            Fault::StewardFreezes => sim.freeze(self.steward, lasts_ms),
        }
    }

    /// Runs until a fault that began at `since_ms` is over. The steward may lose its targets meanwhile.
    fn end(&self, sim: &mut Simulation, fault: Fault, (since_ms, lasts_ms): (u64, u64)) {
        let run_until = |sim: &mut Simulation, ms: u64| {
            let for_ms = (since_ms + ms).saturating_sub(sim.now_ms());
            sim.run_for(for_ms);
        };
        if let Some(ms) = choose(sim, &LOSES_TARGETS_MS) {
            run_until(sim, ms);
            sim.partition_from_targets(self.steward);
        }
        if let Fault::Crossed(partition) = fault {
            // Around the moment at which the owner gives the steward up.
            let at_ms = 700 + sim.random_below(200) as u64;
            run_until(sim, at_ms);
            self.cut(sim, Some(partition), None);
            run_until(sim, at_ms + lasts_ms);
        }
        run_until(sim, lasts_ms);
        self.cut(sim, None, None);
    }

    fn cut(&self, sim: &mut Simulation, there: Option<Partition>, back: Option<Partition>) {
        sim.set_partition_one_way(self.owner, self.steward, there);
        sim.set_partition_one_way(self.steward, self.owner, back);
    }
}

/// Plays one case of [`runs_once_for_a_distant_owner`]. Returns whether the task started and the job was
/// repeated.
fn check_distant_owner(seed: u64, fault: Fault) -> bool {
    let mut sim = converged(seed);
    let pair = Pair::new(&mut sim);
    let begins_ms = choose(&mut sim, &BEGINS_MS);
    let lasts_ms = choose(&mut sim, &LASTS_MS);
    let since_ms = sim.now_ms().saturating_add_signed(begins_ms.max(0));
    let id = if begins_ms < 0 {
        pair.begin(&mut sim, fault, lasts_ms);
        sim.run_for(begins_ms.unsigned_abs());
        pair.submit(&mut sim)
    } else {
        let id = pair.submit(&mut sim);
        // The submission takes the first millisecond.
        sim.run_for(begins_ms.unsigned_abs() - 1);
        pair.begin(&mut sim, fault, lasts_ms);
        id
    };
    pair.end(&mut sim, fault, (since_ms, lasts_ms));
    sim.run_for(6_000);
    let what = format!("seed {seed}: from {begins_ms} ms on, for {lasts_ms} ms");
    assert_eq!(sim.violations, Vec::<String>::new(), "{what}");
    sim.outcomes(&id).len() > 1 && !sim.starts.is_empty()
}

/// Guards against a task that runs twice: owner and steward spoke rarely, and a fault begins around the first
/// message that hands the task over. The caller repeats its job through a host whose steward knows nothing
/// of the first run.
fn runs_once_for_a_distant_owner(fault: Fault) {
    let repeated = (0..cases()).filter(|seed| check_distant_owner(*seed, fault)).count();
    assert!(repeated > 0, "no job was repeated and started");
}

/// Seeds that fail once the mechanism that each is named after is removed.
fn depends_on(seed: u64, fault: Fault) {
    assert!(check_distant_owner(seed, fault), "the job was not repeated");
}

cases! { depends_on:
    leases_that_end_with_the_last_word_of_the_owner(4, Fault::Cut(REFUSING, None));
    new_sessions_that_void_the_tasks_of_earlier_ones(34, Fault::Cut(REFUSING, None));
}

const SILENT: Option<Partition> = Some(Partition::Silent);
const REFUSING: Option<Partition> = Some(Partition::Refusing);

cases! { runs_once_for_a_distant_owner:
    behind_a_silent_cut(Fault::Cut(SILENT, SILENT));
    behind_a_silent_cut_of_its_words(Fault::Cut(SILENT, None));
    behind_a_silent_cut_of_the_answers(Fault::Cut(None, SILENT));
    behind_a_refusing_cut(Fault::Cut(REFUSING, REFUSING));
    behind_a_refusing_cut_of_its_words(Fault::Cut(REFUSING, None));
    behind_a_refusing_cut_of_the_answers(Fault::Cut(None, REFUSING));
    // The first contact to the steward that was given up doesn't arrive, nor do some of those after it.
    that_can_not_tell_a_steward_that_it_gave_up(Fault::Crossed(Partition::Silent));
    that_is_refused_by_a_steward_that_it_gave_up(Fault::Crossed(Partition::Refusing));
    that_freezes(Fault::OwnerFreezes);
    of_a_steward_that_freezes(Fault::StewardFreezes);
}

/// Guards against a shared task that two stewards run: some of its owners are cut off from one of them only,
/// again and again.
fn runs_shared_tasks_once(there: Option<Partition>, back: Option<Partition>) {
    let mut grants = 0;
    for seed in 0..cases() {
        let mut sim = converged(seed);
        // Fast and slow targets, and runs that outlast their callers.
        sim.slow_percent = 220;
        sim.fault_rates.hangs = 0.25;
        let stewards = [sim.stewards("a")[0], sim.stewards("b")[0]];
        let steward = choose(&mut sim, &stewards);
        let owner = (0..sim.host_count()).find(|host| !stewards.contains(host)).unwrap();
        let pair = Pair { steward, owner, other: owner };
        for _ in 0..8 {
            for _ in 0..6 {
                let (width, run_ms) = (2 + sim.random_below(4), 300 + sim.random_below(600));
                sim.submit(width as u32, 12_000, run_ms as u64);
                let gap_ms = 10 + sim.random_below(100) as u64;
                sim.run_for(gap_ms);
            }
            pair.cut(&mut sim, there, back);
            let cut_ms = choose(&mut sim, &LASTS_MS) / 2;
            for _ in 0..3 {
                sim.submit(3, 12_000, 500);
                sim.run_for(cut_ms / 3);
            }
            pair.cut(&mut sim, None, None);
        }
        sim.run_for(6_000);
        grants += sim.grants;
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
    }
    assert!(grants > 0, "no task was shared");
}

cases! { runs_shared_tasks_once:
    behind_a_silent_cut(SILENT, SILENT);
    behind_a_silent_cut_to_the_steward(SILENT, None);
    behind_a_silent_cut_from_the_steward(None, SILENT);
    behind_a_refusing_cut(REFUSING, REFUSING);
    behind_a_refusing_cut_to_the_steward(REFUSING, None);
    behind_a_refusing_cut_from_the_steward(None, REFUSING);
}

/// Hosts of a zone in a fleet where most pairs speak rarely.
const HOSTS_PER_ZONE: usize = 6;

/// Guards against a host that is isolated in a fleet where most pairs speak rarely, although it hears stewards,
/// and against one that takes jobs although it hears nobody. Another host is killed first, so that all others
/// have lost one. Whatever they believe, no task runs twice.
fn isolates_only_a_host_that_is_cut_off(partition: Partition) {
    for seed in 0..cases().div_ceil(4) {
        let mut sim = Simulation::with_hosts(seed, HOSTS_PER_ZONE);
        let phase_ms = sim.random_below(2_000) as u64;
        sim.run_for(5_000 + phase_ms);
        sim.fault_rates.hangs = 0.25;
        let killed = sim.random_below(sim.host_count());
        let cut_off = (killed + 1 + sim.random_below(sim.host_count() - 1)) % sim.host_count();
        let others: Vec<usize> =
            (0..sim.host_count()).filter(|host| ![killed, cut_off].contains(host)).collect();
        let run = |sim: &mut Simulation, is_cut_off: bool| {
            for round in 0..30 {
                sim.submit(2, 12_000, 200);
                sim.run_for(100);
                let isolated = others.iter().filter(|host| sim.is_isolated(**host)).count();
                assert_eq!(isolated, 0, "seed {seed}: others than the host that is cut off");
                // The timeout of a peer, and the time until this is noticed.
                let is_expected = is_cut_off && partition == Partition::Silent;
                if !is_cut_off || (is_expected && round >= 10) {
                    assert_eq!(sim.is_isolated(cut_off), is_expected, "seed {seed}, {round}");
                }
            }
        };
        sim.kill(killed);
        run(&mut sim, false);
        for host in &others {
            sim.set_partition_one_way(cut_off, *host, Some(partition));
            sim.set_partition_one_way(*host, cut_off, Some(partition));
        }
        run(&mut sim, true);
        for host in &others {
            sim.set_partition_one_way(cut_off, *host, None);
            sim.set_partition_one_way(*host, cut_off, None);
        }
        sim.run_for(8_000);
        assert_eq!(sim.violations, Vec::<String>::new(), "seed {seed}");
    }
}

cases! { isolates_only_a_host_that_is_cut_off:
    silently(Partition::Silent);
    by_refusals(Partition::Refusing);
}
