//! Jobs that were given up while stewards had tasks of them, and the requests that wait for these.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Host;

use crate::job::{Id, RequestId, Submission};

/// Largest number of given up jobs that are kept. Each is kept for about a second.
const MAX_JOBS: usize = 10_000;

/// A job that was given up.
#[derive(Debug)]
struct Unsettled {
    /// Stewards that may still run tasks of it.
    stewards: BTreeSet<Host>,
    since: Instant,
}

/// A request that waits until the earlier runs of its job are over.
#[derive(Debug)]
pub struct Parked {
    /// The request to answer.
    pub request_id: RequestId,
    /// The job as submitted.
    pub submission: Submission,
    /// Time at which it arrived.
    pub since: Instant,
}

/// The given up jobs that may still run somewhere.
#[derive(Debug)]
pub struct Register {
    /// Time after which no run of a given up job is at work any more: its leases have ended.
    max_time: Duration,
    jobs: BTreeMap<Id, Unsettled>,
    /// Stewards whose word came before the one that the job was given up.
    early: BTreeMap<(Id, Host), Instant>,
    parked: BTreeMap<Id, Vec<Parked>>,
}

impl Register {
    /// Creates a register of jobs whose runs are over `max_time` after they were given up.
    #[must_use]
    pub fn new(max_time: Duration) -> Self {
        Self { max_time, jobs: BTreeMap::new(), early: BTreeMap::new(), parked: BTreeMap::new() }
    }

    /// Records that a job was given up while these stewards had tasks of it.
    pub fn give_up(&mut self, id: &Id, stewards: impl IntoIterator<Item = Host>, now: Instant) {
        let early = &self.early;
        let stewards = stewards.into_iter();
        let stewards = stewards.filter(|host| !early.contains_key(&(id.clone(), host.clone())));
        let stewards: BTreeSet<Host> = stewards.collect();
        // A word counts for one time that the job was given up.
        self.early.retain(|(job, _), _| job != id);
        if stewards.is_empty() || self.jobs.len() >= MAX_JOBS {
            return;
        }
        let job = Unsettled { stewards: BTreeSet::new(), since: now };
        let job = self.jobs.entry(id.clone()).or_insert(job);
        job.stewards.extend(stewards);
        job.since = now;
    }

    /// Records that a steward runs nothing of a job any more. Returns the requests that have waited for it.
    pub fn settle(&mut self, id: &Id, steward: &Host, now: Instant) -> Vec<Parked> {
        let Some(job) = self.jobs.get_mut(id) else {
            self.early.insert((id.clone(), steward.clone()), now);
            return Vec::new();
        };
        job.stewards.remove(steward);
        if job.stewards.is_empty() { self.release(id) } else { Vec::new() }
    }

    /// Whether runs of a job may be at work, so that none may start.
    #[must_use]
    pub fn is_unsettled(&self, id: &Id) -> bool {
        self.jobs.contains_key(id)
    }

    /// Lets a request wait until the runs of its job are over.
    pub fn park(&mut self, parked: Parked) {
        self.parked.entry(parked.submission.id.clone()).or_default().push(parked);
    }

    /// Removes a request whose caller has left.
    pub fn leave(&mut self, id: &Id, request_id: RequestId) {
        if let Some(parked) = self.parked.get_mut(id) {
            parked.retain(|one| one.request_id != request_id);
        }
    }

    /// Whether any request waits.
    #[must_use]
    pub fn has_parked(&self) -> bool {
        self.parked.values().any(|parked| !parked.is_empty())
    }

    /// Removes and returns all requests that wait.
    pub fn take_parked(&mut self) -> Vec<Parked> {
        std::mem::take(&mut self.parked).into_values().flatten().collect()
    }

    /// Forgets all jobs.
    pub fn clear(&mut self) {
        self.jobs.clear();
        self.early.clear();
    }

    /// Forgets jobs whose runs are over by time, and returns the requests that have waited for them.
    pub fn expire(&mut self, now: Instant) -> Vec<Parked> {
        let max_time = self.max_time;
        self.early.retain(|_, at| now.duration_since(*at) < max_time);
        let is_over = |job: &Unsettled| now.duration_since(job.since) >= max_time;
        let over = self.jobs.iter().filter(|(_, job)| is_over(job));
        let over: Vec<Id> = over.map(|(id, _)| id.clone()).collect();
        over.iter().flat_map(|id| self.release(id)).collect()
    }

    fn release(&mut self, id: &Id) -> Vec<Parked> {
        self.jobs.remove(id);
        self.parked.remove(id).unwrap_or_default()
    }
}
