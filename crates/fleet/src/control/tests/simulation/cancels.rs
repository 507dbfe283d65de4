//! Cancellations by callers.

use super::{SimEvent, Simulation};
use crate::cancel::Verdict;
use crate::control::{Event, Request};
use crate::job::Id;

impl Simulation {
    /// Cancels a job through a host.
    pub(in crate::control::tests) fn cancel(&mut self, id: &Id, host: usize) {
        let request_id = self.new_request_id();
        self.open_cancels.insert((host, request_id), id.clone());
        let incarnation = self.hosts[host].incarnation;
        let event = Event::Request(request_id, Request::Cancel(id.clone()));
        self.schedule(1, SimEvent::Host(host, incarnation, event));
    }

    /// Submits a job again through a host, with a new request.
    pub(in crate::control::tests) fn submit_again(&mut self, id: &Id, host: usize) {
        self.caller_host = Some(host);
        self.submit_attempt(id);
        self.run_for(1);
        self.caller_host = None;
    }

    /// Answers to the cancellations of a job, in order.
    pub(in crate::control::tests) fn cancel_verdicts(&self, id: &Id) -> Vec<Verdict> {
        let answers = self.cancel_answers.iter().filter(|(cancelled, _)| cancelled == id);
        answers.map(|(_, verdict)| *verdict).collect()
    }

    /// Number of tasks of a job that run at this moment.
    pub(in crate::control::tests) fn running(&self, id: &Id) -> usize {
        let running = self.targets.values().flat_map(|target| target.running.keys());
        running.filter(|task| task.job == *id).count()
    }

    /// Number of starts of a job's tasks so far.
    pub(in crate::control::tests) fn starts_of(&self, id: &Id) -> u32 {
        self.starts.iter().filter(|(task, _)| task.job == *id).map(|(_, count)| count).sum()
    }
}
