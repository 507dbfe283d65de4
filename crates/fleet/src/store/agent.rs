//! Watches the store and reports its content to the control thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::time::Instant;

use super::{Change, Error, Listing, Replica, Store, Update};
use crate::control::{Event, Handle};
use crate::evacuation::Reading;
use crate::member::Identity;

/// Longest wait of one watch of the configuration. A dead connection is noticed only after it, so it
/// is below the time within which a new configuration must be in force.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(1_200);
/// Longest time between two responses of the store with the targets at a steward, as a share of the time for which
/// a draining target may still get tasks: two responses fit into that time, and leave some of it for a slow one.
const STEWARD_TARGETS_SHARE: f64 = 0.35;
/// Bounds of that time, whatever the settings say.
const MIN_TARGETS_INTERVAL: Duration = Duration::from_millis(200);
const MAX_TARGETS_INTERVAL: Duration = Duration::from_secs(2);
/// Pause between watches of the targets at a steward, as a part of that time. Each watch
/// brings what has changed meanwhile: fewer calls than one for each change, and no long transfers.
const WATCH_PAUSE_SHARE: f64 = 0.3;
/// Interval between reads of all targets at a steward. The changes should have told it all; this limits the harm of
/// a store that loses one.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(20);
/// Interval between reads of the targets at hosts that are no steward. They use the list only to know which
/// zones have targets, and read it before they become one.
const NON_STEWARD_TARGETS_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between checks whether this host needs the list sooner.
const NEED_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between reads of the registered hosts, and of the targets at hosts that are no steward, during
/// [`DISCOVERY_TIME`].
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(2_500);
/// Time from the start of the process after which the hosts and targets of its fleet have registered. A host that
/// comes later finds the others in the store and contacts them.
const DISCOVERY_TIME: Duration = Duration::from_secs(15);
/// Interval between reads of the registered hosts after that.
const HOSTS_INTERVAL: Duration = Duration::from_secs(10);
/// Delay after a failed call, and between reads while there is no configuration.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Longest time between two responses of the store with the targets at a steward, where a draining target may still
/// get tasks for `drain`.
#[must_use]
pub fn targets_interval(drain: Duration) -> Duration {
    drain.mul_f64(STEWARD_TARGETS_SHARE).clamp(MIN_TARGETS_INTERVAL, MAX_TARGETS_INTERVAL)
}

/// Interval between reads of the targets at a host that is no steward and runs for `uptime`. When a whole fleet
/// starts, an early list lacks targets, and a zone that seems to have none gets no steward.
#[must_use]
pub(super) fn list_interval(uptime: Duration) -> Duration {
    if uptime < DISCOVERY_TIME { DISCOVERY_INTERVAL } else { NON_STEWARD_TARGETS_INTERVAL }
}

/// Reads the store periodically and registers this host in it.
pub struct Agent {
    store: Arc<dyn Store>,
    control: Handle,
    is_unreachable: AtomicBool,
    /// Longest time between two responses of the store with the targets at a steward.
    targets_interval: Duration,
}

impl Agent {
    /// Spawns the tasks on the current Tokio runtime. They end with the control thread. `drain` is the time
    /// for which a draining target may still get tasks.
    pub fn start(store: Arc<dyn Store>, control: Handle, identity: Identity, drain: Duration) {
        let agent = Arc::new(Self {
            store,
            control,
            is_unreachable: AtomicBool::new(false),
            targets_interval: targets_interval(drain),
        });
        tokio::spawn(Arc::clone(&agent).watch_config());
        tokio::spawn(Arc::clone(&agent).poll_targets());
        tokio::spawn(agent.poll_hosts(identity));
    }

