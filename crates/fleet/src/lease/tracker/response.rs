//! What the answers of a target show.

use std::time::{Duration, Instant};

use super::{Attempt, Change, Orphan, Phase, Status, Tracker};
use crate::job::{End, Task};
use crate::lease::{self, Call, Evidence, Order, Rejection, Report, Response, Token};

/// Pause before a target that could not be reached is claimed again.
const RETRY_AFTER: Duration = Duration::from_millis(400);
/// Pause before a target that turned an order away as unhealthy gets the next one.
const UNHEALTHY_FOR: Duration = Duration::from_millis(500);
/// Pause after a renewal that was turned away or not sent; some of them fit into a lease.
const ASK_PAUSE: Duration = Duration::from_millis(100);
/// Milliseconds by which answers may overtake each other.
const CLOCK_SLACK_MS: u64 = 500;

impl Tracker {
    /// Takes an answer in.
    pub fn handle_response(&mut self, call: &Call, answer: Response, now: Instant) -> Vec<Change> {
        let mut found = Vec::new();
        match &call.order {
            Order::Renew { .. } => self.answer_renewal(call, answer, now, &mut found),
            Order::Start { task, run, .. } => {
                self.answer_start(call, (task, *run), &answer, now, &mut found);
            }
            Order::Stop { task, run } => self.answer_stop((task, *run), &answer, &mut found),
        }
        found
    }

    fn answer_renewal(
        &mut self,
        call: &Call,
        answer: Response,
        now: Instant,
        found: &mut Vec<Change>,
    ) {
        let claim = self.phase == Phase::Claiming(call.token);
        if !claim && self.phase != Phase::Held(call.token) {
            return;
        }
        self.renewing = false;
        match answer {
            Response::Report(report) => {
                self.silences = 0;
                if claim {
                    self.phase = Phase::Held(call.token);
                    self.doubt = false;
                }
                self.reconcile(&report, claim, now, found);
                if claim && self.phase == Phase::Held(call.token) {
                    found.push(Change::Claimed(call.token));
                }
            }
            Response::Rejected(Rejection::Fenced) => self.fenced(call.token, found),
            // It has done nothing, and what runs there may run on.
            Response::Rejected(_) | Response::Accepted { .. } | Response::NotSent => {
                self.asks_after = now + ASK_PAUSE;
                self.silent(claim, now, found);
            }
            Response::NoResponse => self.silent(claim, now, found),
        }
    }

    /// A renewal got no answer: the lease runs out unless a later one is heard.
    fn silent(&mut self, claim: bool, now: Instant, found: &mut Vec<Change>) {
        self.silences += 1;
        let lapsed = self.leased_at.is_none_or(|at| now.duration_since(at) > self.lapses_after());
        if lapsed {
            self.abandon(Evidence::LeaseExpired, now, found);
        } else if claim {
            // The fate of orders is still open: claim again at once, with the next token.
            self.doubt = true;
            self.phase = Phase::Held(Token::default());
        }
    }

    fn answer_start(
        &mut self,
        call: &Call,
        (task, run): (&Task, u32),
        answer: &Response,
        now: Instant,
        found: &mut Vec<Change>,
    ) {
        // An answer to an earlier order may come after the task was sent here anew.
        let same = |attempt: &&mut Attempt| attempt.run == run && attempt.token == call.token;
        let Some(attempt) = self.attempts.get_mut(task).filter(same) else {
            return;
        };
        match *answer {
            Response::Accepted { clock_ms } => {
                self.timeout.answered(now.duration_since(attempt.sent_at));
                if attempt.status == Status::Sent {
                    attempt.status = Status::Running(clock_ms);
                }
                // A clock that went back is another life's, which obeys every token at first.
                self.doubt |= self
                    .clock
                    .is_some_and(|(known, _)| clock_ms.saturating_add(CLOCK_SLACK_MS) < known);
                self.hear_clock(clock_ms, now);
            }
            Response::Rejected(rejection) => {
                // A late copy of an answer can't take back what a report has shown.
                if attempt.status != Status::Sent {
                    return;
                }
                found.push(Change::StartRejected(task.clone(), rejection));
                self.finish(task, End::NotRun, Evidence::Rejected, found);
                match rejection {
                    Rejection::Fenced if self.phase == Phase::Held(call.token) => {
                        self.fenced(call.token, found);
                    }
                    // The picture of it was wrong: look again.
                    Rejection::NoRoom | Rejection::OtherIncarnation => self.doubt = true,
                    Rejection::Unhealthy => self.closed_until = now + UNHEALTHY_FOR,
                    _ => {}
                }
            }
            Response::NotSent => {
                self.finish(task, End::NotRun, Evidence::Unsent, found);
                self.doubt = true;
            }
            Response::NoResponse | Response::Report(_) => {
                self.timeout.missed();
                self.doubt = true;
            }
        }
    }

