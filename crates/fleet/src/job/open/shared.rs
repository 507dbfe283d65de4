//! Tasks that are queued at several stewards.

use coltsfootshunt_core::name::Host;

use super::{Open, Progress, TaskState};
use crate::job::Reservation;

/// A shared task that has been granted to one steward.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Granted {
    /// Index of the step in the plan, from 0.
    pub step: u32,
    /// Index of the task within the step, from 0.
    pub index: u32,
    /// Lowest run number that the next attempt may use.
    pub run: u32,
    /// Sequence number of the message that carried the task.
    pub sequence: u32,
    /// The other stewards at which the task was queued.
    pub other_stewards: Vec<Host>,
}

impl Open {
    /// Records that a task was queued at several stewards.
    pub fn mark_shared(&mut self, position: usize, with: Vec<Host>) {
        self.tasks[position].state = Progress::Shared(with);
        self.tasks[position].sequence += 1;
    }

    /// Grants a steward the shared task that it requests, or another shared task of the same step
    /// if the requested one has gone to another steward. Returns `None` if there is neither.
    pub fn grant(
        &mut self,
        to: &Host,
        Reservation { task, sequence, .. }: &Reservation,
    ) -> Option<Granted> {
        let is_same_step = |entry: &TaskState| {
            let is_queued = matches!(&entry.state, Progress::Shared(hosts) if hosts.contains(to));
            is_queued && entry.step == task.step
        };
        let is_requested = |entry: &TaskState| {
            (entry.index, entry.sequence) == (task.index, *sequence) && is_same_step(entry)
        };
        let position = self
            .tasks
            .iter()
            .position(is_requested)
            .or(self.tasks.iter().position(is_same_step))?;
        let entry = &mut self.tasks[position];
        let state = std::mem::replace(&mut entry.state, Progress::Assigned(to.clone()));
        self.may_have_started = true;
        let Progress::Shared(mut other_stewards) = state else {
            return None;
        };
        other_stewards.retain(|host| host != to);
        let TaskState { step, index, run, sequence, .. } = *entry;
        Some(Granted { step, index, run, sequence, other_stewards })
    }

    /// Whether any shared task of the job is queued at a steward.
    #[must_use]
    pub fn is_shared_with(&self, host: &Host) -> bool {
        let is_queued = |entry: &TaskState| matches!(&entry.state, Progress::Shared(hosts) if hosts.contains(host));
        self.tasks.iter().any(is_queued)
    }

    /// Removes a lost steward from all shared tasks. Tasks that are queued at no other steward can
    /// be sent again.
    pub fn remove_steward(&mut self, host: &Host) {
        for entry in &mut self.tasks {
            if let Progress::Shared(hosts) = &mut entry.state {
                hosts.retain(|other| other != host);
                if hosts.is_empty() {
                    entry.state = Progress::Unassigned;
                }
            }
        }
    }
}
