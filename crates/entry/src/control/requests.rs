//! Requests of callers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::answer::{Answer, Refusal, Uncertainty};
use coltsfootshunt_core::job::Job;
use coltsfootshunt_core::submission::Id;

use super::{Action, Output, Record, State};
use crate::dispatch::{Demand, Lane, Supply, Timing};
use crate::submission::{Lookup, Open, Progress, Reply, Request, RequestId, Stage, Transition};

/// Largest number of identifiers issued by one request.
pub const MAX_IDENTIFIERS_PER_REQUEST: usize = 1_000;
/// Quantile of run times on which predictions are based.
const RUN_TIME_QUANTILE: f64 = 0.9;

impl State {
    /// Handles a request. One that waits for an answer gets its reply later.
    pub(super) fn handle_request(
        &mut self,
        request_id: RequestId,
        request: Request,
        now: Instant,
        out: &mut Vec<Action>,
    ) {
        let reply = match request {
            Request::IssueIdentifiers { count } => Some(self.issue_identifiers(count, now)),
            Request::Submit { id, job } => self.handle_submit(request_id, &id, job, now, out),
            Request::Answer { id, wait } => self.handle_answer_request(request_id, &id, wait, out),
            Request::Cancel { id } => self.handle_cancel(request_id, &id, now, out),
            Request::Trace { id } => Some(self.handle_trace_request(&id)),
        };
        if let Some(reply) = reply {
            out.push(Action::Respond(request_id, Output::Reply(reply)));
        }
    }

    fn issue_identifiers(&mut self, count: usize, now: Instant) -> Reply {
        if !self.drain_stage.accepts_work() {
            return Refusal::Draining.into();
        }
        if self.config.document().is_none() {
            return Refusal::NotReady.into();
        }
        match self.registry.issue(count.clamp(1, MAX_IDENTIFIERS_PER_REQUEST), now) {
            Ok(ids) => Reply::Identifiers(ids),
            Err(refusal) => refusal.into(),
        }
    }

    fn handle_submit(
        &mut self,
        request_id: RequestId,
        id: &Id,
        job: Job,
        now: Instant,
        out: &mut Vec<Action>,
    ) -> Option<Reply> {
        let digest = job.digest();
        match self.lookup(id, Some(digest)) {
            Lookup::Answered(answer) => Some(answer.into()),
            Lookup::Open => {
                let open = self.registry.get_mut(id.sequence)?;
                open.trace.record(open.accepted_at, now, Stage::Repeated);
                self.add_waiter(request_id, id.sequence, out);
                None
            }
            Lookup::Unused => match self.admit(&job) {
                Ok(predicted) => self.accept(request_id, id, job, digest, predicted, now, out),
                Err(refusal) => {
                    self.registry.refuse(id.sequence, digest, refusal.clone(), now);
                    let record =
                        Record::SubmissionRefused { id: id.clone(), refusal: refusal.clone() };
                    out.push(Action::Record(record));
                    Some(refusal.into())
                }
            },
        }
    }

    /// Adds a request that waits for the answer of an open submission.
    fn add_waiter(&mut self, request_id: RequestId, sequence: u64, out: &mut Vec<Action>) {
        let Some(open) = self.registry.get_mut(sequence) else {
            return;
        };
        if let Some(displaced) = open.add_waiter(request_id) {
            let pending = Reply::Pending(open.progress());
            out.push(Action::Respond(displaced, Output::Reply(pending)));
        }
    }

    /// Opens a submission and queues its tasks.
    #[expect(clippy::too_many_arguments, reason = "one call, each part named")]
    fn accept(
        &mut self,
        request_id: RequestId,
        id: &Id,
        job: Job,
        digest: u128,
        predicted: Duration,
        now: Instant,
        out: &mut Vec<Action>,
    ) -> Option<Reply> {
        let job = Arc::new(job);
        let config = self.catalog.config(&job.kind)?;
        let mut open = Open::new(Arc::clone(&job), digest, config.rerun_lost, now);
        let predicted_ms = u64::try_from(predicted.as_millis()).unwrap_or(u64::MAX);
        open.trace.record(now, now, Stage::Accepted { predicted_ms });
        self.registry.open(id.sequence, open);
        self.add_waiter(request_id, id.sequence, out);
        self.enqueue(id.sequence, &job, now, 0..job.tasks.len());
        let record = Record::SubmissionAccepted { id: id.clone(), tasks: job.tasks.len() };
        out.push(Action::Record(record));
        None
    }

    /// Queues tasks of a job.
    pub(super) fn enqueue(
        &mut self,
        sequence: u64,
        job: &Job,
        arrived_at: Instant,
        tasks: impl IntoIterator<Item = usize>,
    ) {
        let Some(run_times) = self.catalog.run_times(&job.kind) else {
            return;
        };
        let timing = Timing {
            arrived_at,
            deadline: arrived_at + job.timeout,
            run_time: run_times.quantile(RUN_TIME_QUANTILE),
        };
        let rank = self.policy.order.rank(&timing);
        let lane = Lane { team: job.team.clone(), kind: job.kind.clone() };
        self.queue.push(lane, sequence, rank, run_times.mean(), tasks);
    }

