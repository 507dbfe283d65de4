//! What a steward knows of one target.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Kind, Target};

use super::{Answer, Call, How, Order, Rejection, Report, Token};
use crate::directory::Entry;
use crate::job::{End, Room, Task};

/// Longest wait of a renewal for an end: under half of the lease, so that two may fail.
const RENEW_WAIT: Duration = Duration::from_millis(400);
/// Time for an answer beyond the wait that was asked for: tens of round trips between zones.
const ANSWER_WITHIN: Duration = Duration::from_millis(250);
/// Time after which an idle target's last ends are taken note of.
const NOTE_ENDS_AFTER: Duration = Duration::from_millis(250);
/// Pause before a target that could not be reached is claimed again.
const RETRY_AFTER: Duration = Duration::from_millis(400);
/// Pause before a target that turned an order away as unhealthy gets the next one.
const UNHEALTHY_FOR: Duration = Duration::from_millis(500);
/// Milliseconds by which answers may overtake each other.
const CLOCK_SLACK_MS: u64 = 500;
/// Slack for a target's slow clock and for the time that ending a task takes.
const LAPSE_SLACK: Duration = Duration::from_millis(100);

/// Whose orders the target takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Not this host's.
    Free,
    /// A renewal with a new token is under way.
    Claiming(Token),
    /// This host's, as far as it knows.
    Held(Token),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Status {
    /// The start is not answered.
    Sent,
    /// It ran at this time of the target's clock, in milliseconds.
    Running(u64),
}

/// An attempt of a task at the target.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Number of the attempt.
    pub run: u32,
    /// Who wants it.
    pub owner: Host,
    /// The owner's opening of the job.
    pub opening: u64,
    /// Its kind.
    pub kind: Kind,
    /// Room that it takes.
    pub room: Room,
    /// Declared run time.
    pub estimate: Duration,
    /// Expected run time here.
    pub expected: Duration,
    /// When the start was sent.
    pub since: Instant,
    /// Moment from which its job is late.
    pub objective: Instant,
    /// When its caller goes.
    pub due: Instant,
    /// Whether nobody wants it any more.
    pub unwanted: bool,
    status: Status,
    token: Token,
    stop_sent: Option<Instant>,
}

/// An attempt that another host started.
#[derive(Clone, Copy, Debug)]
struct Orphan {
    run: u32,
    stop_sent: Option<Instant>,
}

/// What an answer showed.
#[derive(Clone, Debug)]
pub enum Finding {
    /// An attempt came to its end.
    Ended {
        /// The task.
        task: Task,
        /// The attempt.
        attempt: Attempt,
        /// How.
        end: End,
    },
    /// A claim succeeded.
    Claimed(Token),
    /// Another host has the target now.
    Fenced(Token),
    /// The target could not be reached.
    Lost(&'static str),
    /// An attempt runs that nobody here asked for.
    Orphan(Task),
    /// The target turned a start away.
    Turned(Task, Rejection),
}

/// One target as its steward sees it.
#[derive(Debug)]
pub struct Picture {
    /// The target's own word.
    pub entry: Entry,
    /// Whose orders it takes.
    pub phase: Phase,
    attempts: BTreeMap<Task, Attempt>,
    /// Attempts that others started; their room is not known.
    orphans: BTreeMap<Task, Orphan>,
    lease: Duration,
    /// The target's clock, in milliseconds, and when that was heard.
    clock: Option<(u64, Instant)>,
    seen: u64,
    noted: u64,
    seen_at: Instant,
    /// Latest time of sending anything that renews the lease.
    leased_at: Option<Instant>,
    renewing: bool,
    /// Renewals in a row that got no answer.
    silences: u32,
    /// No new work before this.
    closed_until: Instant,
    /// Whether the fence must be raised, since an order's fate is not known.
    doubt: bool,
}

impl Picture {
    /// A target that this host has not asked yet. `lease` is the longest lease it grants.
    #[must_use]
    pub fn new(entry: Entry, lease: Duration, now: Instant) -> Self {
        Self {
            entry,
            phase: Phase::Free,
            attempts: BTreeMap::new(),
            orphans: BTreeMap::new(),
            lease,
            clock: None,
            seen: 0,
            noted: 0,
            seen_at: now,
            leased_at: None,
            renewing: false,
            silences: 0,
            closed_until: now,
            doubt: false,
        }
    }

