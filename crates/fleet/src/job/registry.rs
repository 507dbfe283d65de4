//! Registry of the open jobs of this host's callers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Kind};

use super::{Id, Open, Outcome, RequestId};

/// How long an outcome is kept for repeats that arrive after the answer.
const OUTCOME_RETENTION: Duration = Duration::from_secs(30);
/// Number of retained outcomes above which all of them are dropped.
const MAX_OUTCOMES: usize = 20_000;

/// Open jobs, and the outcomes of jobs that ended recently.
#[derive(Debug, Default)]
pub struct Registry {
    open: BTreeMap<Id, Open>,
    /// Number of tasks of the open jobs.
    tasks: usize,
    outcomes: BTreeMap<Id, (Outcome, Instant)>,
    last_generation: u64,
}

impl Registry {
    /// Number of open jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Number of tasks of the open jobs, whatever their state.
    #[must_use]
    pub fn task_count(&self) -> usize {
        self.tasks
    }

    /// Whether no job is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Outcome of a job that ended here recently.
    #[must_use]
    pub fn outcome(&self, id: &Id) -> Option<Outcome> {
        self.outcomes.get(id).map(|(outcome, _)| *outcome)
    }

    /// Looks up an open job.
    #[must_use]
    pub fn get(&self, id: &Id) -> Option<&Open> {
        self.open.get(id)
    }

    /// Looks up an open job for changes.
    pub fn get_mut(&mut self, id: &Id) -> Option<&mut Open> {
        self.open.get_mut(id)
    }

    /// Adds an open job with its first waiting request, and gives it a new generation.
    pub fn open(&mut self, id: Id, request_id: RequestId, mut job: Open) {
        self.last_generation += 1;
        job.generation = self.last_generation;
        job.request_ids.push(request_id);
        self.tasks += job.plan.task_count();
        self.open.insert(id, job);
    }

    /// Adds a waiting request to an open job. Returns whether the job is open.
    pub fn attach(&mut self, id: &Id, request_id: RequestId) -> bool {
        let job = self.open.get_mut(id);
        job.map(|job| job.request_ids.push(request_id)).is_some()
    }

    /// Removes a waiting request. Returns whether the job is open and no request waits for it any
    /// more.
    pub fn detach(&mut self, id: &Id, request_id: RequestId) -> bool {
        let Some(job) = self.open.get_mut(id) else {
            return false;
        };
        job.request_ids.retain(|waiting| *waiting != request_id);
        job.request_ids.is_empty()
    }

    /// Removes an open job and returns it with the requests that wait for it. A completed or failed
    /// `outcome` is kept for repeats.
    pub fn close(
        &mut self,
        id: &Id,
        outcome: Option<Outcome>,
        now: Instant,
    ) -> Option<(Open, Vec<RequestId>)> {
        let mut job = self.open.remove(id)?;
        self.tasks -= job.plan.task_count();
        if let Some(outcome @ (Outcome::Completed | Outcome::Failed)) = outcome {
            self.outcomes.insert(id.clone(), (outcome, now));
        }
        let request_ids = std::mem::take(&mut job.request_ids);
        Some((job, request_ids))
    }

    /// Identifiers of the open jobs that match.
    pub fn matching(&self, matches: impl Fn(&Open) -> bool) -> Vec<Id> {
        let matching = self.open.iter().filter(|(_, job)| matches(job));
        matching.map(|(id, _)| id.clone()).collect()
    }

    /// Earliest of the times that `time` gives for the open jobs.
    pub fn earliest(&self, time: impl Fn(&Open) -> Instant) -> Option<Instant> {
        self.open.values().map(time).min()
    }

    /// Stewards that have tasks of open jobs, some of them repeatedly.
    pub fn stewards(&self) -> impl Iterator<Item = Host> {
        self.open.values().flat_map(Open::stewards)
    }

    /// Drops outcomes whose retention has expired.
    pub fn expire(&mut self, now: Instant) {
        self.outcomes.retain(|_, (_, at)| now.duration_since(*at) < OUTCOME_RETENTION);
        if self.outcomes.len() > MAX_OUTCOMES {
            self.outcomes.clear();
        }
    }

    /// Number of open jobs of a kind of which no task can have started.
    #[must_use]
    pub fn unstarted(&self, kind: &Kind) -> usize {
        self.open.values().filter(|job| job.kind == *kind && !job.may_have_started).count()
    }
}
