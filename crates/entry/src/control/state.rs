//! The control state and its entry points.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::config::{Resources, TargetConfig};
use coltsfootshunt_core::name::Target;
use coltsfootshunt_core::submission::Incarnation;

use super::{Action, Event, Load, Record, Snapshot};
use crate::config;
use crate::dispatch::{Admission, Budget, Order, Queue, Reserve};
use crate::drain;
use crate::kind::Catalog;
use crate::loan::{Borrower, Lender, Outcome, Sharing};
use crate::member::{HEARTBEAT_INTERVAL, Identity, Membership};
use crate::quota::Shares;
use crate::submission::{Limits, Registry};
use crate::target::{Departures, Pool};

/// Interval of periodic work, and the longest time between two wakeups.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest gap between two wakeups that counts as a pause of the process.
const MIN_PAUSE: Duration = Duration::from_secs(1);
/// Longest suspension of task starts after a pause, if no peer responds.
const MAX_SUSPENSION: Duration = Duration::from_millis(750);

/// Replaceable decision rules.
pub struct Policy {
    /// Order of the queued jobs.
    pub order: Box<dyn Order>,
    /// Decides which jobs are accepted.
    pub admission: Box<dyn Admission>,
    /// Decides which peers to borrow slots from.
    pub sharing: Box<dyn Sharing>,
}

/// Initial values of a [`State`].
pub struct Setup {
    /// Identity of this entry.
    pub identity: Identity,
    /// Addresses of peers to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Decision rules.
    pub policy: Policy,
    /// Limits on submissions and their records.
    pub submission_limits: Limits,
    /// Time limits of a planned stop.
    pub drain_limits: drain::Limits,
}

/// Suspension of task starts after a pause of the process. Ends when a peer responds to a heartbeat
/// of a later round.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspension {
    /// Time at which the suspension ends without a response.
    pub until: Instant,
    /// Number of the last heartbeat round before the suspension.
    pub after_round: u64,
}

/// Control state of an entry.
pub struct State {
    pub(super) policy: Policy,
    pub(super) drain_limits: drain::Limits,
    pub(super) registry: Registry,
    pub(super) queue: Queue,
    pub(super) shares: Shares,
    pub(super) catalog: Catalog,
    pub(super) pool: Pool,
    pub(super) reserve: Reserve,
    pub(super) retry_budget: Budget,
    pub(super) departures: Departures,
    pub(super) lender: Lender,
    pub(super) borrower: Borrower,
    /// Results of tasks on borrowed slots that were not reported yet, by lender.
    pub(super) run_results: BTreeMap<Incarnation, Vec<Outcome>>,
    pub(super) membership: Membership,
    pub(super) config: config::Current,
    pub(super) drain_stage: drain::Stage,
    /// Targets of the configuration.
    pub(super) targets: HashMap<Target, Arc<TargetConfig>>,
    /// Distinct resources of the configured targets. A job is accepted only if one of them covers
    /// its needs.
    pub(super) target_resources: BTreeSet<Resources>,
    /// Inputs of the last computation of the stewardship: the change count of the membership, and
    /// whether this entry takes part. `None` forces a new computation.
    pub(super) stewardship_inputs: Option<(u64, bool)>,
    /// Time of the next round of heartbeats.
    pub(super) next_heartbeat: Instant,
    /// Earliest time at which borrowed slots are returned.
    pub(super) next_return: Instant,
    /// Earliest time at which pending requests of peers are granted.
    pub(super) next_grant: Instant,
    /// Number of attempts started since the process began.
    pub(super) started_tasks: u64,
    /// Snapshot published last.
    pub(super) published: Snapshot,
    /// Peer that receives the records during a planned stop.
    pub(super) current_successor: Option<Incarnation>,
    /// Suspension of task starts, if the process was paused recently.
    pub(super) suspension: Option<Suspension>,
    /// Load reported last.
    reported_load: Load,
    /// Time of the last check for a pause.
    last_wakeup: Instant,
    /// Time of the next periodic work.
    next_tick: Instant,
    /// Whether [`Action::Exit`] was returned.
    has_exited: bool,
}

impl State {
    /// Creates the state of an entry that knows only its settings.
    #[must_use]
    pub fn new(setup: Setup, now: Instant) -> Self {
        let Setup { identity, seeds, policy, submission_limits, drain_limits } = setup;
        let incarnation = identity.incarnation;
        Self {
            policy,
            drain_limits,
            registry: Registry::new(identity.zone.clone(), incarnation, submission_limits),
            queue: Queue::default(),
            shares: Shares::default(),
            catalog: Catalog::default(),
            pool: Pool::default(),
            reserve: Reserve::default(),
            retry_budget: Budget::default(),
            departures: Departures::default(),
            lender: Lender::default(),
            borrower: Borrower::default(),
            run_results: BTreeMap::new(),
            membership: Membership::new(identity, seeds),
            config: config::Current::default(),
            drain_stage: drain::Stage::default(),
            targets: HashMap::new(),
            target_resources: BTreeSet::new(),
            stewardship_inputs: None,
            next_heartbeat: now,
            next_return: now,
            next_grant: now,
            started_tasks: 0,
            published: Snapshot::new(incarnation),
            current_successor: None,
            suspension: None,
            reported_load: Load::default(),
            last_wakeup: now,
            next_tick: now,
            has_exited: false,
        }
    }