    /// Takes the target's newer word on itself in. Another life is told apart once it answers.
    pub fn update(&mut self, entry: &Entry) {
        let born = self.entry.born;
        self.entry = entry.clone();
        if entry.born == 0 {
            // Its entry does not say; its answers do.
            self.entry.born = born;
        } else if entry.born != born && matches!(self.phase, Phase::Held(_)) {
            // What this host believes of the earlier life is over; the claim shows what is there.
            self.entry.born = born;
            self.doubt = true;
        }
    }

    /// Attempts that may be at the target.
    pub fn attempts(&self) -> impl Iterator<Item = (&Task, &Attempt)> {
        self.attempts.iter()
    }

    /// Whether nothing may be at the target.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.attempts.is_empty() && self.orphans.is_empty()
    }

    /// Whether a task is here.
    #[must_use]
    pub fn has(&self, task: &Task) -> bool {
        self.attempts.contains_key(task)
    }

    /// Tasks of one step that are here.
    #[must_use]
    pub fn of_step(&self, task: &Task) -> u32 {
        let same = |other: &&Task| other.job == task.job && other.step == task.step;
        u32::try_from(self.attempts.keys().filter(same).count()).unwrap_or(u32::MAX)
    }

    /// Room for new work; none while the picture may be wrong.
    #[must_use]
    pub fn free(&self, now: Instant) -> Option<Room> {
        let certain = matches!(self.phase, Phase::Held(_)) && !self.doubt && self.silences == 0;
        if !certain || !self.orphans.is_empty() || now < self.closed_until {
            return None;
        }
        let used = self.attempts.values().fold(Room::default(), |sum, each| sum + each.room);
        Some(self.entry.capacity.less(&used))
    }

    /// Whether it should be claimed now.
    #[must_use]
    pub fn wants_claim(&self, now: Instant) -> bool {
        match self.phase {
            Phase::Free => now >= self.closed_until,
            Phase::Claiming(_) => false,
            Phase::Held(_) => self.doubt && now >= self.closed_until,
        }
    }

    /// Claims the target, or raises the fence on it.
    pub fn claim(&mut self, token: Token, now: Instant) -> Call {
        self.phase = Phase::Claiming(token);
        // What a lease needs is the target's clock; before it is known only attempts of this host
        // could gain from one, and there are none.
        let lease_until_ms = self.lease_until(now);
        if lease_until_ms.is_some() && self.silences == 0 {
            self.leased_at = Some(now);
        }
        let lease_until_ms = lease_until_ms.filter(|_| self.silences == 0);
        let order = Order::Renew { lease_until_ms, seen: self.seen, wait: Duration::ZERO };
        self.call(token, order, ANSWER_WITHIN)
    }

    /// The next renewal, if one is due and none is under way.
    pub fn renewal(&mut self, now: Instant) -> Option<Call> {
        let Phase::Held(token) = self.phase else {
            return None;
        };
        let note = self.seen > self.noted && now.duration_since(self.seen_at) > NOTE_ENDS_AFTER;
        if self.renewing || self.doubt || (self.is_idle() && !note) {
            return None;
        }
        self.renewing = true;
        let wait = if self.is_idle() || self.silences > 0 { Duration::ZERO } else { RENEW_WAIT };
        // A second silence in a row renews nothing, so that the lease comes to an end.
        let lease_until_ms = self.lease_until(now).filter(|_| self.silences < 2);
        if lease_until_ms.is_some() {
            self.leased_at = Some(now);
        }
        let order = Order::Renew { lease_until_ms, seen: self.seen, wait };
        Some(self.call(token, order, wait + ANSWER_WITHIN))
    }

    /// Starts an attempt. The caller has checked that it fits.
    pub fn start(&mut self, task: &Task, spec: Arc<str>, attempt: Attempt, now: Instant) -> Call {
        let token = self.token();
        let lease_until_ms = self.lease_until(now).unwrap_or_default();
        self.leased_at = Some(now);
        let run = attempt.run;
        self.attempts.insert(task.clone(), Attempt { token, ..attempt });
        let order = Order::Start { task: task.clone(), run, spec, lease_until_ms };
        self.call(token, order, ANSWER_WITHIN)
    }

