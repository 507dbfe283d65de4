//! Order of the messages that wait for one host.
//!
//! Load pattern: a link that carries less than what a host sends, with lists and heartbeats ahead of the
//! messages that jobs wait for. Messages on jobs go first; of all others only the latest of each kind is
//! kept, since it replaces the earlier ones.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use derive_more::{Display, Error};
use tokio::time::Instant;

use super::Message;

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
    /// Messages on jobs, in order.
    jobs: VecDeque<Queued>,
    heartbeat: Option<Queued>,
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
            if self.jobs.len() >= MAX_JOB_MESSAGES {
                return Err(Full);
            }
            self.jobs.push_back((message, now));
        } else if matches!(message, Message::Heartbeat(_)) {
            self.heartbeat = Some((message, now));
        } else {
            // The time of the first one counts, so that a list that is often replaced is still sent.
            let since = self.lists.get(message.kind()).map_or(now, |(_, since)| *since);
            self.lists.insert(message.kind(), (message, since));
        }
        Ok(())
    }

    /// Removes and returns the messages of the next batch.
    pub fn next_batch(&mut self, now: Instant) -> Vec<Queued> {
        let count = self.jobs.len().min(MAX_BATCH_MESSAGES);
        let mut batch: Vec<Queued> = self.jobs.drain(..count).collect();
        if let Some((mut message, since)) = self.heartbeat.take() {
            // It may be newer than messages on jobs that still wait, and must not date them.
            if let Message::Heartbeat(heartbeat) = &mut message
                && !self.jobs.is_empty()
            {
                heartbeat.echo = None;
            }
            batch.push((message, since));
        }
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
        self.jobs.is_empty() && self.heartbeat.is_none() && self.lists.is_empty()
    }

    /// Drops all messages.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
