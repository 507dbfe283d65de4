//! Targets of evacuated zones, and cold targets that have had their share of starts.

use coltsfootshunt_core::name::Label;
use coltsfootshunt_testkit::cases;

use super::*;
use crate::evacuation::Limit;
use crate::lease::Tracker;
use crate::report::Record;

fn zone(name: &str) -> Zone {
    Zone::try_from(name).unwrap()
}

/// A steward that has claimed these targets, given as names, zones and labels.
fn bench(targets: &[(&str, &str, &str)], limit: Option<Limit>) -> Bench {
    let mut bench = Bench::new(0);
    bench.steward = bench.steward.with_cold_limit(limit);
    bench.membership.claims.push(Claim { zone: zone("b"), token: Token(2) });
    let entry = |(name, zone, label): &(&str, &str, &str)| {
        let mut entry = entry(name, zone);
        entry.labels.push(Label::try_from(*label).unwrap());
        entry
    };
    bench.directory.replace(targets.iter().map(entry).collect(), bench.now);
    bench.steward.sync(&bench.directory, &bench.membership, bench.now);
    for call in bench.maintain().calls {
        let report = Report { clock_ms: 1, started_at_ms: Some(1), ..Report::default() };
        bench.handle_response(&call, Response::Report(report));
    }
    bench
}

impl Bench {
    fn evacuate(&mut self, name: &str) -> (usize, Output) {
        let mut output = Output::default();
        let count = self.steward.evacuate(&zone(name), &self.membership, &mut output);
        (count, output)
    }

    /// Answers all due renewals; all attempts on one target, or on all, have ended.
    fn complete_all(&mut self, on: Option<&str>) {
        self.now += Duration::from_millis(10);
        for call in self.maintain().calls {
            let tracker = self.steward.tracker(&call.target).unwrap();
            let is_over = on.is_none_or(|name| &*call.target == name);
            let attempts = tracker.attempts().filter(|_| is_over);
            let attempts: Vec<(Task, u32)> =
                attempts.map(|(task, attempt)| (task.clone(), attempt.run)).collect();
            let running = tracker.attempts().filter(|_| !is_over);
            let running = running
                .map(|(task, attempt)| lease::Running { task: task.clone(), run: attempt.run });
            let running = running.collect();
            let ended = attempts.into_iter().map(|(task, run)| {
                self.ended += 1;
                Ended { sequence: self.ended, task, run, end: lease::End::Done }
            });
            let ended = ended.collect();
            let report =
                Report { clock_ms: 3, started_at_ms: Some(1), running, ended, ..Report::default() };
            self.handle_response(&call, Response::Report(report));
        }
    }

    fn load(&self) -> Load {
        self.steward.load(&self.membership, &self.speeds, self.now)
    }
}

fn ends(output: &Output) -> Vec<End> {
    output.completions.iter().map(|(_, completion)| completion.end).collect()
}

/// Number of tasks of each record on tasks that were returned.
fn records(output: &Output) -> Vec<usize> {
    let tasks = |record: &Record| match record {
        Record::TasksEvacuated { tasks, .. } => Some(*tasks),
        _ => None,
    };
    output.records.iter().filter_map(tasks).collect()
}

/// Guards against tasks that wait at a steward that will not start them, and against the loss of those that run.
#[test]
fn an_evacuation_returns_queued_tasks_and_keeps_running_ones() {
    let mut bench = bench(&[("t0", "a", "x")], None);
    bench.enqueue(1, 3, "owner");
    bench.enqueue_assignment(Assignment { shared: true, ..assignment(2, 2) }, "owner");
    assert_eq!(count_starts(&bench.dispatch_once()), 2);
    let (count, output) = bench.evacuate("a");
    assert_eq!((count, ends(&output), records(&output)), (3, vec![End::NotRun; 3], vec![1, 2]));
    // The run number of a task that did not run is free for its next start.
    assert!(output.completions.iter().all(|(_, completion)| completion.run == 0));
    let running = bench.steward.trackers().flat_map(Tracker::attempts);
    assert_eq!(running.filter(|(_, attempt)| !attempt.cancelled).count(), 2);
    let Load { slots, free_slots, free_fast_slots, .. } = bench.load();
    assert_eq!((slots, free_slots, free_fast_slots), (0, 0, 0));
    let output = bench.enqueue(3, 4, "owner");
    assert_eq!((ends(&output), records(&output)), (vec![End::NotRun; 4], vec![4]));
    bench.complete_all(None);
    assert_eq!(count_starts(&bench.dispatch()), 0);
}

/// A restored zone has its leases and starts tasks without a new claim.
#[test]
fn a_restored_zone_starts_tasks_at_once() {
    let mut bench = bench(&[("t0", "a", "x")], None);
    bench.evacuate("a");
    bench.now += Duration::from_millis(100);
    bench.steward.sync(&bench.directory, &bench.membership, bench.now);
    let tracker = bench.steward.trackers().next().unwrap();
    assert!(matches!(tracker.phase, Phase::Held(_)) && tracker.is_closed());
    bench.steward.restore(&zone("a"));
    assert!(bench.load().free_slots > 0);
    bench.enqueue(1, 2, "owner");
    assert_eq!(count_starts(&bench.dispatch()), 2);
}

