//! Invariants that are checked on every action of the simulated entries.

use coltsfootshunt_core::answer::Answer;
use coltsfootshunt_core::submission::Id;

use super::fixture::{output, parse};
use super::simulation::{Running, World};
use crate::control::Attempt;
use crate::drain::Exit;
use crate::target::Start;

impl World {
    /// Checks that a caller who waits at a running owner has an answer by the deadline.
    pub fn check(&self) {
        for (id, known) in &self.known {
            let overdue = known.due.is_some_and(|due| due < self.now);
            let owner = self.entries.iter().find(|entry| entry.incarnation == id.owner);
            let served = owner.is_some_and(|entry| entry.state.is_some() && !entry.frozen);
            let waits = self.asked.values().any(|asked| asked == id);
            assert!(
                !(overdue && served && waits && known.answer.is_none()),
                "{id} has no answer after its deadline"
            );
        }
    }

    pub(super) fn started(&mut self, number: usize, attempt: Attempt, start: Start) {
        let (id, task) = parse(&start.label);
        let entry = &self.entries[number];
        assert_eq!(id.owner, entry.incarnation, "only the owner starts tasks");
        let state = entry.state.as_ref().expect("it acts");
        assert!(!state.departures.contains(&attempt.target), "a start on a leaving target");
        assert!(!state.is_suspended(), "a start with an old view");
        let known = self.known.get_mut(&id).expect("it was submitted");
        let count = known.starts.entry(task).or_default();
        *count += 1;
        assert_eq!(*count, 1, "task {} starts twice", start.label);
        assert!(!known.never.contains(&task), "{} was said not to run", start.label);
        assert!(known.due.is_none_or(|due| self.now < due), "a start after the deadline");
        self.starts += 1;
        self.running.push(Running { entry: number, attempt, start });
    }

    pub(super) fn answered(&mut self, id: &Id, answer: Answer) {
        *self.outcomes.entry(answer.outcome().to_string()).or_default() += 1;
        let known = self.known.get_mut(id).expect("it was submitted");
        match &answer {
            Answer::Complete { outputs } => {
                assert_eq!(outputs.len(), known.tasks, "an answer is whole");
                for (task, found) in outputs.iter().enumerate() {
                    assert_eq!(found.get(), output(&format!("{id}/{task}")).get(), "its own");
                }
            }
            Answer::NotRun { refusal } => {
                let started: u32 = known.starts.values().sum();
                assert_eq!(started, 0, "{id} is said not to have run: {refusal}");
                known.never.extend(0..known.tasks);
            }
            Answer::Failed { tasks: census, .. } => {
                let mut all: Vec<_> = [&census.ran, &census.may_have_run, &census.not_run]
                    .into_iter()
                    .flatten()
                    .copied()
                    .collect();
                all.sort_unstable();
                assert_eq!(all, (0..known.tasks).collect::<Vec<_>>(), "each task once");
                for task in &census.not_run {
                    let started = known.starts.get(task).copied().unwrap_or_default();
                    assert_eq!(started, 0, "{id}/{task} is said not to have run");
                }
                known.never.extend(&census.not_run);
            }
            Answer::Unknown { .. } => return,
        }
        if let Some(before) = &known.answer {
            assert_eq!(before.outcome(), answer.outcome(), "{id} was answered otherwise before");
        }
        known.answer = Some(answer);
    }

    pub(super) fn exited(&mut self, number: usize, exit: Exit) {
        if exit == Exit::Clean {
            let cut = self.running.iter().any(|running| running.entry == number);
            assert!(!cut, "a planned stop cuts an attempt");
            let incarnation = self.entries[number].incarnation;
            let left = self
                .asked
                .values()
                .any(|id| id.owner == incarnation && self.known[id].answer.is_none());
            assert!(!left, "a planned stop leaves a caller without an answer");
        }
        let entry = &mut self.entries[number];
        entry.exit = Some(exit);
        entry.state = None;
        self.running.retain(|running| running.entry != number);
        self.mail.retain(|mail| mail.from != number);
    }
}
