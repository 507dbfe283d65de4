//! Invariants that are checked on every action of the simulated entries.

use coltsfootshunt_core::answer::Answer;
use coltsfootshunt_core::submission::Id;

use super::fixture::{output_for, parse_label};
use super::simulation::{RunningAttempt, Simulation};
use crate::control::Attempt;
use crate::drain::Exit;
use crate::target::Start;

impl Simulation {
    /// Checks that a caller who waits at a running owner has an answer by the deadline.
    pub fn check_deadlines(&self) {
        for (id, tracked) in &self.tracked {
            let is_overdue = tracked.deadline.is_some_and(|deadline| deadline < self.now);
            let owner = self.entries.iter().find(|entry| entry.incarnation == id.owner);
            let is_owner_running =
                owner.is_some_and(|entry| entry.state.is_some() && !entry.is_paused);
            let is_awaited = self.pending_requests.values().any(|pending| pending == id);
            assert!(
                !(is_overdue && is_owner_running && is_awaited && tracked.answer.is_none()),
                "{id} has no answer after its deadline"
            );
        }
    }

    /// Checks a task start: by the owner, once, in time, and not while it is forbidden.
    pub(super) fn check_start(&mut self, entry_index: usize, attempt: Attempt, start: Start) {
        let (id, task) = parse_label(&start.label);
        let entry = &self.entries[entry_index];
        assert_eq!(id.owner, entry.incarnation, "only the owner starts tasks");
        let state = entry.state.as_ref().expect("an ended entry starts no task");
        assert!(!state.departures.contains(&attempt.target), "a task starts on a leaving target");
        assert!(!state.is_suspended(), "a task starts while starts are suspended");
        let tracked = self.tracked.get_mut(&id).expect("the submission is tracked");
        let count = tracked.starts.entry(task).or_default();
        *count += 1;
        assert_eq!(*count, 1, "task {} is started twice", start.label);
        assert!(
            !tracked.must_not_run.contains(&task),
            "{} starts although it was reported as not run",
            start.label
        );
        assert!(
            tracked.deadline.is_none_or(|deadline| self.now < deadline),
            "a task starts after the deadline"
        );
        self.starts += 1;
        self.running.push(RunningAttempt { entry: entry_index, attempt, start });
    }

    /// Checks that an answer is consistent with the starts and with earlier answers.
    pub(super) fn check_answer(&mut self, id: &Id, answer: Answer) {
        *self.outcomes.entry(answer.outcome().to_string()).or_default() += 1;
        let tracked = self.tracked.get_mut(id).expect("the submission is tracked");
        match &answer {
            Answer::Complete { outputs } => {
                assert_eq!(outputs.len(), tracked.tasks, "a complete answer contains all outputs");
                for (task, found) in outputs.iter().enumerate() {
                    assert_eq!(
                        found.get(),
                        output_for(&format!("{id}/{task}")).get(),
                        "each output belongs to its task"
                    );
                }
            }
            Answer::NotRun { refusal } => {
                let started: u32 = tracked.starts.values().sum();
                assert_eq!(started, 0, "{id} is reported as not run: {refusal}");
                tracked.must_not_run.extend(0..tracked.tasks);
            }
            Answer::Failed { tasks: breakdown, .. } => {
                let mut all: Vec<_> = [&breakdown.ran, &breakdown.may_have_run, &breakdown.not_run]
                    .into_iter()
                    .flatten()
                    .copied()
                    .collect();
                all.sort_unstable();
                assert_eq!(
                    all,
                    (0..tracked.tasks).collect::<Vec<_>>(),
                    "the breakdown contains each task once"
                );
                for task in &breakdown.not_run {
                    let started = tracked.starts.get(task).copied().unwrap_or_default();
                    assert_eq!(started, 0, "{id}/{task} is reported as not run");
                }
                tracked.must_not_run.extend(&breakdown.not_run);
            }
            Answer::Unknown { .. } => return,
        }
        if let Some(before) = &tracked.answer {
            assert_eq!(before.outcome(), answer.outcome(), "{id} had another outcome before");
        }
        tracked.answer = Some(answer);
    }

    /// Checks that a planned stop interrupts no attempt and leaves no caller without an answer.
    pub(super) fn check_exit(&mut self, entry_index: usize, exit: Exit) {
        if exit == Exit::Clean {
            let has_attempts = self.running.iter().any(|running| running.entry == entry_index);
            assert!(!has_attempts, "a planned stop interrupts an attempt");
            let incarnation = self.entries[entry_index].incarnation;
            let has_unanswered = self
                .pending_requests
                .values()
                .any(|id| id.owner == incarnation && self.tracked[id].answer.is_none());
            assert!(!has_unanswered, "a planned stop leaves a caller without an answer");
        }
        let entry = &mut self.entries[entry_index];
        entry.exit = Some(exit);
        entry.state = None;
        self.running.retain(|running| running.entry != entry_index);
        self.calls.retain(|in_flight| in_flight.from != entry_index);
    }
}
