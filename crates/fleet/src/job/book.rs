//! Open jobs of this host's callers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Kind;

use super::{Id, Open, Outcome, RequestId};

/// How long an outcome is remembered for repeats that come after the answer.
const REMEMBER_FOR: Duration = Duration::from_secs(30);
/// Remembered outcomes; the oldest go first beyond that.
const REMEMBERED: usize = 20_000;

/// Open jobs and the outcomes of recent ones.
#[derive(Debug, Default)]
pub struct Registry {
    open: BTreeMap<Id, Open>,
    ended: BTreeMap<Id, (Outcome, Instant)>,
    generations: u64,
}

impl Registry {
    /// Number of open jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no job is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// The outcome of a job that ended here not long ago.
    #[must_use]
    pub fn outcome(&self, id: &Id) -> Option<Outcome> {
        self.ended.get(id).map(|(outcome, _)| *outcome)
    }

    /// An open job.
    #[must_use]
    pub fn get(&self, id: &Id) -> Option<&Open> {
        self.open.get(id)
    }

    /// An open job.
    pub fn get_mut(&mut self, id: &Id) -> Option<&mut Open> {
        self.open.get_mut(id)
    }

    /// Opens a job for a caller.
    pub fn open(&mut self, id: Id, request_id: RequestId, mut job: Open) {
        self.generations += 1;
        job.generation = self.generations;
        job.request_ids.push(request_id);
        self.open.insert(id, job);
    }

    /// One more caller waits for an open job.
    pub fn attach(&mut self, id: &Id, request_id: RequestId) -> bool {
        let job = self.open.get_mut(id);
        job.map(|job| job.request_ids.push(request_id)).is_some()
    }

    /// A caller went away; whether nobody waits for the job any more.
    pub fn detach(&mut self, id: &Id, request_id: RequestId) -> bool {
        let Some(job) = self.open.get_mut(id) else {
            return false;
        };
        job.request_ids.retain(|other| *other != request_id);
        job.request_ids.is_empty()
    }

    /// Closes a job; who waits for it. `outcome` is kept for repeats if the caller was answered.
    pub fn close(
        &mut self,
        id: &Id,
        outcome: Option<Outcome>,
        now: Instant,
    ) -> Option<(Open, Vec<RequestId>)> {
        let mut job = self.open.remove(id)?;
        if let Some(outcome @ (Outcome::Completed | Outcome::Failed)) = outcome {
            self.ended.insert(id.clone(), (outcome, now));
        }
        let request_ids = std::mem::take(&mut job.request_ids);
        Some((job, request_ids))
    }

    /// Identifiers of the open jobs that a test holds for.
    pub fn matching(&self, test: impl Fn(&Open) -> bool) -> Vec<Id> {
        let matching = self.open.iter().filter(|(_, job)| test(job));
        matching.map(|(id, _)| id.clone()).collect()
    }

    /// Forgets outcomes whose time is over.
    pub fn expire(&mut self, now: Instant) {
        self.ended.retain(|_, (_, at)| now.duration_since(*at) < REMEMBER_FOR);
        if self.ended.len() > REMEMBERED {
            self.ended.clear();
        }
    }

    /// Open jobs of a kind of which nothing may have run.
    #[must_use]
    pub fn unstarted(&self, kind: &Kind) -> usize {
        self.open.values().filter(|job| job.kind == *kind && !job.may_have_started).count()
    }
}