    /// Stops that are due: attempts that nobody wants, and those that others left behind.
    pub fn stops(&mut self, now: Instant) -> Vec<Call> {
        let Phase::Held(token) = self.phase else {
            return Vec::new();
        };
        if self.doubt {
            return Vec::new();
        }
        let due = |sent: Option<Instant>| sent.is_none_or(|at| now - at > ANSWER_WITHIN);
        let mut stop = Vec::new();
        for (task, attempt) in &mut self.attempts {
            if attempt.unwanted && attempt.status != Status::Sent && due(attempt.stop_sent) {
                attempt.stop_sent = Some(now);
                stop.push((task.clone(), attempt.run));
            }
        }
        for (task, orphan) in self.orphans.iter_mut().filter(|(_, orphan)| due(orphan.stop_sent)) {
            orphan.stop_sent = Some(now);
            stop.push((task.clone(), orphan.run));
        }
        let order = |(task, run)| self.call(token, Order::Stop { task, run }, ANSWER_WITHIN);
        stop.into_iter().map(order).collect()
    }

    /// Marks attempts that nobody wants any more; they are stopped.
    pub fn unwant(&mut self, test: impl Fn(&Task, &Attempt) -> bool) {
        for (task, attempt) in &mut self.attempts {
            attempt.unwanted |= test(task, attempt);
        }
    }

    /// Takes an answer in.
    pub fn answer(&mut self, call: &Call, answer: Answer, now: Instant) -> Vec<Finding> {
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
        answer: Answer,
        now: Instant,
        found: &mut Vec<Finding>,
    ) {
        let claim = self.phase == Phase::Claiming(call.token);
        if !claim && self.phase != Phase::Held(call.token) {
            return;
        }
        self.renewing = false;
        match answer {
            Answer::Report(report) => {
                self.silences = 0;
                if claim {
                    self.phase = Phase::Held(call.token);
                    self.doubt = false;
                }
                self.reconcile(&report, claim, now, found);
                if claim && self.phase == Phase::Held(call.token) {
                    found.push(Finding::Claimed(call.token));
                }
            }
            Answer::Rejected(Rejection::Fenced) => self.fenced(call.token, found),
            Answer::Rejected(_) | Answer::Taken { .. } => {
                self.abandon("it is another life", now, found);
            }
            Answer::Unsent { refused: true } => {
                self.abandon("nothing listens there", now, found);
            }
            Answer::Unsent { refused: false } | Answer::Silent => {
                self.silent(claim, now, found);
            }
        }
    }

