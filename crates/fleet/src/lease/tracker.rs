//! What a steward knows of one target.

mod attempt;
mod response;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Target};

use super::{Call, Evidence, Order, Rejection, Timeout, Token};
use crate::directory::Entry;
use crate::job::{End, Room, Task};

pub use attempt::{Attempt, Phase};
use attempt::{Orphan, Status};

/// Longest wait of a renewal for an end: under half of the lease, so that two may fail.
const MAX_RENEWAL_WAIT: Duration = Duration::from_millis(400);
/// Shortest wait of a renewal while something runs: about the shortest usual run.
const MIN_RENEWAL_WAIT: Duration = Duration::from_millis(50);
/// Multiple of its expected run time after which an end is overdue; one run in five takes longer.
const OVERDUE_FACTOR: f64 = 1.35;
/// By how much a target's clock may be slow, as a share of the time that passes; from the platform's
/// pages.
const MAX_CLOCK_DRIFT: f64 = 0.02;
/// Age from which an idle target's clock is read anew: it may be off by a tenth of a lease then.
const MAX_CLOCK_AGE: Duration = Duration::from_secs(5);
/// Time before a caller's repeat at which what an owner may have given up has ended: a slow clock's share
/// of the longest lease, the time that ending a task takes, and that of an owner's word to its steward.
const RESEND_MARGIN: Duration = Duration::from_millis(150);
/// Slack for the time that ending a task takes.
const STOP_MARGIN: Duration = Duration::from_millis(100);
/// Time after which an idle target's last ends are taken note of.
const ACKNOWLEDGE_DELAY: Duration = Duration::from_millis(250);

/// How long leases may last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Term {
    /// Longest lease that a target grants.
    pub max: Duration,
    /// Time after a lost answer at which a caller may send its job again, through any host.
    pub resend_after: Duration,
}

/// What an answer showed.
#[derive(Clone, Debug)]
pub enum Change {
    /// An attempt came to its end.
    Ended {
        /// The task.
        task: Task,
        /// The attempt.
        attempt: Box<Attempt>,
        /// How.
        end: End,
        /// What shows it.
        evidence: Evidence,
    },
    /// A claim succeeded.
    Claimed(Token),
    /// Another host has the target now.
    Fenced(Token),
    /// The target could not be reached.
    Lost {
        /// What shows it.
        evidence: Evidence,
        /// Time since anything that renews its lease was sent; none if nothing was.
        since_renewal: Option<Duration>,
    },
    /// An attempt runs that nobody here asked for.
    Orphan(Task),
    /// The target turned a start away.
    StartRejected(Task, Rejection),
}

/// One target as its steward sees it.
#[derive(Debug)]
pub struct Tracker {
    /// The target's own word.
    pub entry: Entry,
    /// Whose orders it takes.
    pub phase: Phase,
    attempts: BTreeMap<Task, Attempt>,
    /// Attempts that others started; their room is not known.
    orphans: BTreeMap<Task, Orphan>,
    term: Term,
    /// The target's clock, in milliseconds, and when that was heard.
    clock: Option<(u64, Instant)>,
    last_end: u64,
    acknowledged_end: u64,
    last_end_at: Instant,
    /// Latest time of sending anything that renews the lease.
    lease_sent_at: Option<Instant>,
    has_pending_renewal: bool,
    /// Renewals in a row that got no answer.
    missed_renewals: u32,
    timeout: Timeout,
    /// No new work before this.
    paused_until: Instant,
    /// No renewal before this.
    next_renewal_at: Instant,
    /// Whether the fence must be raised, since an order's fate is not known.
    is_uncertain: bool,
}

impl Tracker {
    /// A target that this host has not asked yet.
    #[must_use]
    pub fn new(entry: Entry, term: Term, now: Instant) -> Self {
        Self {
            entry,
            phase: Phase::Free,
            attempts: BTreeMap::new(),
            orphans: BTreeMap::new(),
            term,
            clock: None,
            last_end: 0,
            acknowledged_end: 0,
            last_end_at: now,
            lease_sent_at: None,
            has_pending_renewal: false,
            missed_renewals: 0,
            timeout: Timeout::default(),
            paused_until: now,
            next_renewal_at: now,
            is_uncertain: false,
        }
    }

