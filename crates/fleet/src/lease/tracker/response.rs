//! Handles the responses of a target.

use std::time::{Duration, Instant};

use super::watch::is_watch;
use super::{Attempt, Change, Ends, Orphan, Phase, Status, Tracker};
use crate::directory::Entry;
use crate::job::{End, Task};
use crate::lease::{self, Call, Evidence, Order, Rejection, Report, Response, Token};

/// Delay before a target whose lease expired without contact is claimed again.
const RECLAIM_DELAY: Duration = Duration::from_millis(400);
/// Delay before a target that this host has held is claimed again after it has rejected a claim for a
/// higher token.
const FENCED_CLAIM_DELAY: Duration = Duration::from_millis(50);
/// Delay before the next start after a target has rejected one as unhealthy.
const UNHEALTHY_DELAY: Duration = Duration::from_millis(500);
/// Delay after a renewal that was rejected or could not be sent. Several retries fit into a lease.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Largest step back of the target's clock that reordered responses can explain, in milliseconds.
const CLOCK_REORDER_MARGIN_MS: u64 = 500;

/// Call that a report answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Source {
    /// A claim. No other host can have given orders since it was accepted.
    Claim,
    /// A renewal that did not wait.
    Renewal,
    /// A renewal that waited at the target. Another host may have claimed the target meanwhile.
    WaitingRenewal,
}

impl Tracker {
    /// Applies the response to a call and returns the changes that it revealed. Responses to calls
    /// with an outdated token are ignored.
    pub fn handle_response(
        &mut self,
        call: &Call,
        response: Response,
        now: Instant,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        match &call.order {
            Order::Renew { .. } if is_watch(call) => {
                self.handle_watch(call, response, now, &mut changes);
            }
            Order::Renew { .. } => self.handle_renewal(call, response, now, &mut changes),
            Order::Start { task, run, .. } => {
                self.handle_start(call, (task, *run), &response, now, &mut changes);
            }
            Order::Stop { task, run } => self.handle_stop((task, *run), &response, &mut changes),
        }
        changes
    }

    fn handle_renewal(
        &mut self,
        call: &Call,
        response: Response,
        now: Instant,
        changes: &mut Vec<Change>,
    ) {
        let is_claim = self.phase == Phase::Claiming(call.token);
        if !is_claim && self.phase != Phase::Held(call.token) {
            return;
        }
        self.has_pending_renewal = false;
        match response {
            Response::Report(report) => {
                self.missed_renewals = 0;
                if is_claim {
                    self.phase = Phase::Held(call.token);
                    self.is_uncertain = false;
                    self.was_held = true;
                    self.fenced_claims = 0;
                    self.start_times.record_claimed();
                }
                let has_waited =
                    matches!(call.order, Order::Renew { max_wait, .. } if !max_wait.is_zero());
                let source = match (is_claim, has_waited) {
                    (true, _) => Source::Claim,
                    (false, false) => Source::Renewal,
                    (false, true) => Source::WaitingRenewal,
                };
                self.reconcile(&report, source, now, changes);
                if is_claim && self.phase == Phase::Held(call.token) {
                    let Entry { address, started_at_ms, .. } = self.entry;
                    changes.push(Change::Claimed { token: call.token, address, started_at_ms });
                }
            }
            Response::Rejected(Rejection::Fenced) => {
                if is_claim {
                    self.fenced_claims += 1;
                    if self.was_held {
                        self.paused_until = now + FENCED_CLAIM_DELAY;
                    }
                }
                self.handle_fenced(call.token, changes);
            }
            // The order had no effect; running attempts go on until the lease expires.
            Response::Rejected(_) | Response::Accepted { .. } | Response::NotSent => {
                self.next_renewal_at = now + RENEWAL_RETRY_DELAY;
                self.handle_missed_renewal(is_claim, now, changes);
            }
            Response::NoResponse => self.handle_missed_renewal(is_claim, now, changes),
        }
    }

    /// Handles a renewal without a report: the lease expires unless a later renewal succeeds.
    fn handle_missed_renewal(&mut self, is_claim: bool, now: Instant, changes: &mut Vec<Change>) {
        self.missed_renewals += 1;
        if self.is_lease_expired(now) {
            self.handle_expiry(Evidence::LeaseExpired, now, changes);
        } else if is_claim {
            // It is still unknown which orders were carried out: claim again at once with a new token.
            self.is_uncertain = true;
            self.phase = Phase::Held(Token::default());
        }
    }