    /// A renewal got no answer: the lease runs out unless a later one is heard.
    fn silent(&mut self, claim: bool, now: Instant, found: &mut Vec<Finding>) {
        self.silences += 1;
        let lapsed = self.leased_at.is_none_or(|at| {
            // The target's clock may be 2% slow.
            now.duration_since(at) > self.lease + self.lease / 50 + LAPSE_SLACK
        });
        if lapsed {
            self.abandon("it is silent and its lease has ended", now, found);
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
        answer: &Answer,
        now: Instant,
        found: &mut Vec<Finding>,
    ) {
        // An answer to an earlier order may come after the task was sent here anew.
        let same = |attempt: &&mut Attempt| attempt.run == run && attempt.token == call.token;
        let Some(attempt) = self.attempts.get_mut(task).filter(same) else {
            return;
        };
        match *answer {
            Answer::Taken { clock_ms } => {
                if attempt.status == Status::Sent {
                    attempt.status = Status::Running(clock_ms);
                }
                // A clock that went back is another life's, which obeys every token at first.
                self.doubt |=
                    self.clock.is_some_and(|(known, _)| clock_ms + CLOCK_SLACK_MS < known);
                self.hear_clock(clock_ms, now);
            }
            Answer::Rejected(rejection) => {
                // A late copy of an answer can't take back what a report has shown.
                if attempt.status != Status::Sent {
                    return;
                }
                found.push(Finding::Turned(task.clone(), rejection));
                self.finish(task, End::NotRun, found);
                match rejection {
                    Rejection::Fenced if self.phase == Phase::Held(call.token) => {
                        self.fenced(call.token, found);
                    }
                    Rejection::OtherLife => {
                        self.abandon("it is another life", now, found);
                    }
                    // The picture of its room was wrong: look again.
                    Rejection::NoRoom => self.doubt = true,
                    Rejection::Unhealthy => self.closed_until = now + UNHEALTHY_FOR,
                    _ => {}
                }
            }
            Answer::Unsent { refused } => {
                self.finish(task, End::NotRun, found);
                if refused {
                    self.abandon("nothing listens there", now, found);
                } else {
                    self.doubt = true;
                }
            }
            Answer::Silent | Answer::Report(_) => self.doubt = true,
        }
    }

    fn answer_stop(&mut self, (task, run): (&Task, u32), answer: &Answer, out: &mut Vec<Finding>) {
        // Nothing of this number runs there or can start any more; a report may still name it.
        let orphan = self.orphans.get(task).is_some_and(|orphan| orphan.run == run);
        if matches!(answer, Answer::Taken { .. }) && orphan {
            out.push(Finding::Orphan(task.clone()));
        }
    }

    fn reconcile(&mut self, report: &Report, claim: bool, now: Instant, found: &mut Vec<Finding>) {
        let another = report.born.is_some_and(|born| born != self.entry.born);
        if another {
            // Another life under the same name counts anew. It obeys every token at first, so an
            // order for the earlier life may run in it: only a new token shows what does.
            self.entry.born = report.born.unwrap_or_default();
            self.seen = 0;
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
        self.noted = self.noted.max(self.seen);
        for ended in &report.ended {
            if ended.number <= self.seen {
                continue;
            }
            self.seen = ended.number;
            self.seen_at = now;
            let end = match ended.how {
                How::Done => End::Done,
                How::Failed => End::Failed,
                How::Ended => End::Lost,
            };
            if self.attempts.get(&ended.task).is_some_and(|attempt| attempt.run == ended.run) {
                self.finish(&ended.task, end, found);
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
    fn miss(&mut self, report: &Report, claim: bool, found: &mut Vec<Finding>) {
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
            self.finish(&task, end, found);
        }
    }

    fn finish(&mut self, task: &Task, end: End, found: &mut Vec<Finding>) {
        if let Some(attempt) = self.attempts.remove(task) {
            found.push(Finding::Ended { task: task.clone(), attempt, end });
        }
    }

    fn fenced(&mut self, token: Token, found: &mut Vec<Finding>) {
        self.release(End::Adrift, found);
        found.push(Finding::Fenced(token));
    }

    /// The target is down, or its lease is over.
    fn abandon(&mut self, why: &'static str, now: Instant, found: &mut Vec<Finding>) {
        let unanswered = self.attempts.iter().filter(|(_, one)| one.status == Status::Sent);
        let unanswered: Vec<Task> = unanswered.map(|(task, _)| task.clone()).collect();
        for task in unanswered {
            // It may still reach the target's next life.
            self.finish(&task, End::Adrift, found);
        }
        self.release(End::Lost, found);
        self.closed_until = now + RETRY_AFTER;
        found.push(Finding::Lost(why));
    }

    /// Gives the target up; what may be there comes to the given end.
    pub fn release(&mut self, end: End, found: &mut Vec<Finding>) {
        let tasks: Vec<Task> = self.attempts.keys().cloned().collect();
        for task in tasks {
            self.finish(&task, end, found);
        }
        self.phase = Phase::Free;
        self.orphans.clear();
        self.renewing = false;
        self.silences = 0;
        self.doubt = false;
        self.leased_at = None;
    }

    fn hear_clock(&mut self, clock_ms: u64, now: Instant) {
        let later = self.clock.is_none_or(|(known, _)| clock_ms >= known);
        if later {
            self.clock = Some((clock_ms, now));
        }
    }

    /// The longest lease that the target grants, on its clock.
    fn lease_until(&self, now: Instant) -> Option<u64> {
        let (clock_ms, at) = self.clock?;
        let ahead = now.duration_since(at) + self.lease;
        Some(clock_ms + u64::try_from(ahead.as_millis()).unwrap_or_default())
    }

    fn token(&self) -> Token {
        match self.phase {
            Phase::Held(token) | Phase::Claiming(token) => token,
            Phase::Free => Token::default(),
        }
    }

    fn call(&self, token: Token, order: Order, within: Duration) -> Call {
        let target: Target = self.entry.name.clone();
        Call { target, address: self.entry.address, token, order, within }
    }
}

impl Attempt {
    /// An attempt that is about to be sent.
    #[must_use]
    pub fn new(owner: Host, kind: Kind, run: u32, room: Room, since: Instant) -> Self {
        Self {
            run,
            owner,
            opening: 0,
            kind,
            room,
            estimate: Duration::ZERO,
            expected: Duration::ZERO,
            since,
            objective: since,
            due: since,
            unwanted: false,
            status: Status::Sent,
            token: Token::default(),
            stop_sent: None,
        }
    }
}
