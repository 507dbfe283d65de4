//! Runs that were lost with their targets.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

use coltsfootshunt_core::name::{Host, Target};

use super::State;
use super::cancels::MAX_CANCELLED_FOR_NEW_PEER;
use crate::crash::{Loss, Run, Verdict};
use crate::job::{Id, Outcome};
use crate::lease::{Call, Phase, Report, Response};
use crate::peer::Message;
use crate::report::Record;

/// Maximum number of losses in one message, about four kilobytes.
const MAX_LOSSES_PER_MESSAGE: usize = 32;
/// Maximum number of losses that a host sends to each peer between two rounds of periodic work. Losses by the
/// hundred come from targets that are out of reach, and must not fill the links.
const MAX_LOSSES_PER_TICK: usize = 32;
/// Maximum number of losses that a peer is told of when it is found.
const MAX_LOSSES_FOR_NEW_PEER: usize = 512;

impl State {
    /// Records runs that this host lost with their targets.
    pub(super) fn add_losses(&mut self, losses: Vec<Loss>, now: Instant) {
        for loss in losses {
            if self.crashes.add(&loss, now) {
                self.unshared_losses.push_back(loss.clone());
                self.record(Record::RunLost { loss, peer: None });
            }
        }
    }

    /// Learns of runs that a peer lost, and continues the jobs that wait for that news.
    pub(super) fn learn_losses(&mut self, from: &Host, losses: &[Loss], now: Instant) {
        let mut jobs = BTreeSet::new();
        for loss in losses {
            if self.crashes.add(loss, now) {
                jobs.insert(loss.run.task.job.clone());
                self.record(Record::RunLost { loss: loss.clone(), peer: Some(from.clone()) });
            }
        }
        self.reconsider_jobs(jobs, now);
    }

    /// Gives up own jobs with a poison task, and sends tasks that were held back.
    fn reconsider_jobs(&mut self, jobs: BTreeSet<Id>, now: Instant) {
        for id in jobs {
            if self.crashes.poison_task(&id).is_some() {
                self.close(&id, Outcome::Failed, "a task crashes its targets", now);
            } else {
                self.send_ready_tasks(&id, now);
            }
        }
    }

    /// Returns the report in a response, unless the call is outdated. One that was made before the target was
    /// lost says nothing about the loss.
    pub(super) fn current_report(&self, call: &Call, response: &Response) -> Option<Report> {
        let Response::Report(report) = response else {
            return None;
        };
        let phase = self.steward.tracker(&call.target)?.phase;
        let is_current = [Phase::Held(call.token), Phase::Claiming(call.token)].contains(&phase);
        (is_current && !self.crashes.is_empty()).then(|| report.clone())
    }

    /// Judges the runs that were lost with a target by its report.
    pub(super) fn judge_losses(&mut self, target: &Target, report: &Report, now: Instant) {
        let tracker = self.steward.tracker(target);
        let address = tracker.map(|tracker| tracker.entry.address);
        let Some((address, started_at_ms)) = address.zip(report.started_at_ms) else {
            return;
        };
        // A row that can't be decoded may be any run.
        let has_unreadable = report.unreadable.running > 0;
        let is_running = |run: &Run| {
            let mut rows = report.running.iter();
            has_unreadable || rows.any(|row| (&row.task, row.run) == (&run.task, run.number))
        };
        let mut jobs = BTreeSet::new();
        for loss in self.crashes.judge((target, address, started_at_ms), is_running, now) {
            jobs.insert(loss.run.task.job.clone());
            self.unshared_losses.push_back(loss.clone());
            self.record(Record::RunLost { loss, peer: None });
        }
        self.reconsider_jobs(jobs, now);
    }

    /// Sends news of lost runs to all peers: any of them may own a repeat of the job, or become the steward of a
    /// target that could start it.
    pub(super) fn share_losses(&mut self) {
        let budget = self.losses_per_tick.min(self.unshared_losses.len());
        if budget == 0 {
            return;
        }
        self.losses_per_tick -= budget;
        let news: Vec<Loss> = self.unshared_losses.drain(..budget).collect();
        for (host, address) in self.record_readers() {
            if self.informed.contains(&host) {
                self.send_losses(address, &news);
            }
        }
    }

    /// Sends the known losses and cancelled jobs to peers that are new, and allows as many as usual until the next time.
    pub(super) fn inform_peers(&mut self) {
        self.losses_per_tick = MAX_LOSSES_PER_TICK;
        if self.crashes.is_empty() && self.cancelled.is_empty() {
            self.informed.clear();
            self.unshared_losses.clear();
            return;
        }
        let readers = self.record_readers();
        self.informed.retain(|host| readers.iter().any(|(reader, _)| reader == host));
        for (host, address) in readers {
            if self.informed.insert(host) {
                let counts = self.crashes.iter().filter(|loss| loss.verdict != Verdict::Survived);
                let losses: Vec<Loss> = counts.take(MAX_LOSSES_FOR_NEW_PEER).collect();
                self.send_losses(address, &losses);
                let cancelled = self.cancelled.latest(MAX_CANCELLED_FOR_NEW_PEER);
                if !cancelled.is_empty() {
                    self.send(address, Message::Cancelled(cancelled));
                }
            }
        }
    }

    /// Peers that can read messages on lost runs, cancelled jobs and those that were given up.
    pub(super) fn record_readers(&self) -> Vec<(Host, SocketAddr)> {
        let readers = self.membership.alive().filter(|peer| peer.heartbeat.shares_records);
        readers.map(|peer| (peer.identity.host.clone(), peer.identity.address)).collect()
    }

    fn send_losses(&mut self, to: SocketAddr, losses: &[Loss]) {
        for part in losses.chunks(MAX_LOSSES_PER_MESSAGE) {
            self.send(to, Message::Losses(part.to_vec()));
        }
    }

    /// Drops losses whose time is over.
    pub(super) fn expire_losses(&mut self, now: Instant) {
        let dropped = self.crashes.expire(now);
        if dropped > 0 {
            self.record(Record::LossesDropped { dropped });
        }
    }
}