    /// Takes the target's newer word on itself in. Another life is told apart once it answers.
    pub fn update(&mut self, entry: &Entry) {
        let started_at_ms = self.entry.started_at_ms;
        self.entry = entry.clone();
        if entry.started_at_ms == 0 {
            // Its entry does not say; its answers do.
            self.entry.started_at_ms = started_at_ms;
        } else if entry.started_at_ms != started_at_ms && matches!(self.phase, Phase::Held(_)) {
            // What this host believes of the earlier life is over; the claim shows what is there.
            self.entry.started_at_ms = started_at_ms;
            self.is_uncertain = true;
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
    pub fn contains(&self, task: &Task) -> bool {
        self.attempts.contains_key(task)
    }

    /// Tasks of one step that are here.
    #[must_use]
    pub fn count_in_step(&self, task: &Task) -> u32 {
        let in_step = |other: &&Task| other.job == task.job && other.step == task.step;
        u32::try_from(self.attempts.keys().filter(in_step).count()).unwrap_or(u32::MAX)
    }

    /// Room for new work; none while the picture may be wrong.
    #[must_use]
    pub fn available(&self, now: Instant) -> Option<Room> {
        let is_reliable =
            matches!(self.phase, Phase::Held(_)) && !self.is_uncertain && self.missed_renewals == 0;
        let is_expiring = self.lease_duration(now) < self.term.max / 2;
        if !is_reliable || is_expiring || !self.orphans.is_empty() || now < self.paused_until {
            return None;
        }
        let used = self.attempts.values().fold(Room::default(), |sum, each| sum + each.resources);
        Some(self.entry.capacity.less(&used))
    }

    /// Whether it should be claimed now.
    #[must_use]
    pub fn wants_claim(&self, now: Instant) -> bool {
        match self.phase {
            Phase::Free => now >= self.paused_until,
            Phase::Claiming(_) => false,
            Phase::Held(_) => {
                self.is_uncertain && now >= self.paused_until && now >= self.next_renewal_at
            }
        }
    }

    /// Claims the target, or raises the fence on it.
    pub fn claim(&mut self, token: Token, now: Instant) -> Call {
        self.phase = Phase::Claiming(token);
        // Only attempts of this host gain from a lease; what others started comes to its end.
        let lease_until_ms = self.lease_end_ms(now).filter(|_| !self.attempts.is_empty());
        if lease_until_ms.is_some() && self.missed_renewals == 0 {
            self.lease_sent_at = Some(now);
        }
        let lease_until_ms = lease_until_ms.filter(|_| self.missed_renewals == 0);
        let order =
            Order::Renew { lease_until_ms, acknowledged: self.last_end, max_wait: Duration::ZERO };
        self.new_call(token, order, self.timeout.current())
    }

    /// The next renewal, if one is due and none is under way.
    pub fn next_renewal(&mut self, now: Instant) -> Option<Call> {
        let Phase::Held(token) = self.phase else {
            return None;
        };
        let must_acknowledge = self.last_end > self.acknowledged_end
            && now.duration_since(self.last_end_at) > ACKNOWLEDGE_DELAY;
        let is_fresh = |(_, at): (u64, Instant)| now.duration_since(at) < MAX_CLOCK_AGE;
        let is_clock_stale = !self.clock.is_some_and(is_fresh);
        let is_paused = now < self.next_renewal_at;
        if self.has_pending_renewal
            || self.is_uncertain
            || is_paused
            || (self.is_idle() && !must_acknowledge && !is_clock_stale)
        {
            return None;
        }
        self.has_pending_renewal = true;
        let is_immediate = self.is_idle() || self.missed_renewals > 0;
        let max_wait = if is_immediate { Duration::ZERO } else { self.renewal_wait(now) };
        // A second silence in a row renews nothing, so that the lease comes to an end.
        // What others started comes to its end: their stewards count on it.
        let has_only_orphans = self.attempts.is_empty() && !self.orphans.is_empty();
        let extends_lease = self.missed_renewals < 2 && !has_only_orphans;
        let lease_until_ms = self.lease_end_ms(now).filter(|_| extends_lease);
        if lease_until_ms.is_some() {
            self.lease_sent_at = Some(now);
        }
        let order = Order::Renew { lease_until_ms, acknowledged: self.last_end, max_wait };
        Some(self.new_call(token, order, max_wait + self.timeout.current()))
    }

    /// Wait of a renewal: until the next end is overdue. A renewal that gets no answer hides ends
    /// until it times out, so it should not outlast them. What is overdue is asked for ever more
    /// seldom.
    fn renewal_wait(&self, now: Instant) -> Duration {
        let overdue = |one: &Attempt| one.sent_at + one.expected.mul_f64(OVERDUE_FACTOR);
        let next = self.attempts.values().map(overdue).min();
        let distance = |at: Instant| if at > now { at - now } else { now - at };
        next.map_or(MAX_RENEWAL_WAIT, distance).clamp(MIN_RENEWAL_WAIT, MAX_RENEWAL_WAIT)
    }

    /// Starts an attempt. The caller has checked that it fits.
    pub fn start(&mut self, task: &Task, spec: Arc<str>, attempt: Attempt, now: Instant) -> Call {
        let token = self.current_token();
        let run = attempt.run;
        self.attempts.insert(task.clone(), Attempt { token, ..attempt });
        let lease_until_ms = self.lease_end_ms(now).unwrap_or_default();
        self.lease_sent_at = Some(now);
        let order = Order::Start { task: task.clone(), run, spec, lease_until_ms };
        self.new_call(token, order, self.timeout.current())
    }

    /// Stops that are due: attempts that nobody wants or that are recalled, and those that others
    /// left behind.
    pub fn due_stops(&mut self, now: Instant) -> Vec<Call> {
        let Phase::Held(token) = self.phase else {
            return Vec::new();
        };
        if self.is_uncertain {
            return Vec::new();
        }
        let within = self.timeout.current();
        let due = |sent: Option<Instant>| sent.is_none_or(|at| now - at > within);
        let mut stop = Vec::new();
        for (task, attempt) in &mut self.attempts {
            let should_stop = attempt.cancelled || attempt.recalled;
            if should_stop && attempt.status != Status::Sent && due(attempt.stop_sent_at) {
                attempt.stop_sent_at = Some(now);
                stop.push((task.clone(), attempt.run));
            }
        }
        for (task, orphan) in self.orphans.iter_mut().filter(|(_, orphan)| due(orphan.stop_sent_at))
        {
            orphan.stop_sent_at = Some(now);
            stop.push((task.clone(), orphan.run));
        }
        let order = |(task, run)| self.new_call(token, Order::Stop { task, run }, within);
        stop.into_iter().map(order).collect()
    }

    /// Notes when the owners of attempts that are wanted were last heard.
    pub fn refresh_owner_contact(&mut self, heard: impl Fn(&Host) -> Option<Instant>) {
        for attempt in self.attempts.values_mut().filter(|one| !one.cancelled) {
            attempt.owner_heard_at = heard(&attempt.owner).unwrap_or(attempt.owner_heard_at);
        }
    }

    /// Marks attempts that nobody wants any more; they are stopped.
    pub fn cancel_where(&mut self, test: impl Fn(&Task, &Attempt) -> bool) {
        for (task, attempt) in &mut self.attempts {
            attempt.cancelled |= test(task, attempt);
        }
    }

    /// Marks attempts that are to be stopped so that their tasks can start elsewhere; how many.
    pub fn recall_where(&mut self, test: impl Fn(&Attempt) -> bool) -> usize {
        let all = self.attempts.values_mut();
        let matching = all.filter(|one| !one.cancelled && !one.recalled && test(one));
        matching.map(|one| one.recalled = true).count()
    }

    fn end_attempt(
        &mut self,
        task: &Task,
        end: End,
        evidence: Evidence,
        changes: &mut Vec<Change>,
    ) {
        if let Some(attempt) = self.attempts.remove(task) {
            let attempt = Box::new(attempt);
            changes.push(Change::Ended { task: task.clone(), attempt, end, evidence });
        }
    }

    /// Gives the target up; what may be there comes to the given end.
    pub fn release(&mut self, end: End, evidence: Evidence, changes: &mut Vec<Change>) {
        let tasks: Vec<Task> = self.attempts.keys().cloned().collect();
        for task in tasks {
            self.end_attempt(&task, end, evidence, changes);
        }
        self.phase = Phase::Free;
        self.orphans.clear();
        self.has_pending_renewal = false;
        self.missed_renewals = 0;
        self.is_uncertain = false;
        self.lease_sent_at = None;
    }

    /// The end of a lease from now on, on the target's clock: no later than that, however slow the
    /// clock was since it was read.
    fn lease_end_ms(&self, now: Instant) -> Option<u64> {
        let (clock_ms, at) = self.clock?;
        let lease = self.lease_duration(now);
        if lease.is_zero() {
            return None;
        }
        let ahead = now.duration_since(at).mul_f64(1.0 - MAX_CLOCK_DRIFT) + lease;
        let ahead_ms = u64::try_from(ahead.as_millis()).unwrap_or(u64::MAX);
        Some(clock_ms.saturating_add(ahead_ms))
    }

    /// The longest lease from now on that ends before a job can come again whose owner may have given it
    /// up just after it was last heard.
    fn lease_duration(&self, now: Instant) -> Duration {
        let resend_at = |one: &Attempt| one.owner_heard_at + self.term.resend_after;
        let earliest = self.attempts.values().map(resend_at).min();
        let left = earliest.map(|at| at.saturating_duration_since(now + RESEND_MARGIN));
        left.map_or(self.term.max, |left| left.min(self.term.max))
    }

    /// Time from the sending of a lease to its end, at the latest.
    fn max_lease_age(&self) -> Duration {
        self.term.max.div_f64(1.0 - MAX_CLOCK_DRIFT) + STOP_MARGIN
    }

    fn current_token(&self) -> Token {
        match self.phase {
            Phase::Held(token) | Phase::Claiming(token) => token,
            Phase::Free => Token::default(),
        }
    }

    fn new_call(&self, token: Token, order: Order, timeout: Duration) -> Call {
        let target: Target = self.entry.name.clone();
        Call { target, address: self.entry.address, token, order, timeout }
    }
}