    async fn watch_config(self: Arc<Self>) {
        let mut revision_seen = 0;
        while !self.control.is_closed() {
            // A watch may lag; a read in full tells whether a peer's notice is true.
            let doubted = self.control.snapshot().doubted_notice;
            if doubted.is_some() {
                revision_seen = 0;
            }
            match self
                .report_availability(self.store.watch_config(revision_seen, MAX_WATCH_WAIT).await)
                .await
            {
                Ok(Change { document, unreadable, revision, evacuations }) => {
                    revision_seen = revision;
                    if let Some(reading) = evacuations {
                        let checks = doubted.filter(|_| reading.is_complete);
                        self.send(Update::Evacuations(Reading { checks, ..reading })).await;
                    }
                    if let Some(unreadable) = unreadable {
                        self.send(Update::Unreadable(unreadable)).await;
                    }
                    if let Some(document) = document {
                        self.send(Update::Document(document)).await;
                    }
                    if revision_seen == 0 || doubted.is_some() {
                        // There is no configuration to watch yet, or the control thread must handle the check.
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                }
                Err(_) => {
                    // The history may have been compacted: start with a full read.
                    revision_seen = 0;
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn poll_targets(self: Arc<Self>) {
        let started = Instant::now();
        while !self.control.is_closed() {
            if self.needs_targets() {
                self.follow_targets().await;
            } else {
                match self.report_availability(self.store.list_targets(true).await).await {
                    Ok(targets) => {
                        self.send(Update::Targets(Listing { is_stale: true, ..targets })).await;
                    }
                    Err(_) => {
                        tokio::time::sleep(RETRY_DELAY).await;
                        continue;
                    }
                }
            }
            self.wait_until_needed(list_interval(started.elapsed())).await;
        }
    }

    /// Whether this host acts on the present state of the targets.
    fn needs_targets(&self) -> bool {
        let snapshot = self.control.snapshot();
        snapshot.is_steward || snapshot.awaits_targets || !snapshot.knows_targets
    }

    /// Reads all targets and then their changes, for as long as this host needs them.
    async fn follow_targets(&self) {
        let pause = self.targets_interval.mul_f64(WATCH_PAUSE_SHARE);
        let max_wait = self.targets_interval - pause;
        let mut replica = Replica::default();
        let mut read_at: Option<Instant> = None;
        while !self.control.is_closed() && self.needs_targets() {
            let is_recent = read_at.is_some_and(|at| at.elapsed() < FULL_READ_INTERVAL);
            let result = if is_recent && replica.revision() > 0 {
                self.store.watch_targets(replica.revision(), max_wait).await
            } else {
                replica = Replica::default();
                read_at = Some(Instant::now());
                self.store.read_targets(false).await.map(Some)
            };
            match self.report_availability(result).await {
                Ok(Some(changes)) => {
                    replica.apply(changes);
                    self.send(Update::Targets(replica.listing())).await;
                }
                Ok(None) => read_at = None,
                Err(error) => {
                    // Without a response the copy is as good as before, and changes continue from it.
                    if error == Error::Unreadable || replica.revision() == 0 {
                        read_at = None;
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                    continue;
                }
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Waits until the time is over or this host needs the list.
    async fn wait_until_needed(&self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.needs_targets() {
                return;
            }
            tokio::time::sleep(NEED_CHECK_INTERVAL).await;
        }
    }

    async fn poll_hosts(self: Arc<Self>, identity: Identity) {
        let started = Instant::now();
        let mut is_registered = false;
        while !self.control.is_closed() {
            if !is_registered {
                is_registered =
                    self.report_availability(self.store.register(&identity).await).await.is_ok();
            }
            let pause = match self.report_availability(self.store.list_hosts().await).await {
                Ok(hosts) => {
                    // The registration may have been deleted from the store.
                    is_registered &= hosts.entries.contains(&identity);
                    self.send(Update::Hosts(hosts)).await;
                    let is_new = started.elapsed() < DISCOVERY_TIME;
                    if is_new { DISCOVERY_INTERVAL } else { HOSTS_INTERVAL }
                }
                Err(_) => RETRY_DELAY,
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Reports a change in whether the store responds.
    async fn report_availability<T>(&self, result: Result<T, Error>) -> Result<T, Error> {
        let error = result.as_ref().err().copied();
        if self.is_unreachable.swap(error.is_some(), Ordering::Relaxed) != error.is_some() {
            self.send(error.map_or(Update::Regained, Update::Lost)).await;
        }
        result
    }

    async fn send(&self, update: Update) {
        // An error means that the control thread has ended, and the loops end with it.
        let _ = self.control.send(Event::Store(update)).await;
    }
}
