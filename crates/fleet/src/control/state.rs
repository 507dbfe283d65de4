//! The control state and its entry points.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::clock::Clock;
use coltsfootshunt_core::name::Host;

use super::{Action, Backlog, Event, JobState, Request, Response, Snapshot};
use crate::admission;
use crate::cancel;
use crate::config;
use crate::crash;
use crate::density;
use crate::directory;
use crate::evacuation;
use crate::job::{self, Completion, Id, Outcome, RequestId};
use crate::lease::Issuer;
use crate::member::{Contacts, Identity, Membership, PEER_TIMEOUT};
use crate::peer::{Ack, Batch, Inbox, Message, Receipt};
use crate::repeat;
use crate::report::Record;
use crate::speed;
use crate::steward::{self, Steward};
use crate::store;

/// Interval of periodic work: timeouts, heartbeats and leases.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest gap between two wakeups that counts as a pause of the process. A host that runs at a
/// fifth of its speed stays below it.
const MIN_PAUSE: Duration = Duration::from_millis(700);
/// Time before the end of a planned stop at which the jobs that are still open are answered. It covers the
/// cancellation of their runs, so that repeats elsewhere don't run beside them.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);
/// Shortest duration of a planned stop, so that all hosts learn that this one is leaving.
const MIN_STOP_DURATION: Duration = Duration::from_millis(1_200);

/// Settings of the control state, fixed at startup.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Identity of this host.
    pub identity: Identity,
    /// Addresses of hosts to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Settings of the steward: the lease term and the penalty for remote work.
    pub steward: steward::Settings,
    /// Longest duration of a planned stop.
    pub stop_timeout: Duration,
    /// Age of the list of targets above which this host reads it anew before it claims a zone.
    pub max_targets_age: Duration,
    /// Targets per core of a steward's host, above which a dense zone has more stewards from the start. Otherwise only
    /// a backlog shows that one needs help.
    pub targets_per_core: usize,
    /// Evacuation of zones, and cold targets.
    pub evacuation: evacuation::Settings,
}

/// Control state of a host.
pub struct State {
    pub(super) settings: Settings,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) membership: Membership,
    pub(super) inbox: Inbox,
    pub(super) config: config::Current,
    pub(super) directory: directory::Directory,
    pub(super) dense_zones: density::Zones,
    pub(super) evacuations: evacuation::Register,
    /// Peers that know the evacuated zones in this version of the register.
    pub(super) told_evacuations: BTreeMap<Host, u64>,
    /// What the members of the zone's split were told last.
    pub(super) told: super::shares::Told,
    pub(super) backlog: Backlog,
    pub(super) jobs: job::Registry,
    pub(super) classifier: job::Classifier,
    /// Jobs with tasks for which no steward was available.
    pub(super) stalled: BTreeSet<Id>,
    pub(super) steward: Steward,
    pub(super) crashes: crash::Ledger,
    /// Jobs that were given up while their runs were at work.
    pub(super) repeats: repeat::Register,
    /// Jobs that were given up, with their stewards, of which the peers have not been told.
    pub(super) unsettled_news: Vec<(Id, Vec<Host>)>,
    /// Jobs of which nothing runs here any more, of which the peers have not been told.
    pub(super) settled_news: Vec<Id>,
    /// Jobs of which cancelled attempts may run here.
    pub(super) settling: BTreeSet<Id>,
    /// Jobs that callers have cancelled.
    pub(super) cancelled: cancel::Register,
    /// News of lost runs to send to all peers.
    pub(super) unshared_losses: VecDeque<crash::Loss>,
    /// Number of losses that may still be sent before the next periodic work.
    pub(super) losses_per_tick: usize,
    /// Peers that have been sent the losses known before.
    pub(super) informed: BTreeSet<Host>,
    /// Entries sent last to each steward that lacks the store.
    pub(super) relayed: BTreeMap<Host, Vec<directory::Entry>>,
    pub(super) speeds: speed::Estimator,
    pub(super) issuer: Issuer,
    /// Addresses of hosts that this host knows of but does not hear.
    pub(super) contacts: Contacts,
    pub(super) last_speeds_sent: Option<Instant>,
    /// Time of the last speeds sent to hosts of other zones.
    pub(super) last_remote_speeds_sent: Option<Instant>,
    pub(super) last_config_request: Option<Instant>,
    /// Since when a peer is known to have a newer configuration than this host.
    pub(super) outdated_since: Option<Instant>,
    /// Whether the store did not respond the last time.
    pub(super) is_store_lost: bool,
    /// Time of the last list of targets that was not stale.
    pub(super) targets_read_at: Option<Instant>,
    /// Since when this host waits for the list of targets before it claims a zone.
    pub(super) awaits_targets_since: Option<Instant>,
    /// Number of unreadable entries in the last list of targets.
    pub(super) unreadable_targets: usize,
    /// Unreadable store entries that were logged already, so that each is logged only once.
    pub(super) reported_targets: store::Reported,
    pub(super) reported_hosts: store::Reported,
    pub(super) reported_configuration: store::Reported,
    /// Completions to send, by owner.
    pub(super) completions: BTreeMap<Host, Vec<Completion>>,
    pub(super) actions: Vec<Action>,
    snapshot: Snapshot,
    last_tick: Instant,
    /// When the next job is due for its answer, if that is before the next periodic work.
    pub(super) next_due: Option<Instant>,
    /// Uptime at the last check for a pause.
    last_uptime: Duration,
    stopping_since: Option<Instant>,
    /// Whether a second stop request came, which ends the process at once.
    must_exit: bool,
}

