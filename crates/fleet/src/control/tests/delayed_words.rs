//! Words of owners that are old when their steward handles them.

use coltsfootshunt_testkit::cases;

use super::jobs::converged;
use super::simulation::Simulation;
use crate::job::Id;

/// Seeds of each test case.
const SEEDS: std::ops::Range<u64> = 1..5;

/// A task that runs at a steward of another zone than its owner's.
struct Scenario {
    sim: Simulation,
    steward: usize,
    owner: usize,
    /// Steward of the owner's zone, to which the caller repeats its job.
    other_steward: usize,
    id: Id,
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let mut sim = converged(seed);
        let steward = sim.stewards("a")[0];
        let other_steward = sim.stewards("b")[0];
        let owner = if other_steward == 2 { 3 } else { 2 };
        // The targets of the owner's zone are down at first.
        let up_again_ms = sim.now_ms() + 1_300;
        for target in sim.targets.values_mut().filter(|one| one.entry.zone.to_string() == "b") {
            target.crash(up_again_ms);
        }
        sim.run_for(800);
        let id = sim.submit_at(owner, 9_000, 100, 5_000);
        sim.run_for(100);
        assert_eq!(sim.starts.len(), 1, "seed {seed}");
        Self { sim, steward, owner, other_steward, id }
    }

    /// Runs until a batch of the owner has left for the steward.
    fn run_to_word(&mut self) {
        let until_ms = self.sim.now_ms() + 800;
        while !self.sim.has_just_sent(self.owner, self.steward) {
            assert!(self.sim.now_ms() < until_ms, "the owner has sent nothing");
            self.sim.run_for(1);
        }
    }

    /// Ends the owner without a trace after its last word. The steward loses its targets after `cut_after_ms`,
    /// before it misses the owner. The caller repeats its job, whose task never runs twice at once.
    fn check(mut self, seed: u64, cut_after_ms: u64) {
        self.sim.cut_power(self.owner);
        self.sim.direct_callers_to(self.other_steward);
        self.sim.run_for(cut_after_ms);
        self.sim.partition_from_targets(self.steward);
        self.sim.run_for(5_000);
        assert!(self.sim.outcomes(&self.id).len() > 1, "seed {seed}: no retry");
        let has_second_start = self.sim.starts.values().any(|starts| *starts > 1);
        assert!(has_second_start, "seed {seed}: no second start");
        assert_eq!(self.sim.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against a task that runs twice: its owner loses power right after a word, and the steward, which
/// is frozen for too short a time to notice, handles the word afterwards.
fn runs_once_when_the_steward_was_frozen(frozen_ms: u64) {
    for seed in SEEDS {
        let mut scenario = Scenario::new(seed);
        scenario.run_to_word();
        scenario.sim.freeze(scenario.steward, frozen_ms);
        scenario.check(seed, frozen_ms + 750);
    }
}

cases! { runs_once_when_the_steward_was_frozen:
    for_200_ms(200);
    for_300_ms(300);
    for_400_ms(400);
    for_500_ms(500);
}

/// As above, where the last word is a message with tasks, soon after a heartbeat.
fn runs_once_when_tasks_came_before_a_freeze(frozen_ms: u64) {
    for seed in SEEDS {
        let mut scenario = Scenario::new(seed);
        scenario.run_to_word();
        scenario.sim.run_for(50);
        scenario.sim.submit_at(scenario.owner, 9_000, 100, 100);
        scenario.run_to_word();
        scenario.sim.freeze(scenario.steward, frozen_ms);
        scenario.check(seed, frozen_ms + 750);
    }
}

cases! { runs_once_when_tasks_came_before_a_freeze:
    for_600_ms(600);
    for_650_ms(650);
}

/// Guards against a task that runs twice: the owner loses power right after a word that takes long to
/// arrive, as the words before it did.
fn runs_once_when_words_take_long(delay_ms: u64) {
    for seed in SEEDS {
        let mut scenario = Scenario::new(seed);
        scenario.sim.set_batch_delay(scenario.owner, scenario.steward, delay_ms / 2);
        scenario.run_to_word();
        scenario.sim.set_batch_delay(scenario.owner, scenario.steward, delay_ms);
        scenario.sim.run_for(1);
        scenario.run_to_word();
        // A batch that the steward can't deliver shows it the loss 700 ms after it was sent.
        scenario.check(seed, 680);
    }
}

cases! { runs_once_when_words_take_long:
    as_usual(0);
    by_100_ms(100);
    by_200_ms(200);
    by_300_ms(300);
    by_400_ms(400);
    by_500_ms(500);
    by_600_ms(600);
}

/// Guards against a task that runs twice: a caller's connection breaks, its owner handles that late and goes on
/// with its words until then, and the steward loses the target just before.
fn runs_once_when_the_owner_is_behind(lag_ms: u64) {
    for offset_ms in (0..400).step_by(50) {
        let mut scenario = Scenario::new(1);
        scenario.sim.run_for(offset_ms);
        scenario.sim.set_event_lag(scenario.owner, lag_ms);
        scenario.sim.break_caller(&scenario.id);
        scenario.sim.direct_callers_to(scenario.other_steward);
        scenario.sim.run_for(lag_ms.saturating_sub(10));
        scenario.sim.partition_from_targets(scenario.steward);
        scenario.sim.run_for(5_000);
        let has_second_start = scenario.sim.starts.values().any(|starts| *starts > 1);
        assert!(has_second_start, "offset {offset_ms}: no second start");
        assert_eq!(scenario.sim.violations, Vec::<String>::new(), "offset {offset_ms}");
    }
}

cases! { runs_once_when_the_owner_is_behind:
    by_1_ms(1);
    by_200_ms(200);
    by_400_ms(400);
    by_650_ms(650);
}
