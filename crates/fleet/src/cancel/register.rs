//! The cancelled jobs that a host knows of, and the cancellations that wait for other hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Host;

use crate::job::{Id, RequestId};

/// Time for which a cancelled job is remembered. Callers that repeat their requests do so within seconds.
const RETENTION: Duration = Duration::from_secs(120);
/// Largest number of cancelled jobs that are remembered, about 100 bytes each.
const MAX_JOBS: usize = 20_000;
/// Time for which other hosts may take to say whether they have the job.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// A cancelled job.
#[derive(Debug)]
struct Entry {
    at: Instant,
    /// Whether this host knew the job.
    was_known: bool,
}

/// A cancellation that waits for the word of other hosts.
#[derive(Debug)]
pub struct Inquiry {
    request_ids: Vec<RequestId>,
    /// Hosts that have not answered.
    waits_for: BTreeSet<Host>,
    /// Whether a host that may have the job can't answer.
    is_uncertain: bool,
    /// Whether this host or one that has answered had the job.
    had_job: bool,
    /// Whether another host remembers the cancellation.
    is_confirmed: bool,
    since: Instant,
}

/// What is known of a job that a caller cancels.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// A host had it and has cancelled it, and the others will not start it.
    Cancelled,
    /// No host has it, and none will start it.
    Unknown,
    /// A host that may have it could not be asked.
    Unconfirmed,
}

/// Cancelled jobs and open inquiries.
#[derive(Debug, Default)]
pub struct Register {
    jobs: BTreeMap<Id, Entry>,
    inquiries: BTreeMap<Id, Inquiry>,
}

impl Register {
    /// Records that a job is cancelled. `is_known` says whether this host knew it.
    pub fn add(&mut self, id: &Id, is_known: bool, now: Instant) {
        let entry = self.jobs.entry(id.clone()).or_insert(Entry { at: now, was_known: false });
        entry.at = now;
        entry.was_known |= is_known;
    }

    /// Whether the job is cancelled, so that none of its tasks may start.
    #[must_use]
    pub fn contains(&self, id: &Id) -> bool {
        self.jobs.contains_key(id)
    }

    /// Whether the job is cancelled and this host knew it.
    #[must_use]
    pub fn was_known(&self, id: &Id) -> bool {
        self.jobs.get(id).is_some_and(|entry| entry.was_known)
    }

    /// The cancelled jobs, latest first, at most `limit`.
    #[must_use]
    pub fn latest(&self, limit: usize) -> Vec<Id> {
        let mut jobs: Vec<(&Id, Instant)> =
            self.jobs.iter().map(|(id, entry)| (id, entry.at)).collect();
        jobs.sort_by_key(|(_, at)| std::cmp::Reverse(*at));
        jobs.into_iter().take(limit).map(|(id, _)| id.clone()).collect()
    }

    /// Number of cancelled jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job is cancelled.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Begins an inquiry of a request at these hosts, or joins the one that is open. `is_uncertain` says whether
    /// another host that may have the job can't be asked, `is_known` whether this host had the job.
    pub fn inquire(
        &mut self,
        id: &Id,
        request_id: RequestId,
        (hosts, is_uncertain): (BTreeSet<Host>, bool),
        is_known: bool,
        now: Instant,
    ) {
        let inquiry = self.inquiries.entry(id.clone()).or_insert(Inquiry {
            request_ids: Vec::new(),
            waits_for: BTreeSet::new(),
            is_uncertain: false,
            had_job: false,
            is_confirmed: hosts.is_empty(),
            since: now,
        });
        inquiry.request_ids.push(request_id);
        inquiry.waits_for.extend(hosts);
        inquiry.is_uncertain |= is_uncertain;
        inquiry.had_job |= is_known;
    }

    /// Applies a host's word. Returns the requests to answer, once that is possible.
    pub fn reply(
        &mut self,
        id: &Id,
        from: &Host,
        had_job: bool,
    ) -> Option<(Vec<RequestId>, Verdict)> {
        let inquiry = self.inquiries.get_mut(id)?;
        inquiry.is_confirmed |= inquiry.waits_for.remove(from);
        inquiry.had_job |= had_job;
        self.settle(id)
    }

    /// Handles the loss of a host, which answers no more. Returns the requests to answer.
    pub fn lose(&mut self, host: &Host) -> Vec<(Vec<RequestId>, Verdict)> {
        let mut affected = Vec::new();
        for (id, inquiry) in &mut self.inquiries {
            if inquiry.waits_for.remove(host) {
                inquiry.is_uncertain = true;
                affected.push(id.clone());
            }
        }
        affected.iter().filter_map(|id| self.settle(id)).collect()
    }

    /// Answers an inquiry that waits for no host.
    pub fn settle(&mut self, id: &Id) -> Option<(Vec<RequestId>, Verdict)> {
        let inquiry = self.inquiries.get(id).filter(|inquiry| inquiry.waits_for.is_empty())?;
        let verdict = match (inquiry.had_job, inquiry.is_uncertain) {
            (true, _) => Verdict::Cancelled,
            (false, true) => Verdict::Unconfirmed,
            (false, false) => Verdict::Unknown,
        };
        self.close(id, verdict)
    }

    fn close(&mut self, id: &Id, verdict: Verdict) -> Option<(Vec<RequestId>, Verdict)> {
        self.inquiries.remove(id).map(|inquiry| (inquiry.request_ids, verdict))
    }

    /// Drops jobs whose time is over and the oldest beyond the limit, and answers inquiries that have taken too
    /// long. Returns the requests to answer and the number of jobs beyond the limit.
    pub fn expire(&mut self, now: Instant) -> (Vec<(Vec<RequestId>, Verdict)>, usize) {
        let is_late = |inquiry: &Inquiry| now.duration_since(inquiry.since) >= REPLY_TIMEOUT;
        let late = self.inquiries.iter().filter(|(_, inquiry)| is_late(inquiry));
        let verdict = |inquiry: &Inquiry| match (inquiry.had_job, inquiry.is_confirmed) {
            (true, true) => Verdict::Cancelled,
            _ => Verdict::Unconfirmed,
        };
        let late: Vec<(Id, Verdict)> =
            late.map(|(id, inquiry)| (id.clone(), verdict(inquiry))).collect();
        let answers = late.iter().filter_map(|(id, verdict)| self.close(id, *verdict)).collect();
        self.jobs.retain(|_, entry| now.duration_since(entry.at) < RETENTION);
        let excess = self.jobs.len().saturating_sub(MAX_JOBS);
        if excess > 0 {
            let kept: BTreeSet<Id> = self.latest(MAX_JOBS).into_iter().collect();
            self.jobs.retain(|id, _| kept.contains(id));
        }
        (answers, excess)
    }
}