impl State {
    /// Creates the state of a host that knows only its settings.
    #[must_use]
    pub fn new(settings: Settings, clock: Arc<dyn Clock>) -> Self {
        let now = clock.now();
        let last_uptime = clock.uptime();
        let mut contacts = Contacts::default();
        for seed in &settings.seeds {
            // There is room for all seeds of a settings file.
            contacts.add(*seed, true, now);
        }
        Self {
            membership: Membership::new(settings.identity.clone(), now),
            inbox: Inbox::default(),
            config: config::Current::default(),
            directory: directory::Directory::default(),
            dense_zones: density::Zones::default(),
            evacuations: evacuation::Register::default(),
            told_evacuations: BTreeMap::new(),
            told: super::shares::Told::default(),
            backlog: Backlog::default(),
            jobs: job::Registry::default(),
            classifier: job::Classifier::default(),
            stalled: BTreeSet::new(),
            steward: Steward::new(settings.steward).with_cold_limit(settings.evacuation.cold_limit),
            crashes: crash::Ledger::default(),
            repeats: repeat::Register::new(settings.steward.term.resend_after),
            unsettled_news: Vec::new(),
            settled_news: Vec::new(),
            settling: BTreeSet::new(),
            cancelled: cancel::Register::default(),
            unshared_losses: VecDeque::new(),
            losses_per_tick: 0,
            informed: BTreeSet::new(),
            relayed: BTreeMap::new(),
            speeds: speed::Estimator::default(),
            issuer: Issuer::new(settings.identity.incarnation),
            contacts,
            last_speeds_sent: None,
            last_remote_speeds_sent: None,
            last_config_request: None,
            outdated_since: None,
            is_store_lost: false,
            targets_read_at: None,
            awaits_targets_since: None,
            unreadable_targets: 0,
            reported_targets: store::Reported::default(),
            reported_hosts: store::Reported::default(),
            reported_configuration: store::Reported::default(),
            completions: BTreeMap::new(),
            actions: Vec::new(),
            snapshot: Snapshot::default(),
            last_tick: now,
            next_due: None,
            last_uptime,
            stopping_since: None,
            must_exit: false,
            settings,
            clock,
        }
    }

