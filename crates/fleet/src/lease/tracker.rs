//! A steward's view of one target: its lease, its clock and the attempts that may run there.

mod attempt;
mod claim;
mod ends;
mod entries;
mod expiry;
mod response;
mod start_times;
mod watch;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::{Host, Target};

use super::{Call, Evidence, Order, Rejection, Timeout, Token, Unreadable};
use crate::directory::Entry;
use crate::job::{End, Resources, Task};

pub use attempt::{Attempt, Phase};
use attempt::{Orphan, Status};
use ends::Ends;
use entries::Entries;
use start_times::StartTimes;
use watch::Watch;

/// Longest time for which a renewal waits at the target for an attempt to end. It is under half of a
/// lease, so that two renewals may fail.
const MAX_RENEWAL_WAIT: Duration = Duration::from_millis(400);
/// Shortest time for which a renewal waits while an attempt runs: about the shortest usual run.
const MIN_RENEWAL_WAIT: Duration = Duration::from_millis(50);
/// Multiple of its expected run time after which an attempt's end is overdue. One run in five takes
/// longer.
const OVERDUE_FACTOR: f64 = 1.35;
/// Age at which the reading of an idle target's clock is refreshed: it may be off by a tenth of a
/// lease by then.
const MAX_CLOCK_AGE: Duration = Duration::from_secs(5);
/// Time after which a target that has become idle gets the acknowledgement of its last ends.
const ACKNOWLEDGE_DELAY: Duration = Duration::from_millis(250);

/// Limits on the duration of leases.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Term {
    /// Longest lease that a target grants.
    pub max: Duration,
    /// Time after which a caller that got no response may resend its job, through any host.
    pub resend_after: Duration,
}

/// A change of a lease or an attempt that a response revealed.
#[derive(Clone, Debug)]
pub enum Change {
    /// An attempt ended.
    Ended {
        /// Task of the attempt.
        task: Task,
        /// The attempt as it was before it ended.
        attempt: Box<Attempt>,
        /// How it ended.
        end: End,
        /// Observation that proves the end.
        evidence: Evidence,
    },
    /// The target accepted a claim, but the directory has shown no entry of its incarnation. Nothing starts there
    /// until it does.
    EntryAwaited {
        /// Unix time of the target's start, in milliseconds.
        started_at_ms: u64,
        /// Start time in its entry; 0 if the entry lacks it.
        listed_ms: u64,
    },
    /// The target accepted a claim with this token.
    Claimed {
        /// Token of the claim.
        token: Token,
        /// Address of the target.
        address: SocketAddr,
        /// Unix time of the target's start, in milliseconds.
        started_at_ms: u64,
    },
    /// The target rejected this token: another host used a higher one.
    Fenced(Token),
    /// The lease expired without a response from the target.
    Lost {
        /// Observation that proves the loss.
        evidence: Evidence,
        /// Time since the last order that extended the lease; none if there was none.
        since_renewal: Option<Duration>,
    },
    /// A report lists an attempt that this host did not start and that its claim did not find. The claim
    /// voided all orders under other tokens, so another process uses this one.
    SharedToken(Token, Task),
    /// The target accepted the stop of an orphan, an attempt that another host started.
    Orphan(Task),
    /// The target rejected the start of a task.
    StartRejected(Task, Rejection),
    /// A report has rows that can't be decoded, and the one before did not have as many.
    Unreadable(Unreadable),
}

/// The state of one target at its steward.
#[derive(Debug)]
pub struct Tracker {
    /// The target's last entry in the directory that counts.
    pub entry: Entry,
    /// State of this host's claim on the target.
    pub phase: Phase,
    /// Whether its zone is evacuated, so that nothing starts there.
    pub is_evacuated: bool,
    /// Whether it is cold and has had its share of starts.
    pub is_over_cold_limit: bool,
    /// Attempts of this host that may run at the target.
    attempts: BTreeMap<Task, Attempt>,
    /// Attempts that other hosts started; the resources that they use are not known.
    orphans: BTreeMap<Task, Orphan>,
    /// Rows of the last report that could not be decoded.
    unreadable: Unreadable,
    term: Term,
    /// Last reading of the target's clock, in milliseconds, and when it arrived.
    clock: Option<(u64, Instant)>,
    ends: Ends,
    /// Sequence number up to which the target has received the acknowledgement.
    acknowledged_end: u64,
    /// When the last end was processed.
    last_end_at: Instant,
    /// Latest expiry that the target's lease may have, in milliseconds on its clock; none if no lease
    /// was granted in this incarnation.
    granted_until_ms: Option<u64>,
    /// When the last order that extends the lease was sent.
    lease_sent_at: Option<Instant>,
    has_pending_renewal: bool,
    /// Consecutive renewals and claims without a report.
    missed_renewals: u32,
    timeout: Timeout,
    /// Neither claims nor starts before this instant.
    paused_until: Instant,
    /// No renewal before this instant.
    next_renewal_at: Instant,
    /// Whether an order may or may not have been carried out, so that the target must be claimed with
    /// a new token.
    is_uncertain: bool,
    /// Whether a renewal that waited at the target lists attempts that this host did not start. Another
    /// host may have claimed the target meanwhile, which only a renewal that does not wait shows.
    is_foreign_suspected: bool,
    /// Whether the target has accepted a claim of this host.
    was_held: bool,
    /// Consecutive claims that the target has rejected for a higher token.
    fenced_claims: u32,
    /// Start times in the directory, which may be stale or another writer's.
    start_times: StartTimes,
    entries: Entries,
    watch: Watch,
}