/// A steward of two zones keeps what the other one can take.
fn keeps_queued(label: Option<&str>, returned: usize) {
    let mut bench = bench(&[("t0", "a", "x"), ("t1", "b", "y")], None);
    bench.enqueue(1, 4, "owner");
    assert_eq!(count_starts(&bench.dispatch()), 4);
    let mut waiting =
        Assignment { objective_in_ms: 60_000, deadline_in_ms: 60_000, ..assignment(2, 2) };
    let label = label.map(|label| Label::try_from(label).unwrap());
    waiting.tasks.iter_mut().for_each(|item| item.requirements.required_label = label.clone());
    bench.enqueue_assignment(waiting, "owner");
    assert_eq!(bench.evacuate("a").0, returned);
    assert_eq!(bench.steward.queued(), 2 - returned);
    assert!(bench.load().slots > 0);
    bench.complete_all(Some("t0"));
    assert_eq!(count_starts(&bench.dispatch()), 0, "nothing starts in the evacuated zone");
    bench.complete_all(Some("t1"));
    assert_eq!(count_starts(&bench.dispatch()), 2 - returned);
}

cases! { keeps_queued:
    tasks_that_run_anywhere(None, 0);
    tasks_for_a_target_of_the_other_zone(Some("y"), 0);
    no_tasks_for_a_target_of_the_evacuated_zone(Some("x"), 2);
}

/// A target that appears in an evacuated zone, or moves there, gets nothing.
#[test]
fn a_new_target_of_an_evacuated_zone_is_closed() {
    let mut bench = bench(&[("t0", "a", "x"), ("t1", "b", "x")], None);
    bench.evacuate("b");
    bench.directory.replace(vec![entry("t0", "b"), entry("t1", "b"), entry("t2", "b")], bench.now);
    bench.steward.sync(&bench.directory, &bench.membership, bench.now);
    assert!(bench.steward.trackers().all(Tracker::is_closed));
    let output = bench.enqueue(1, 2, "owner");
    assert_eq!(ends(&output), vec![End::NotRun; 2]);
}

/// Tasks that came before their steward knew its targets must not wait for an evacuated zone.
#[test]
fn tasks_from_before_a_claim_are_returned() {
    let mut bench = bench(&[], None);
    bench.evacuate("b");
    bench.enqueue(1, 2, "owner");
    let mut output = Output::default();
    bench.steward.return_stranded(&bench.membership, &mut output);
    assert_eq!((output.completions.len(), bench.steward.queued()), (0, 2));
    bench.directory.replace(vec![entry("t0", "b")], bench.now);
    bench.steward.sync(&bench.directory, &bench.membership, bench.now);
    bench.steward.return_stranded(&bench.membership, &mut output);
    assert_eq!((ends(&output), bench.steward.queued()), (vec![End::NotRun; 2], 0));
}

/// Long tasks must not wait for the fast target of an evacuated zone.
#[test]
fn a_closed_target_is_not_the_fastest() {
    let mut bench = bench(&[("t0", "a", "x"), ("t1", "b", "x")], None);
    bench.learn_speeds();
    let before = bench.load().fastest_permille;
    bench.evacuate("a");
    assert!(before < 700 && bench.load().fastest_permille > 900);
    bench.enqueue_assignment(long_assignment(1, 1), "owner");
    assert_eq!(count_starts(&bench.dispatch()), 1);
}

/// Starts tasks on two targets of which one is cold, one at a time. Guards against a cold target that gets most of
/// the work because all its room is free.
fn starts_on_a_cold_target(limit: Option<Limit>, is_cold: bool, rounds: usize, expected: usize) {
    let mut bench = bench(&[("t0", "a", "x"), ("t1", "a", "x")], limit);
    let mut entries = vec![entry("t0", "a"), entry("t1", "a")];
    entries[0].is_cold = is_cold;
    bench.directory.replace(entries, bench.now);
    bench.steward.sync(&bench.directory, &bench.membership, bench.now);
    let mut starts = 0;
    for round in 0..rounds {
        // Two tasks fill a target, so that four take all there is.
        bench.enqueue(round as u32 + 1, 4, "owner");
        let calls = bench.dispatch().calls;
        let on_cold = calls.iter().filter(|call| &*call.target == "t0");
        starts += on_cold.filter(|call| started_task(call).is_some()).count();
        bench.complete_all(None);
        assert!(bench.steward.trackers().all(Tracker::is_idle));
        bench.steward.cancel_job(&assignment(round as u32 + 1, 1).job);
        bench.steward.sync(&bench.directory, &bench.membership, bench.now);
    }
    assert_eq!(starts, expected);
}

cases! { starts_on_a_cold_target:
    is_limited_at_first(Some(Limit { overage: 0.0, slack: 3.0 }), true, 4, 3);
    is_limited_within_a_pass(Some(Limit { overage: 0.0, slack: 1.0 }), true, 1, 1);
    follows_the_warm_ones(Some(Limit { overage: 0.5, slack: 1.0 }), true, 10, 11);
    is_unlimited_once_it_is_warm(Some(Limit { overage: 0.0, slack: 1.0 }), false, 4, 8);
    is_unlimited_without_a_setting(None, true, 4, 8);
}