    /// Decides whether a job is accepted. Returns the predicted time to its answer.
    fn admit(&self, job: &Job) -> Result<Duration, Refusal> {
        if !self.drain_stage.accepts_work() {
            return Err(Refusal::Draining);
        }
        if self.config.document().is_none() {
            return Err(Refusal::NotReady);
        }
        let config = self.catalog.config(&job.kind).ok_or(Refusal::UnknownKind)?;
        let run_times = self.catalog.run_times(&job.kind).ok_or(Refusal::UnknownKind)?;
        if !self.shares.account(&job.team).is_configured {
            return Err(Refusal::UnknownTeam);
        }
        if !self.target_resources.iter().any(|has| has.covers(&config.needs)) {
            return Err(Refusal::NoTarget);
        }
        if !self.registry.has_capacity() {
            return Err(Refusal::Full);
        }
        let demand = Demand {
            timeout: job.timeout,
            tasks: job.tasks.len(),
            mean_run: run_times.mean(),
            longest_run: run_times.quantile_of_max(RUN_TIME_QUANTILE, job.tasks.len()),
        };
        self.policy.admission.admit(&demand, &self.supply())
    }

    /// Slots available to queued work: the larger of the own usable slots and the slots in use,
    /// plus the idle slots of peers if slots can be borrowed.
    fn supply(&self) -> Supply {
        let can_borrow = self.policy.sharing.can_borrow();
        let peers = self.membership.iter().filter(|_| can_borrow);
        let idle: u32 = peers.map(|peer| peer.status.idle).sum();
        Supply {
            slots: self.pool.own_usable().max(self.pool.busy()) + idle,
            free_slots: self.pool.own_free() + self.pool.borrowed_idle() + idle,
            queued_work: self.queue.queued_work(),
            queued_tasks: self.queue.len(),
        }
    }

    fn handle_answer_request(
        &mut self,
        request_id: RequestId,
        id: &Id,
        wait: bool,
        out: &mut Vec<Action>,
    ) -> Option<Reply> {
        match self.lookup(id, None) {
            Lookup::Answered(answer) => Some(answer.into()),
            Lookup::Unused => Some(Reply::Pending(Progress::default())),
            Lookup::Open => {
                let open = self.registry.get_mut(id.sequence)?;
                if !wait {
                    return Some(Reply::Pending(open.progress()));
                }
                self.add_waiter(request_id, id.sequence, out);
                None
            }
        }
    }

    fn handle_cancel(
        &mut self,
        request_id: RequestId,
        id: &Id,
        now: Instant,
        out: &mut Vec<Action>,
    ) -> Option<Reply> {
        match self.lookup(id, None) {
            Lookup::Answered(answer) => Some(answer.into()),
            Lookup::Unused => {
                // A copy of the job that arrives later finds this record and is not run.
                self.registry.cancel_unused(id.sequence, now);
                Some(Refusal::Cancelled.into())
            }
            Lookup::Open => {
                self.queue.remove(id.sequence);
                self.add_waiter(request_id, id.sequence, out);
                let open = self.registry.get_mut(id.sequence)?;
                if let Transition::Finished(answer) = open.cancel(now) {
                    self.finish_submission(id.sequence, &answer, now, out);
                }
                None
            }
        }
    }

    fn handle_trace_request(&self, id: &Id) -> Reply {
        let trace = self.registry.trace(id.sequence).filter(|_| self.is_owner(id));
        match (trace, self.lookup(id, None)) {
            (Some(trace), _) => Reply::Trace(trace.clone()),
            (None, Lookup::Answered(answer)) => answer.into(),
            (None, Lookup::Unused | Lookup::Open) => Reply::Pending(Progress::default()),
        }
    }

    /// Stores the answer of a submission and responds to the requests that wait for it.
    pub(super) fn finish_submission(
        &mut self,
        sequence: u64,
        answer: &Answer,
        now: Instant,
        out: &mut Vec<Action>,
    ) {
        self.queue.remove(sequence);
        let id = self.registry.id(sequence);
        out.push(Action::Record(Record::SubmissionAnswered { id, outcome: answer.outcome() }));
        for request_id in self.registry.close(sequence, answer.clone(), now) {
            out.push(Action::Respond(request_id, Output::Reply(answer.clone().into())));
        }
    }

    /// Answers every submission whose deadline has passed, whether or not all of its tasks have
    /// ended.
    pub(super) fn expire_submissions(&mut self, now: Instant, out: &mut Vec<Action>) {
        for sequence in self.registry.expired(now) {
            let Some(open) = self.registry.get_mut(sequence) else {
                continue;
            };
            let answer = open.expire(now);
            self.finish_submission(sequence, &answer, now, out);
        }
    }

    /// Looks up an identifier. Its status is unknown unless this entry issued it or inherited the
    /// records of its owner.
    fn lookup(&self, id: &Id, digest: Option<u128>) -> Lookup {
        if self.is_owner(id) {
            return self.registry.lookup(id.sequence, digest);
        }
        Lookup::Answered(match self.registry.inheritance(id.owner) {
            Some(inheritance) => inheritance.answer(id.sequence),
            None => Uncertainty::OwnerGone.into(),
        })
    }

    fn is_owner(&self, id: &Id) -> bool {
        id.owner == self.membership.identity().incarnation
            && id.zone == self.membership.identity().zone
    }
}
