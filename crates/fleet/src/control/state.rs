//! The state and its entry points.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::clock::Clock;

use super::{Action, Event, JobState, Request, Response, Snapshot};
use crate::config;
use crate::directory;
use crate::job::{self, Id, Outcome, RequestId};
use crate::lease::Issuer;
use crate::member::{Identity, Membership, PEER_TIMEOUT};
use crate::peer::{Ack, Batch, Inbox, Message, Receipt};
use crate::report::Record;
use crate::speed;
use crate::steward::{self, Steward};
use crate::store;

/// Time between looks at everything that has no event of its own.
pub(super) const TICK: Duration = Duration::from_millis(50);
/// Gap between two looks from which the process counts as having been stopped. A host that runs at
/// a fifth of its speed stays below it.
const PAUSED_FOR: Duration = Duration::from_millis(700);
/// Shortest time for which a stopping host goes on, so that all have heard that it leaves.
const LEAVE_AFTER: Duration = Duration::from_millis(1_200);

/// What the host starts with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Who it is.
    pub identity: Identity,
    /// Addresses of hosts to ask for others.
    pub seeds: Vec<SocketAddr>,
    /// What the platform says of targets.
    pub steward: steward::Settings,
    /// Longest time of a planned stop.
    pub stop_timeout: Duration,
}

/// All slices.
pub struct State {
    pub(super) settings: Settings,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) membership: Membership,
    pub(super) inbox: Inbox,
    pub(super) config: config::Current,
    pub(super) directory: directory::Directory,
    pub(super) jobs: job::Registry,
    pub(super) classifier: job::Classifier,
    /// Jobs with tasks that have found no steward.
    pub(super) stalled: BTreeSet<Id>,
    pub(super) steward: Steward,
    pub(super) speeds: speed::Estimator,
    pub(super) issuer: Issuer,
    /// Addresses that others gave and that have not been heard yet.
    pub(super) contacts: BTreeSet<SocketAddr>,
    pub(super) beaten: Option<Instant>,
    pub(super) contacted: Option<Instant>,
    pub(super) taught: Option<Instant>,
    pub(super) asked: Option<Instant>,
    /// Entries of the last list of targets that could not be read.
    pub(super) unreadable: usize,
    /// What was told of entries that can't be read.
    pub(super) reported_targets: store::Reported,
    pub(super) reported_hosts: store::Reported,
    pub(super) reported_configuration: store::Reported,
    pub(super) out: Vec<Action>,
    snapshot: Snapshot,
    ticked: Instant,
    looked: Duration,
    stopping: Option<Instant>,
    ended: bool,
}

