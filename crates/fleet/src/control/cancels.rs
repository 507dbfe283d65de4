//! Cancellations by callers, which may reach any host.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Host;

use super::{Action, Response, State};
use crate::cancel::Verdict;
use crate::job::{Id, RequestId};
use crate::member::Peer;
use crate::peer::Message;
use crate::report::Record;

/// Time since its last contact for which a host that is lost without refusing connections may still run jobs for
/// callers, behind a network partition.
const HIDDEN_HOST_TIME: Duration = Duration::from_secs(10);
/// Maximum number of cancelled jobs that a peer is told of when it is found.
pub(super) const MAX_CANCELLED_FOR_NEW_PEER: usize = 512;

impl State {
    /// Cancels a job for a caller, at all hosts. The answer waits for their word, so that the cancellation outlasts
    /// this host and the one that has the job.
    pub(super) fn cancel(&mut self, id: &Id, request_id: RequestId, now: Instant) {
        let is_known = self.cancel_here(id, now);
        let (hosts, is_uncertain) = self.other_owners(now);
        for host in &hosts {
            if let Some(peer) = self.membership.peer(host) {
                let address = peer.identity.address;
                self.send(address, Message::CancelJob(id.clone()));
            }
        }
        self.record(Record::JobCancelled { job: id.clone(), is_known, asked: hosts.len() });
        self.cancelled.inquire(id, request_id, (hosts, is_uncertain), is_known, now);
        let answer = self.cancelled.settle(id);
        self.answer_cancels(answer);
    }

    /// Cancels a job that a caller cancelled through another host, and tells that host whether it was here.
    pub(super) fn cancel_for(&mut self, from: &Host, id: &Id, now: Instant) {
        let is_known = self.cancel_here(id, now);
        if let Some(peer) = self.membership.peer(from) {
            let address = peer.identity.address;
            self.send(address, Message::JobCancelled(id.clone(), is_known));
        }
    }

    /// Drops a job here and stops its attempts, whoever owns them. Nothing of it starts here again. Returns whether
    /// it was known.
    fn cancel_here(&mut self, id: &Id, now: Instant) -> bool {
        let was_open = self.drop_job(id, now);
        let had_tasks = self.steward.cancel_job(id);
        let is_known = was_open
            || had_tasks
            || self.jobs.outcome(id).is_some()
            || self.cancelled.was_known(id);
        self.cancelled.add(id, is_known, now);
        is_known
    }

    /// Other hosts that may have a job, and whether there may be one that can't be asked.
    fn other_owners(&self, now: Instant) -> (BTreeSet<Host>, bool) {
        let alive = self.membership.alive().filter(|peer| peer.heartbeat.shares_records);
        let hosts = alive.map(|peer| peer.identity.host.clone()).collect();
        let may_be_hidden = |peer: &Peer| {
            let is_recent = now.duration_since(peer.last_heard) < HIDDEN_HOST_TIME;
            !peer.is_alive && !peer.is_refusing && is_recent
        };
        (hosts, self.membership.peers().any(may_be_hidden))
    }

    /// Handles a peer's word on a job that a caller cancelled here.
    pub(super) fn cancel_replied(&mut self, from: &Host, id: &Id, had_job: bool) {
        let answer = self.cancelled.reply(id, from, had_job);
        self.answer_cancels(answer);
    }

    /// Handles the loss of a peer that was asked.
    pub(super) fn cancels_lost(&mut self, host: &Host) {
        let answers = self.cancelled.lose(host);
        self.answer_cancels(answers);
    }

    /// Learns of jobs that were cancelled before this host was found.
    pub(super) fn learn_cancelled(&mut self, ids: &[Id], now: Instant) {
        for id in ids {
            self.cancel_here(id, now);
        }
    }

    /// Answers inquiries that have taken too long, and forgets old cancellations.
    pub(super) fn maintain_cancels(&mut self, now: Instant) {
        let (answers, dropped) = self.cancelled.expire(now);
        if dropped > 0 {
            self.record(Record::CancelledDropped { dropped });
        }
        self.answer_cancels(answers);
    }

    fn answer_cancels(&mut self, answers: impl IntoIterator<Item = (Vec<RequestId>, Verdict)>) {
        for (request_ids, verdict) in answers {
            for request_id in request_ids {
                self.actions.push(Action::Respond(request_id, Response::Cancelled(verdict)));
            }
        }
    }
}