impl Tracker {
    /// Creates the tracker of a target that this host has not claimed yet.
    #[must_use]
    pub fn new(entry: Entry, term: Term, now: Instant) -> Self {
        let mut start_times = StartTimes::default();
        start_times.list(entry.started_at_ms);
        let entries = Entries::new(entry.clone());
        Self {
            entry,
            phase: Phase::Free,
            is_evacuated: false,
            is_over_cold_limit: false,
            attempts: BTreeMap::new(),
            orphans: BTreeMap::new(),
            unreadable: Unreadable::default(),
            term,
            clock: None,
            ends: Ends::default(),
            acknowledged_end: 0,
            last_end_at: now,
            granted_until_ms: None,
            lease_sent_at: None,
            has_pending_renewal: false,
            missed_renewals: 0,
            timeout: Timeout::default(),
            paused_until: now,
            next_renewal_at: now,
            is_uncertain: false,
            is_foreign_suspected: false,
            was_held: false,
            fenced_claims: 0,
            start_times,
            entries,
            watch: Watch::default(),
        }
    }

    /// Returns the attempts of this host that may run at the target.
    pub fn attempts(&self) -> impl Iterator<Item = (&Task, &Attempt)> {
        self.attempts.iter()
    }

    /// Whether the target runs no attempt that its reports can name.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.attempts.is_empty() && self.orphans.is_empty()
    }

    /// Whether no task may start there whatever its lease and its room are.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.is_evacuated || self.is_over_cold_limit
    }

    /// Whether an attempt of the task may run at the target.
    #[must_use]
    pub fn contains(&self, task: &Task) -> bool {
        self.attempts.contains_key(task)
    }

    /// Counts the attempts at the target that belong to the same job and step as `task`.
    #[must_use]
    pub fn count_in_step(&self, task: &Task) -> u32 {
        let in_step = |other: &&Task| other.job == task.job && other.step == task.step;
        u32::try_from(self.attempts.keys().filter(in_step).count()).unwrap_or(u32::MAX)
    }

    /// Returns the free resources, or none while nothing may start: without a claim, while the state is
    /// uncertain, while the entry may be that of an earlier incarnation, with orphans or attempts that
    /// can't be named or that must run alone at the target, if no sufficient lease can be granted, or during a
    /// pause.
    #[must_use]
    pub fn available(&self, now: Instant) -> Option<Resources> {
        let is_reliable =
            matches!(self.phase, Phase::Held(_)) && !self.is_uncertain && self.missed_renewals == 0;
        let is_expiring = self.lease_duration(now) < self.term.max / 2;
        let is_outdated = self.entries.is_awaited();
        let is_reserved = self.attempts.values().any(|attempt| attempt.isolated);
        if !is_reliable
            || self.is_closed()
            || is_reserved
            || is_outdated
            || is_expiring
            || self.has_foreign()
            || now < self.paused_until
        {
            return None;
        }
        let used =
            self.attempts.values().fold(Resources::default(), |sum, each| sum + each.resources);
        Some(self.entry.capacity.saturating_sub(&used))
    }

    /// Whether the target may run attempts whose resources are not known.
    fn has_foreign(&self) -> bool {
        !self.orphans.is_empty() || self.unreadable.running > 0 || self.is_foreign_suspected
    }

    /// Returns the next renewal, or the next watch on an idle target, if one is due and none is pending.
    pub fn next_renewal(&mut self, now: Instant) -> Option<Call> {
        let Phase::Held(token) = self.phase else {
            return None;
        };
        let must_acknowledge = self.ends.last() > self.acknowledged_end
            && now.duration_since(self.last_end_at) > ACKNOWLEDGE_DELAY;
        let is_fresh = |(_, at): (u64, Instant)| now.duration_since(at) < MAX_CLOCK_AGE;
        let is_clock_stale = !self.clock.is_some_and(is_fresh);
        let is_paused = now < self.next_renewal_at;
        let is_idle = self.is_idle() && !self.has_foreign();
        if self.has_pending_renewal || self.is_uncertain || is_paused {
            return None;
        }
        if is_idle && !must_acknowledge && !is_clock_stale && self.missed_renewals == 0 {
            if !self.wants_watch(now) {
                return None;
            }
            if let Some(watch) = self.next_watch(token, now) {
                return Some(watch);
            }
        }
        self.has_pending_renewal = true;
        let is_immediate = is_idle || self.missed_renewals > 0 || self.is_foreign_suspected;
        let max_wait = if is_immediate { Duration::ZERO } else { self.renewal_wait(now) };
        // After two missed renewals the lease is left to expire. A target with only attempts of others
        // gets no extension either, since their former stewards rely on their expiry.
        let has_only_foreign = self.attempts.is_empty() && self.has_foreign();
        let extends_lease = self.missed_renewals < 2 && !has_only_foreign;
        let lease_until_ms = self.extend_lease(extends_lease, now);
        let order = Order::Renew { lease_until_ms, acknowledged: self.ends.last(), max_wait };
        Some(self.new_call(token, order, max_wait + self.timeout.current()))
    }

    /// Returns the time for which a renewal waits at the target: until the next end is overdue. A lost
    /// renewal hides ends until it times out, so its wait should not outlast them. For overdue
    /// attempts the wait grows with the delay.
    fn renewal_wait(&self, now: Instant) -> Duration {
        let overdue = |one: &Attempt| one.sent_at + one.expected.mul_f64(OVERDUE_FACTOR);
        let next = self.attempts.values().map(overdue).min();
        let distance = |at: Instant| if at > now { at - now } else { now - at };
        next.map_or(MAX_RENEWAL_WAIT, distance).clamp(MIN_RENEWAL_WAIT, MAX_RENEWAL_WAIT)
    }

    /// Starts an attempt. The caller must have checked that its resources are available and that its
    /// owner was heard recently enough.
    pub fn start(&mut self, task: &Task, spec: Arc<str>, attempt: Attempt, now: Instant) -> Call {
        let token = self.current_token();
        let run = attempt.run;
        let alone = self.attempts.is_empty();
        self.attempts.values_mut().for_each(|other| other.alone = false);
        let started_at_ms = self.entry.started_at_ms;
        self.attempts.insert(task.clone(), Attempt { token, started_at_ms, alone, ..attempt });
        let lease_until_ms = self.extend_lease(true, now).unwrap_or_default();
        self.lease_sent_at = Some(now);
        self.watch.record_start();
        let order = Order::Start { task: task.clone(), run, spec, lease_until_ms };
        self.new_call(token, order, self.timeout.current())
    }

    /// Returns the stops that are due: of cancelled and recalled attempts, and of orphans. A stop
    /// without a response is repeated after the timeout.
    pub fn due_stops(&mut self, now: Instant) -> Vec<Call> {
        let Phase::Held(token) = self.phase else {
            return Vec::new();
        };
        if self.is_uncertain {
            return Vec::new();
        }
        let timeout = self.timeout.current();
        let due = |sent: Option<Instant>| sent.is_none_or(|at| now - at > timeout);
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
        let order = |(task, run)| self.new_call(token, Order::Stop { task, run }, timeout);
        stop.into_iter().map(order).collect()
    }

    /// Updates the time of the owners' last words for all attempts that are not cancelled.
    pub fn refresh_owner_contact(&mut self, last_contact: impl Fn(&Host) -> Option<Instant>) {
        for attempt in self.attempts.values_mut().filter(|one| !one.cancelled) {
            attempt.owner_heard_at = last_contact(&attempt.owner).unwrap_or(attempt.owner_heard_at);
        }
    }

    /// Marks matching attempts as cancelled, so that they are stopped.
    pub fn cancel_where(&mut self, predicate: impl Fn(&Task, &Attempt) -> bool) {
        for (task, attempt) in &mut self.attempts {
            attempt.cancelled |= predicate(task, attempt);
        }
    }

    /// Marks matching attempts as recalled: they are stopped so that their tasks can start elsewhere.
    /// Returns the number of newly marked ones.
    pub fn recall_where(&mut self, predicate: impl Fn(&Attempt) -> bool) -> usize {
        let all = self.attempts.values_mut();
        let matching = all.filter(|one| !one.cancelled && !one.recalled && predicate(one));
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

    /// Releases the target and ends all attempts at it with `end`.
    pub fn release(&mut self, end: End, evidence: Evidence, changes: &mut Vec<Change>) {
        let tasks: Vec<Task> = self.attempts.keys().cloned().collect();
        for task in tasks {
            self.end_attempt(&task, end, evidence, changes);
        }
        self.phase = Phase::Free;
        self.orphans.clear();
        self.unreadable = Unreadable::default();
        self.has_pending_renewal = false;
        self.missed_renewals = 0;
        self.is_uncertain = false;
        self.is_foreign_suspected = false;
        self.lease_sent_at = None;
        self.watch.release();
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
