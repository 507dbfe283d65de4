//! Order of the messages that wait for one host.
//!
//! Load pattern: a link that carries less than what a host sends, with lists and heartbeats ahead of the
//! messages that jobs wait for. Messages on jobs go first; of all others only the latest of each kind is
//! kept, since it replaces the earlier ones.
//!
//! Each batch tells its receiver that the sender still wants the tasks that the receiver has, which then
//! run on. So no batch goes ahead of a cancellation that waits.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use derive_more::{Display, Error};
use tokio::time::Instant;

use super::Message;
use crate::job::Id;

/// Maximum number of messages in one batch, so that a narrow link carries it within the time limit of a
/// batch.
const MAX_BATCH_MESSAGES: usize = 64;
/// Maximum number of messages on jobs that wait for one host.
const MAX_JOB_MESSAGES: usize = 4_096;
/// Time after which a list goes along with messages on jobs, although these are delayed by it.
const MAX_LIST_WAIT: Duration = Duration::from_millis(500);

/// The queue holds as many messages on jobs as it can.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
#[display("{MAX_JOB_MESSAGES} messages on jobs wait for the host")]
pub struct Full;

/// A message, and since when it waits.
pub(super) type Queued = (Message, Instant);

/// Messages that wait for one host.
#[derive(Debug, Default)]
pub struct Queue {
    /// Cancellations, in order. They go before all other messages.
    cancels: VecDeque<Queued>,
    /// Other messages on jobs, in order.
    jobs: VecDeque<Queued>,
    heartbeat: Option<Queued>,
    /// The latest states of a zone's split. Each batch takes them along: a member waits for them before it claims
    /// targets, and they are short.
    splits: BTreeMap<&'static str, Queued>,
    /// The latest message of every other kind.
    lists: BTreeMap<&'static str, Queued>,
}

impl Queue {
    /// Adds a message.
    ///
    /// # Errors
    /// [`Full`] if too many messages on jobs wait. The session must end then, since they can't be dropped
    /// one by one.
    pub fn push(&mut self, message: Message, now: Instant) -> Result<(), Full> {
        if message.is_about_jobs() {
            if self.cancels.len() + self.jobs.len() >= MAX_JOB_MESSAGES {
                return Err(Full);
            }
            if let Message::Cancel(job, generation) = &message {
                self.remove_tasks(job, *generation);
                self.cancels.push_back((message, now));
            } else {
                self.jobs.push_back((message, now));
            }
        } else if matches!(message, Message::Heartbeat(_)) {
            self.heartbeat = Some((message, now));
        } else if matches!(message, Message::Split(_) | Message::Share(_)) {
            self.splits.insert(message.kind(), (message, now));
        } else {
            // The time of the first one counts, so that a list that is often replaced is still sent.
            let since = self.lists.get(message.kind()).map_or(now, |(_, since)| *since);
            self.lists.insert(message.kind(), (message, since));
        }
        Ok(())
    }

    /// Removes what would hand tasks of a cancelled job to the host after the cancellation.
    fn remove_tasks(&mut self, job: &Id, generation: u64) {
        self.jobs.retain_mut(|(message, _)| match message {
            Message::Run(assignment) => {
                (&assignment.job, assignment.generation) != (job, generation)
            }
            Message::Grant(grants) => {
                grants.retain(|grant| (&grant.task.job, grant.generation) != (job, generation));
                !grants.is_empty()
            }
            _ => true,
        });
    }

    /// Removes and returns the messages of the next batch.
    pub fn next_batch(&mut self, now: Instant) -> Vec<Queued> {
        let cancels = self.cancels.len().min(MAX_BATCH_MESSAGES);
        let others = self.jobs.len().min(MAX_BATCH_MESSAGES - cancels);
        let count = cancels + others;
        let mut batch: Vec<Queued> = self.cancels.drain(..cancels).collect();
        batch.extend(self.jobs.drain(..others));
        if let Some((mut message, since)) = self.heartbeat.take() {
            // It may be newer than messages on jobs that still wait, and must not date them.
            if let Message::Heartbeat(heartbeat) = &mut message
                && !(self.cancels.is_empty() && self.jobs.is_empty())
            {
                heartbeat.echo = None;
            }
            batch.push((message, since));
        }
        batch.extend(std::mem::take(&mut self.splits).into_values());
        let longest_waiting = self.lists.iter().min_by_key(|(_, (_, since))| *since);
        let next = longest_waiting.map(|(kind, (_, since))| (*kind, *since));
        if let Some((kind, since)) = next
            && (count == 0 || now.duration_since(since) >= MAX_LIST_WAIT)
        {
            batch.extend(self.lists.remove(kind));
        }
        batch
    }

    /// Whether no message waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cancels.is_empty()
            && self.jobs.is_empty()
            && self.heartbeat.is_none()
            && self.splits.is_empty()
            && self.lists.is_empty()
    }

    /// Drops all messages.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