    /// Handles an event. [`Self::advance`] must be called before the thread waits again.
    pub fn handle(&mut self, event: Event, now: Instant, out: &mut Vec<Action>) {
        self.detect_pause(now, out);
        match event {
            Event::Request(request_id, request) => {
                self.handle_request(request_id, request, now, out)
            }
            Event::AttemptEnded(attempt, report) => {
                self.handle_attempt_end(&attempt, report, now, out)
            }
            Event::PeerCall(request_id, call) => self.handle_call(request_id, call, now, out),
            Event::PeerResponded { peer, chunk, response } => match response {
                Ok(response) => {
                    // A chunk counts as handed over only at the successor that gets all others.
                    let chunk = chunk.filter(|_| peer == self.current_successor);
                    self.handle_response(chunk.as_ref(), response, now, out);
                }
                Err(reason) => {
                    if let Some(peer) = peer {
                        self.handle_failed_call(peer, chunk.as_ref(), reason, now, out);
                    }
                }
            },
            Event::Contacts(contacts) => self.membership.add_contacts(contacts),
            Event::Departures(departures) => self.merge_departures(&departures),
            Event::Configuration(document) => self.apply_config(*document, out),
            Event::Signal(_) => self.handle_signal(now, out),
            Event::Dump(request_id) => self.dump(request_id, now, out),
        }
    }

    /// Does the work that follows from the events so far or is due at `now`.
    pub fn advance(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.detect_pause(now, out);
        self.expire_submissions(now, out);
        self.tick(now, out);
        self.maintain_members(now, out);
        self.start_tasks(now, out);
        self.request_slots(now, out);
        self.grant_pending_requests(now, out);
        self.recall_loans(now, out);
        self.return_loans(now, out);
        self.advance_stop(now, out);
        self.publish(out);
    }

    /// Time of the next call of [`Self::advance`] if no event arrives before.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        let mut wake = self.next_tick.min(self.next_heartbeat);
        if let Some(deadline) = self.registry.next_deadline() {
            wake = wake.min(deadline);
        }
        if self.pool.borrowed_idle() > 0 {
            wake = wake.min(self.next_return);
        }
        if self.lender.has_pending() && self.lendable_slots() > 0 {
            wake = wake.min(self.next_grant);
        }
        wake
    }

    /// Whether task starts are suspended because the view of the peers may be outdated.
    #[must_use]
    pub fn is_suspended(&self) -> bool {
        self.suspension.is_some()
    }

    /// Ends the suspension of task starts.
    pub(super) fn resume_starts(&mut self, out: &mut Vec<Action>) {
        if self.suspension.take().is_some() {
            out.push(Action::Record(Record::StartsResumed));
        }
    }

    /// Ends the process; later calls have no effect.
    pub(super) fn exit(&mut self, exit: drain::Exit, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.has_exited, true) {
            out.push(Action::Record(Record::ProcessStopped { exit }));
            out.push(Action::Exit(exit));
        }
    }

    /// Suspends task starts if the process was paused, because its view of the peers may be
    /// outdated.
    fn detect_pause(&mut self, now: Instant, out: &mut Vec<Action>) {
        let gap = now.saturating_duration_since(self.last_wakeup);
        self.last_wakeup = now;
        if gap > MIN_PAUSE {
            let gap_ms = u64::try_from(gap.as_millis()).unwrap_or(u64::MAX);
            out.push(Action::Record(Record::ProcessPaused { gap_ms }));
            let after_round = self.membership.round_number();
            self.suspension = Some(Suspension { until: now + MAX_SUSPENSION, after_round });
            self.next_heartbeat = now;
        }
    }

    /// Does the periodic work.
    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK_INTERVAL;
        if self.suspension.is_some_and(|suspension| suspension.until <= now) {
            self.resume_starts(out);
        }
        self.reserve.sample();
        self.registry.prune(now);
        if self.departures.expire(now) {
            self.stewardship_inputs = None;
        }
        self.report_load(out);
        let probed = self.pool.probe(now);
        out.extend(
            probed.into_iter().map(|target| Action::Record(Record::TargetProbed { target })),
        );
    }

    /// Reports the load if it has changed.
    fn report_load(&mut self, out: &mut Vec<Action>) {
        let load = Load {
            open_submissions: self.registry.open_count(),
            waiting_tasks: self.queue.len(),
            running_tasks: self.pool.busy(),
            usable_slots: self.pool.own_usable(),
            free_slots: self.pool.own_free(),
            borrowed_slots: self.pool.borrowed(),
            peers: self.membership.iter().count(),
        };
        if load != self.reported_load {
            self.reported_load = load;
            out.push(Action::ReportLoad(load));
        }
    }

    /// Publishes a snapshot if it has changed.
    fn publish(&mut self, out: &mut Vec<Action>) {
        let snapshot = self.snapshot();
        if snapshot != self.published {
            self.published = snapshot.clone();
            out.push(Action::Publish(snapshot));
        }
    }

    /// Schedules the next round of heartbeats.
    pub(super) fn schedule_heartbeat(&mut self, now: Instant) {
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
    }
}