    fn handle_start(
        &mut self,
        call: &Call,
        (task, run): (&Task, u32),
        response: &Response,
        now: Instant,
        changes: &mut Vec<Change>,
    ) {
        // A response to an earlier start may arrive after the task was started here again.
        let same = |attempt: &&mut Attempt| attempt.run == run && attempt.token == call.token;
        let Some(attempt) = self.attempts.get_mut(task).filter(same) else {
            return;
        };
        match *response {
            Response::Accepted { clock_ms } => {
                self.timeout.record_response(now.duration_since(attempt.sent_at));
                if attempt.status == Status::Sent {
                    attempt.status = Status::Running(clock_ms);
                }
                // A clock that went back belongs to a new incarnation, which accepts any token at first.
                self.is_uncertain |= self.clock.is_some_and(|(known, _)| {
                    clock_ms.saturating_add(CLOCK_REORDER_MARGIN_MS) < known
                });
                self.update_clock(clock_ms, now);
            }
            Response::Rejected(rejection) => {
                // A late rejection doesn't override a report that lists the attempt.
                if attempt.status != Status::Sent {
                    return;
                }
                changes.push(Change::StartRejected(task.clone(), rejection));
                self.end_attempt(task, End::NotRun, Evidence::Rejected, changes);
                match rejection {
                    Rejection::Fenced if self.phase == Phase::Held(call.token) => {
                        self.handle_fenced(call.token, changes);
                    }
                    // The tracked state is wrong: claim the target to learn the actual one.
                    Rejection::NoRoom | Rejection::OtherIncarnation => self.is_uncertain = true,
                    Rejection::Unhealthy => self.paused_until = now + UNHEALTHY_DELAY,
                    _ => {}
                }
            }
            Response::NotSent => {
                self.end_attempt(task, End::NotRun, Evidence::Unsent, changes);
                self.is_uncertain = true;
            }
            Response::NoResponse | Response::Report(_) => {
                self.timeout.record_miss();
                self.is_uncertain = true;
            }
        }
    }

    fn handle_stop(
        &mut self,
        (task, run): (&Task, u32),
        response: &Response,
        changes: &mut Vec<Change>,
    ) {
        // This run has stopped and can't start any more, though a late report may still list it.
        let orphan = self.orphans.get(task).is_some_and(|orphan| orphan.run == run);
        if matches!(response, Response::Accepted { .. }) && orphan {
            changes.push(Change::Orphan(task.clone()));
        }
    }

    /// Compares the tracked attempts with a report.
    pub(super) fn reconcile(
        &mut self,
        report: &Report,
        source: Source,
        now: Instant,
        changes: &mut Vec<Change>,
    ) {
        let is_claim = source == Source::Claim;
        let has_restarted = report
            .started_at_ms
            .is_some_and(|started_at_ms| started_at_ms != self.entry.started_at_ms);
        if has_restarted {
            // A new incarnation restarts the sequence of ends. It accepts any token at first, so it may
            // have carried out an order meant for the earlier one. Only a claim with a new token shows
            // what runs.
            self.entry.started_at_ms = report.started_at_ms.unwrap_or_default();
            self.entries.await_own(now);
            self.ends = Ends::default();
            self.acknowledged_end = 0;
            self.clock = None;
            self.granted_until_ms = None;
            self.paused_until = now;
            for attempt in self.attempts.values_mut() {
                if let Status::Running(clock_ms) = &mut attempt.status {
                    *clock_ms = 0;
                }
            }
            if !is_claim {
                self.is_uncertain = true;
                return;
            }
        }
        self.update_clock(report.clock_ms, now);
        if let Some(started_at_ms) = report.started_at_ms.filter(|_| is_claim) {
            self.choose_entry(started_at_ms, now, changes);
        }
        if is_claim {
            // Leases that other hosts granted are not known. The claim has ended their orders.
            let max_ms = u64::try_from(self.term.max.as_millis()).unwrap_or(u64::MAX);
            let until_ms = report.clock_ms.saturating_add(max_ms);
            self.granted_until_ms = self.granted_until_ms.max(Some(until_ms));
        }
        self.acknowledged_end = self.acknowledged_end.max(self.ends.last());
        let new_ends = self.ends.record(report, is_claim);
        let lists_ends = !report.ended.is_empty() || report.unreadable.ended > 0;
        self.watch.record_report(lists_ends, now);
        if new_ends.is_empty() && lists_ends {
            // A target responds at once while it lists an end, and these can't be acknowledged.
            self.next_renewal_at = now + RENEWAL_RETRY_DELAY;
        }
        for ended in new_ends {
            self.last_end_at = now;
            let end = match ended.end {
                lease::End::Done => End::Done,
                lease::End::Failed => End::Failed,
                lease::End::Stopped => End::Lost,
            };
            if self.attempts.get(&ended.task).is_some_and(|attempt| attempt.run == ended.run) {
                self.end_attempt(&ended.task, end, Evidence::Listed, changes);
            }
        }
        let stopped = std::mem::take(&mut self.orphans);
        self.is_foreign_suspected = false;
        for listed in &report.running {
            match self.attempts.get_mut(&listed.task) {
                Some(attempt) if attempt.run == listed.run => {
                    attempt.status = Status::Running(report.clock_ms);
                }
                _ => {
                    let same = stopped.get(&listed.task).filter(|known| known.run == listed.run);
                    match source {
                        Source::WaitingRenewal if same.is_none() => {
                            self.is_foreign_suspected = true;
                            continue;
                        }
                        Source::Renewal if same.is_none() => {
                            self.is_uncertain = true;
                            let task = listed.task.clone();
                            changes.push(Change::SharedToken(self.current_token(), task));
                        }
                        _ => {}
                    }
                    let stop_sent_at = same.and_then(|known| known.stop_sent_at);
                    let orphan = Orphan { run: listed.run, stop_sent_at };
                    self.orphans.insert(listed.task.clone(), orphan);
                }
            }
        }
        // The next renewal may acknowledge unreadable ends with later ones, so they are told now.
        let has_more = report.unreadable.running > self.unreadable.running
            || report.unreadable.ended > self.unreadable.ended;
        if has_more {
            changes.push(Change::Unreadable(report.unreadable.clone()));
        }
        self.unreadable = report.unreadable.clone();
        if self.unreadable.running == 0 {
            self.end_unlisted(report, is_claim, changes);
        } else {
            self.keep_unlisted(report, is_claim, now, changes);
        }
    }