impl State {
    /// A host that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, clock: Arc<dyn Clock>) -> Self {
        let now = clock.now();
        let looked = clock.uptime();
        Self {
            membership: Membership::new(settings.identity.clone(), now),
            inbox: Inbox::default(),
            config: config::Current::default(),
            directory: directory::Directory::default(),
            jobs: job::Registry::default(),
            classifier: job::Classifier::default(),
            stalled: BTreeSet::new(),
            steward: Steward::new(settings.steward),
            speeds: speed::Estimator::default(),
            issuer: Issuer::new(settings.identity.incarnation),
            contacts: settings.seeds.iter().copied().collect(),
            beaten: None,
            contacted: None,
            taught: None,
            asked: None,
            unreadable: 0,
            reported_targets: store::Reported::default(),
            reported_hosts: store::Reported::default(),
            reported_configuration: store::Reported::default(),
            out: Vec::new(),
            snapshot: Snapshot::default(),
            ticked: now,
            looked,
            stopping: None,
            ended: false,
            settings,
            clock,
        }
    }

    /// When to look again if nothing happens.
    #[must_use]
    pub fn next_wake(&self) -> Instant {
        self.ticked + TICK
    }

    /// Notices that the process was stopped, before anything is done on an old view.
    pub fn detect_pause(&mut self) {
        let uptime = self.clock.uptime();
        let gap = uptime.saturating_sub(self.looked);
        self.looked = uptime;
        if gap > PAUSED_FOR {
            self.paused(gap);
        }
    }

    /// Takes an event in.
    pub fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Request(request_id, request) => self.request(request_id, request, now),
            Event::CallerLeft(id, request_id) => self.left(&id, request_id, now),
            Event::TargetResponded(call, answer) => self.called(&call, answer, now),
            Event::SessionLost { address, refused } => self.link_lost(address, refused, now),
            Event::Store(news) => self.news(news, now),
            Event::Stop => self.stop(now),
            Event::SettingsReloaded(fault) => self.note(Record::SettingsReloaded { fault }),
        }
    }

    /// Draws the consequences of all events since the last call.
    pub fn advance(&mut self) -> Vec<Action> {
        let now = self.clock.now();
        if now.duration_since(self.ticked) >= TICK {
            self.ticked = now;
            self.tick(now);
        }
        self.push_stalled(now);
        self.work(now);
        self.publish(now);
        self.finish_stop(now);
        std::mem::take(&mut self.out)
    }

    fn tick(&mut self, now: Instant) {
        self.tend_members(now);
        self.tend_targets(now);
        self.tend_jobs(now);
        self.beat(now);
    }

    fn request(&mut self, request_id: RequestId, request: Request, now: Instant) {
        let response = match request {
            Request::Submit(submission) => return self.submit(request_id, &submission, now),
            Request::JobState(id) => Response::JobState(self.job_state(&id)),
            Request::Cancel(id) => Response::Cancelled(self.cancel(&id, now)),
            Request::PendingJobs(kind) => Response::PendingJobs(self.jobs.unstarted(&kind)),
            Request::Deliver(batch) if self.is_over(&batch, now) => Response::Ack(Ack::SessionLost),
            Request::Deliver(batch) => Response::Ack(match self.inbox.receive(&batch) {
                Receipt::Acknowledge(ack) => ack,
                Receipt::Process { is_new_session } => {
                    self.hear(&batch.from, is_new_session, now);
                    for message in batch.messages {
                        self.message(&batch.from, message, now);
                    }
                    Ack::Accepted
                }
            }),
            Request::Dump => Response::Dump(self.dump(now)),
        };
        self.out.push(Action::Respond(request_id, response));
    }

    /// Whether a batch belongs to a session that this host has given up: a cut held it up, and its sender
    /// has answered the callers of what is in it.
    fn is_over(&self, batch: &Batch, now: Instant) -> bool {
        let known =
            self.membership.peer(&batch.from.host).filter(|peer| peer.identity == batch.from);
        batch.sequence > 1
            && known.is_some_and(|peer| now.duration_since(peer.last_heard) > PEER_TIMEOUT)
    }

    fn job_state(&self, id: &Id) -> Option<JobState> {
        if let Some(open) = self.jobs.get(id) {
            return Some(if open.may_have_started { JobState::Running } else { JobState::Queued });
        }
        match self.jobs.outcome(id)? {
            Outcome::Completed => Some(JobState::Completed),
            Outcome::Failed => Some(JobState::Failed),
            Outcome::Refused { .. } | Outcome::Unknown => None,
        }
    }

    fn stop(&mut self, now: Instant) {
        if self.stopping.is_some() {
            // Asked twice: at once.
            self.ended = true;
            return;
        }
        self.note(Record::Stopping);
        self.stopping = Some(now);
        self.membership.is_stopping = true;
        self.beaten = None;
        self.tend_members(now);
        self.beat(now);
    }

    fn finish_stop(&mut self, now: Instant) {
        let Some(since) = self.stopping else {
            return;
        };
        let spent = now.duration_since(since);
        let idle = self.jobs.is_empty() && self.steward.is_idle() && spent >= LEAVE_AFTER;
        if idle || spent >= self.settings.stop_timeout || self.ended {
            self.note(Record::ProcessStopped { open: self.jobs.len() });
            self.out.push(Action::Exit);
        }
    }

    fn paused(&mut self, gap: Duration) {
        let now = self.clock.now();
        self.note(Record::ProcessPaused { gap });
        self.give_up_all(now);
        let mut out = steward::Output::default();
        self.steward.release_targets(&mut out);
        self.deliver(out, now);
        let addresses: Vec<SocketAddr> =
            self.membership.alive().map(|peer| peer.identity.address).collect();
        self.out.extend(addresses.into_iter().map(Action::Disconnect));
        self.membership.reset_after_pause(now);
    }

    fn publish(&mut self, now: Instant) {
        let led = self.is_led();
        let isolated = self.membership.is_isolated(now) && self.membership.claims.is_empty();
        let is_closing_connections = self.stopping.is_some() || isolated;
        let snapshot = Snapshot {
            document: self.config.document().cloned(),
            is_ready: self.config.document().is_some() && led && !is_closing_connections,
            is_closing_connections,
            is_steward: !self.membership.claims.is_empty(),
            knows_targets: !self.directory.is_empty(),
        };
        let same = |a: &Snapshot, b: &Snapshot| {
            a.document.as_ref().map(|one| one.version) == b.document.as_ref().map(|one| one.version)
                && (a.is_ready, a.is_closing_connections, a.is_steward, a.knows_targets)
                    == (b.is_ready, b.is_closing_connections, b.is_steward, b.knows_targets)
        };
        if !same(&snapshot, &self.snapshot) {
            self.snapshot = snapshot.clone();
            self.out.push(Action::Publish(snapshot));
        }
    }

    pub(super) fn send(&mut self, to: SocketAddr, message: Message) {
        self.out.push(Action::Send(to, message));
    }

    pub(super) fn note(&mut self, note: Record) {
        self.out.push(Action::Note(note));
    }

    fn dump(&self, now: Instant) -> serde_json::Value {
        let age = |at: Instant| now.duration_since(at).as_millis() as u64;
        let claims = self
            .membership
            .claims
            .iter()
            .map(|claim| serde_json::json!({ "zone": claim.zone, "token": claim.token }));
        let claims: Vec<_> = claims.collect();
        let peers = self.membership.peers().map(|peer| {
            serde_json::json!({
                "host": peer.identity.host, "zone": peer.identity.zone, "alive": peer.is_alive,
                "heard_ms_ago": age(peer.last_heard), "beat": peer.heartbeat,
            })
        });
        let peers: Vec<_> = peers.collect();
        let targets = self.steward.trackers().map(|picture| {
            serde_json::json!({
                "target": picture.entry.name, "state": picture.entry.state, "phase": format!("{:?}", picture.phase),
                "free": picture.available(now), "attempts": picture.attempts().count(),
                "slowness": self.speeds.slowness(&picture.entry.name, now),
            })
        });
        let targets: Vec<_> = targets.collect();
        serde_json::json!({
            "me": self.membership.me(),
            "claims": claims,
            "isolated": self.membership.is_isolated(now),
            "configuration": self.config.version(),
            "targets_known": self.directory.iter().count(),
            "targets_read_ms_ago": self.directory.read_at().map(age),
            "open_jobs": self.jobs.len(),
            "waiting_tasks": self.steward.queued(),
            "peers": peers,
            "targets": targets,
            "learned": self.speeds,
        })
    }
}
