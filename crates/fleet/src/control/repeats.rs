//! Jobs that were given up while their runs were at work. The repeat of such a job, at any host, waits until these
//! runs are over.

use std::time::Instant;

use coltsfootshunt_core::name::Host;

use super::{Action, Response, State};
use crate::job::{Id, Outcome, RequestId, Submission};
use crate::peer::Message;
use crate::repeat::Parked;
use crate::report::Record;

/// Maximum number of jobs in one message.
const MAX_JOBS_PER_MESSAGE: usize = 64;

impl State {
    /// Records that a job was given up while these stewards had tasks of it, and tells all hosts.
    pub(super) fn give_up_runs(&mut self, id: &Id, stewards: Vec<Host>, now: Instant) {
        if stewards.is_empty() {
            return;
        }
        self.repeats.give_up(id, stewards.iter().cloned(), now);
        self.unsettled_news.push((id.clone(), stewards));
    }

    /// Records that tasks of a job were cancelled at this steward, and tells all hosts once nothing of it runs here.
    pub(super) fn runs_cancelled(&mut self, id: &Id, now: Instant) {
        self.settling.insert(id.clone());
        self.settle_runs(id, now);
    }

    /// Handles the end of a cancelled attempt of a job.
    pub(super) fn settle_runs(&mut self, id: &Id, now: Instant) {
        if self.steward.has_cancelled(id) || !self.settling.remove(id) {
            return;
        }
        self.settled_news.push(id.clone());
        let me = self.membership.me().host.clone();
        let released = self.repeats.settle(id, &me, now);
        self.resume_parked(released, now);
    }

    /// Learns of jobs that were given up at another host.
    pub(super) fn learn_unsettled(&mut self, jobs: Vec<(Id, Vec<Host>)>, now: Instant) {
        for (id, stewards) in jobs {
            self.repeats.give_up(&id, stewards, now);
        }
    }

    /// Learns of jobs of which nothing runs at a steward any more.
    pub(super) fn learn_settled(&mut self, from: &Host, jobs: &[Id], now: Instant) {
        for id in jobs {
            let released = self.repeats.settle(id, from, now);
            self.resume_parked(released, now);
        }
    }

    /// Lets a request wait if earlier runs of its job may be at work. Returns whether it waits.
    pub(super) fn parks(
        &mut self,
        request_id: RequestId,
        submission: &Submission,
        now: Instant,
    ) -> bool {
        let is_unsettled = self.repeats.is_unsettled(&submission.id);
        if is_unsettled {
            self.record(Record::JobWaits { job: submission.id.clone() });
            let submission = submission.clone();
            self.repeats.park(Parked { request_id, submission, since: now });
        }
        is_unsettled
    }

    /// Continues requests that have waited for earlier runs, with the rest of their time.
    fn resume_parked(&mut self, released: Vec<Parked>, now: Instant) {
        for Parked { request_id, submission, since } in released {
            let patience = submission.patience.after(now.duration_since(since));
            let document = self.config.document();
            let route = document.and_then(|document| document.route_of(&submission.kind));
            let is_over = route.is_some_and(|route| patience.limit(route.timeout).1.is_zero());
            if is_over {
                // Runs of an earlier request were at work.
                let response = Response::Outcome(Outcome::Unknown);
                self.actions.push(Action::Respond(request_id, response));
            } else {
                self.submit(request_id, &Submission { patience, ..submission }, now);
            }
        }
    }

    /// Continues requests whose earlier runs are over by time.
    pub(super) fn maintain_repeats(&mut self, now: Instant) {
        let released = self.repeats.expire(now);
        self.resume_parked(released, now);
    }

    /// Answers all requests that wait.
    pub(super) fn answer_parked(&mut self) {
        for parked in self.repeats.take_parked() {
            let response = Response::Outcome(Outcome::Unknown);
            self.actions.push(Action::Respond(parked.request_id, response));
        }
    }

    /// Answers all requests that wait and forgets the given up jobs, after a pause of this process.
    pub(super) fn give_up_parked(&mut self) {
        self.answer_parked();
        self.repeats.clear();
        self.settling.clear();
    }

    /// Tells all peers which jobs were given up, and of which nothing runs here any more.
    pub(super) fn share_runs(&mut self) {
        if self.unsettled_news.is_empty() && self.settled_news.is_empty() {
            return;
        }
        let unsettled = std::mem::take(&mut self.unsettled_news);
        let settled = std::mem::take(&mut self.settled_news);
        for (_, address) in self.record_readers() {
            for part in unsettled.chunks(MAX_JOBS_PER_MESSAGE) {
                self.send(address, Message::Unsettled(part.to_vec()));
            }
            for part in settled.chunks(MAX_JOBS_PER_MESSAGE) {
                self.send(address, Message::Settled(part.to_vec()));
            }
        }
    }
}