    /// Keeps attempts that the report doesn't list, since each may be in a row that can't be decoded.
    /// Only the end of the lease proves that they are over.
    fn keep_unlisted(
        &mut self,
        report: &Report,
        is_claim: bool,
        now: Instant,
        changes: &mut Vec<Change>,
    ) {
        if is_claim {
            // The new token voids a start that has not arrived, so a later report that lacks the
            // attempt shows that it is over.
            for attempt in self.attempts.values_mut().filter(|one| one.status == Status::Sent) {
                attempt.status = Status::Running(report.clock_ms);
            }
        }
        if self.is_lease_expired(now) {
            let is_over = |(task, attempt): &(&Task, &Attempt)| {
                attempt.status != Status::Sent && !is_listed(report, task, attempt)
            };
            let over = self.attempts.iter().filter(is_over).map(|(task, _)| task.clone());
            for task in over.collect::<Vec<_>>() {
                self.end_attempt(&task, End::Lost, Evidence::LeaseExpired, changes);
            }
        }
    }

    /// Ends attempts that the report should list but doesn't.
    fn end_unlisted(&mut self, report: &Report, is_claim: bool, changes: &mut Vec<Change>) {
        let mut lost = Vec::new();
        for (task, attempt) in &self.attempts {
            if is_listed(report, task, attempt) {
                continue;
            }
            let is_later = attempt.started_at_ms < self.entry.started_at_ms;
            let evidence = if is_later { Evidence::Restarted } else { Evidence::Missing };
            match attempt.status {
                Status::Running(clock_ms) if report.clock_ms > clock_ms => {
                    lost.push((task.clone(), evidence));
                }
                // The new token voids a start that has not arrived. One that has arrived may have run
                // and ended under another host, which acknowledged the end.
                Status::Sent if is_claim => lost.push((task.clone(), evidence)),
                _ => {}
            }
        }
        for (task, evidence) in lost {
            self.end_attempt(&task, End::Lost, evidence, changes);
        }
    }

    pub(super) fn handle_fenced(&mut self, token: Token, changes: &mut Vec<Change>) {
        self.release(End::Unresolved, Evidence::Fenced, changes);
        changes.push(Change::Fenced(token));
    }

    /// Ends all attempts after the expiry of the lease and schedules the next claim.
    fn handle_expiry(&mut self, evidence: Evidence, now: Instant, changes: &mut Vec<Change>) {
        let since_renewal = self.lease_sent_at.map(|at| now.duration_since(at));
        let unanswered = self.attempts.iter().filter(|(_, one)| one.status == Status::Sent);
        let unanswered: Vec<Task> = unanswered.map(|(task, _)| task.clone()).collect();
        for task in unanswered {
            // The start may still reach the target's next incarnation.
            self.end_attempt(&task, End::Unresolved, evidence, changes);
        }
        self.release(End::Lost, evidence, changes);
        self.paused_until = now + RECLAIM_DELAY;
        changes.push(Change::Lost { evidence, since_renewal });
    }

    fn update_clock(&mut self, clock_ms: u64, now: Instant) {
        let is_newer = self.clock.is_none_or(|(known, _)| clock_ms >= known);
        if is_newer {
            self.clock = Some((clock_ms, now));
        }
    }
}

/// Whether the report lists the attempt as running.
fn is_listed(report: &Report, task: &Task, attempt: &Attempt) -> bool {
    report.running.iter().any(|row| row.task == *task && row.run == attempt.run)
}