    /// Time of the next periodic work.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        let tick = self.last_tick + TICK_INTERVAL;
        self.next_due.map_or(tick, |due| due.min(tick))
    }

    /// Detects a pause of the process and drops the state that is outdated after it. Must run
    /// before events are handled.
    pub fn detect_pause(&mut self) {
        let uptime = self.clock.uptime();
        let gap = uptime.saturating_sub(self.last_uptime);
        self.last_uptime = uptime;
        if gap > MIN_PAUSE {
            self.handle_pause(gap);
        }
    }

    /// Records that all events which came before a time have been handled, but for the next one.
    pub fn set_handled_until(&mut self, at: Instant) {
        self.membership.set_handled_until(at);
    }

    /// Sets how far the control thread is behind. Must run before events are handled.
    pub fn set_backlog(&mut self, backlog: Backlog) {
        self.backlog = backlog;
        let effect = (backlog.wait(), backlog.stops_new_tasks());
        self.steward.precedence_mut().set_backlog(backlog.age(), effect, self.clock.now());
    }

    /// Whether lines for each task are counted instead of written.
    #[must_use]
    pub fn drops_records(&self) -> bool {
        self.is_in_dense_zone() && self.backlog.drops_records()
    }

    /// Wait that the backlog of this host adds to that of the jobs it admits.
    pub(super) fn own_wait(&self) -> Duration {
        if self.is_in_dense_zone() { self.backlog.wait() } else { Duration::ZERO }
    }

    /// Wait that a job can take at least, see [`admission::min_slack`].
    pub(super) fn min_slack(&self, run: Duration, timeout: Duration) -> Duration {
        let is_dense = self.is_in_dense_zone();
        if is_dense { admission::min_slack(run, timeout) } else { Duration::ZERO }
    }

    fn is_in_dense_zone(&self) -> bool {
        self.dense_zones.contains(&self.membership.me().zone)
    }

    /// Handles an event; [`Self::advance`] returns the resulting actions.
    pub fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Request(request_id, request) => self.handle_request(request_id, request, now),
            Event::CallerLeft(id, request_id) => self.caller_left(&id, request_id, now),
            Event::TargetResponded(call, response) => self.target_responded(&call, response, now),
            Event::SessionLost { address, refused } => self.session_lost(address, refused, now),
            Event::Store(update) => self.handle_store_update(update, now),
            Event::Stop => self.begin_stop(now),
            Event::SettingsReloaded(fault) => {
                self.record(Record::SettingsReloaded { error: fault })
            }
        }
    }

    /// Runs the work that is due and returns all actions since the last call.
    pub fn advance(&mut self) -> Vec<Action> {
        let now = self.clock.now();
        if now.duration_since(self.last_tick) >= TICK_INTERVAL {
            self.last_tick = now;
            self.tick(now);
        } else if self.next_due.is_some_and(|due| now >= due) {
            self.close_overdue(now);
        }
        self.retry_stalled(now);
        self.start_tasks(now);
        self.share_losses();
        self.share_runs();
        self.send_completions(now);
        self.publish(now);
        self.finish_stop(now);
        std::mem::take(&mut self.actions)
    }

    fn tick(&mut self, now: Instant) {
        self.maintain_peers(now);
        self.maintain_evacuations(now);
        self.maintain_targets(now);
        self.maintain_jobs(now);
        self.expire_losses(now);
        self.maintain_cancels(now);
        self.maintain_repeats(now);
        self.inform_peers();
        self.send_heartbeats(now);
    }

    fn handle_request(&mut self, request_id: RequestId, request: Request, now: Instant) {
        let response = match request {
            Request::Submit(submission) => return self.submit(request_id, &submission, now),
            Request::JobState(id) => Response::JobState(self.job_state(&id)),
            Request::Cancel(id) => return self.cancel(&id, request_id, now),
            Request::PendingJobs(kind) => Response::PendingJobs(self.jobs.unstarted(&kind)),
            Request::Deliver(batch) if self.is_stale(&batch, now) => {
                Response::Ack(Ack::SessionLost)
            }
            Request::Deliver(batch) => Response::Ack(match self.inbox.receive(&batch) {
                Receipt::Acknowledge(ack) => ack,
                Receipt::Process { is_new_session } => {
                    self.record_contact(&batch.from, is_new_session, now);
                    for message in batch.messages {
                        self.handle_message(&batch.from, message, now);
                    }
                    Ack::Accepted
                }
            }),
            Request::Dump => Response::Dump(self.dump(now)),
        };
        self.actions.push(Action::Respond(request_id, response));
    }

    /// Whether a batch belongs to a session that this host has given up. A network partition
    /// delayed the batch, and its sender has since responded to the callers of the jobs in it.
    ///
    /// The silence of a peer that is not watched closely says nothing. Such a peer sends a batch without
    /// messages ahead of those on jobs.
    fn is_stale(&self, batch: &Batch, now: Instant) -> bool {
        let known = self.membership.peer(&batch.from.host);
        let Some(peer) = known.filter(|peer| peer.identity == batch.from) else {
            return false;
        };
        let is_about_jobs = batch.messages.iter().any(Message::is_about_jobs);
        let ends_by_silence =
            is_about_jobs || !peer.is_alive || self.membership.is_watched_closely(peer);
        batch.sequence > 1 && ends_by_silence && now.duration_since(peer.last_heard) > PEER_TIMEOUT
    }

    fn job_state(&self, id: &Id) -> Option<JobState> {
        if let Some(open) = self.jobs.get(id) {
            return Some(if open.may_have_started { JobState::Running } else { JobState::Queued });
        }
        if self.cancelled.was_known(id) {
            return Some(JobState::Cancelled);
        }
        match self.jobs.outcome(id)? {
            Outcome::Completed => Some(JobState::Completed),
            Outcome::Failed => Some(JobState::Failed),
            Outcome::Cancelled => Some(JobState::Cancelled),
            Outcome::Refused { .. } | Outcome::Unknown => None,
        }
    }

    fn begin_stop(&mut self, now: Instant) {
        if self.stopping_since.is_some() {
            // A second request ends the process at once.
            self.must_exit = true;
            return;
        }
        self.record(Record::Stopping);
        self.stopping_since = Some(now);
        self.membership.is_stopping = true;
        self.membership.announce();
        self.maintain_peers(now);
        self.send_heartbeats(now);
    }

    fn finish_stop(&mut self, now: Instant) {
        let Some(since) = self.stopping_since else {
            return;
        };
        let elapsed = now.duration_since(since);
        if elapsed + LAST_ANSWERS_TIME >= self.settings.stop_timeout {
            self.give_up_all_jobs("this host stops", now);
            self.answer_parked();
        }
        let is_idle = self.jobs.is_empty()
            && !self.repeats.has_parked()
            && self.steward.is_idle()
            && elapsed >= MIN_STOP_DURATION;
        if is_idle || elapsed >= self.settings.stop_timeout || self.must_exit {
            self.record(Record::ProcessStopped { open_jobs: self.jobs.len() });
            self.actions.push(Action::Exit);
        }
    }

    /// Gives up all jobs, releases the targets and ends all sessions, because what this host knows
    /// of the other hosts is outdated.
    fn handle_pause(&mut self, gap: Duration) {
        let now = self.clock.now();
        self.record(Record::ProcessPaused { pause: gap });
        self.evacuations.set_outdated();
        self.give_up_all_jobs("this host was paused", now);
        self.give_up_parked();
        let mut output = steward::Output::default();
        self.steward.release_targets(&mut output);
        self.add_losses(std::mem::take(&mut output.losses), now);
        self.apply_output(output, now);
        // The sessions end, and what was sent in them is void.
        self.completions.clear();
        let addresses: Vec<SocketAddr> =
            self.membership.alive().map(|peer| peer.identity.address).collect();
        self.actions.extend(addresses.into_iter().map(Action::Disconnect));
        self.membership.reset_after_pause(now);
        // The silence of the peers during the pause is not known, so neither is the age of their batches.
        self.inbox.end_sessions();
    }

    /// Publishes a snapshot if it has changed.
    fn publish(&mut self, now: Instant) {
        let has_steward = self.has_steward();
        let is_isolated = self.membership.is_isolated(now) && !self.membership.serves_targets();
        let is_closing_connections = self.stopping_since.is_some() || is_isolated;
        let snapshot = Snapshot {
            document: self.config.document().cloned(),
            is_ready: self.config.document().is_some() && has_steward && !is_closing_connections,
            is_closing_connections,
            is_steward: self.membership.serves_targets() || self.membership.is_member(),
            knows_targets: !self.directory.is_empty(),
            awaits_targets: self.awaits_targets_since.is_some(),
            doubted_notice: self.evacuations.doubted(),
        };
        let is_same = |a: &Snapshot, b: &Snapshot| {
            a.document.as_ref().map(|one| one.version) == b.document.as_ref().map(|one| one.version)
                && (a.is_ready, a.is_closing_connections, a.is_steward, a.knows_targets)
                    == (b.is_ready, b.is_closing_connections, b.is_steward, b.knows_targets)
                && (a.awaits_targets, a.doubted_notice) == (b.awaits_targets, b.doubted_notice)
        };
        if !is_same(&snapshot, &self.snapshot) {
            self.snapshot = snapshot.clone();
            self.actions.push(Action::Publish(snapshot));
        }
    }

    pub(super) fn send(&mut self, to: SocketAddr, message: Message) {
        self.actions.push(Action::Send(to, message));
    }

    pub(super) fn record(&mut self, record: Record) {
        self.actions.push(Action::Record(record));
    }
}