    fn answer_stop(&mut self, (task, run): (&Task, u32), answer: &Response, out: &mut Vec<Change>) {
        // Nothing of this number runs there or can start any more; a report may still name it.
        let orphan = self.orphans.get(task).is_some_and(|orphan| orphan.run == run);
        if matches!(answer, Response::Accepted { .. }) && orphan {
            out.push(Change::Orphan(task.clone()));
        }
    }

    fn reconcile(&mut self, report: &Report, claim: bool, now: Instant, found: &mut Vec<Change>) {
        let another = report
            .started_at_ms
            .is_some_and(|started_at_ms| started_at_ms != self.entry.started_at_ms);
        if another {
            // Another life under the same name counts anew. It obeys every token at first, so an
            // order for the earlier life may run in it: only a new token shows what does.
            self.entry.started_at_ms = report.started_at_ms.unwrap_or_default();
            self.last_end = 0;
            self.noted = 0;
            self.clock = None;
            self.closed_until = now;
            for attempt in self.attempts.values_mut() {
                if let Status::Running(clock_ms) = &mut attempt.status {
                    *clock_ms = 0;
                }
            }
            if !claim {
                self.doubt = true;
                return;
            }
        }
        self.hear_clock(report.clock_ms, now);
        self.noted = self.noted.max(self.last_end);
        for ended in &report.ended {
            if ended.sequence <= self.last_end {
                continue;
            }
            self.last_end = ended.sequence;
            self.seen_at = now;
            let end = match ended.end {
                lease::End::Done => End::Done,
                lease::End::Failed => End::Failed,
                lease::End::Stopped => End::Lost,
            };
            if self.attempts.get(&ended.task).is_some_and(|attempt| attempt.run == ended.run) {
                self.finish(&ended.task, end, Evidence::Listed, found);
            }
        }
        let stopped = std::mem::take(&mut self.orphans);
        for listed in &report.running {
            match self.attempts.get_mut(&listed.task) {
                Some(attempt) if attempt.run == listed.run => {
                    attempt.status = Status::Running(report.clock_ms);
                }
                _ => {
                    let same = stopped.get(&listed.task).filter(|known| known.run == listed.run);
                    let stop_sent = same.and_then(|known| known.stop_sent);
                    let orphan = Orphan { run: listed.run, stop_sent };
                    self.orphans.insert(listed.task.clone(), orphan);
                }
            }
        }
        self.miss(report, claim, found);
    }

    /// Ends attempts that a report should name and does not.
    fn miss(&mut self, report: &Report, claim: bool, found: &mut Vec<Change>) {
        let listed = |task: &Task, run: u32| {
            report.running.iter().any(|row| row.task == *task && row.run == run)
        };
        let mut missed = Vec::new();
        for (task, attempt) in &self.attempts {
            if listed(task, attempt.run) {
                continue;
            }
            match attempt.status {
                Status::Running(clock_ms) if report.clock_ms > clock_ms => {
                    missed.push((task.clone(), End::Lost));
                }
                // The new token makes an order that has not arrived void. One that has arrived may
                // have run and ended under another host, which then let its end be forgotten.
                Status::Sent if claim => missed.push((task.clone(), End::Lost)),
                _ => {}
            }
        }
        for (task, end) in missed {
            self.finish(&task, end, Evidence::Missing, found);
        }
    }

    fn fenced(&mut self, token: Token, found: &mut Vec<Change>) {
        self.release(End::Unresolved, Evidence::Fenced, found);
        found.push(Change::Fenced(token));
    }

    /// The target is down, or its lease is over.
    fn abandon(&mut self, evidence: Evidence, now: Instant, found: &mut Vec<Change>) {
        let since_renewal = self.leased_at.map(|at| now.duration_since(at));
        let unanswered = self.attempts.iter().filter(|(_, one)| one.status == Status::Sent);
        let unanswered: Vec<Task> = unanswered.map(|(task, _)| task.clone()).collect();
        for task in unanswered {
            // It may still reach the target's next life.
            self.finish(&task, End::Unresolved, evidence, found);
        }
        self.release(End::Lost, evidence, found);
        self.closed_until = now + RETRY_AFTER;
        found.push(Change::Lost { evidence, since_renewal });
    }

    fn hear_clock(&mut self, clock_ms: u64, now: Instant) {
        let later = self.clock.is_none_or(|(known, _)| clock_ms >= known);
        if later {
            self.clock = Some((clock_ms, now));
        }
    }
}
