//! Keeps the control state informed of what the store holds.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use super::{Change, Error, Store, Update};
use crate::control::{Event, Handle};
use crate::member::Identity;

/// Longest wait of one watch of the configuration. A connection that went silent is noticed after
/// it, so it is below the time in which a configuration must be in force.
const WATCH_WAIT: Duration = Duration::from_millis(1_200);
/// Time between reads of the list of targets at a steward: half the time in which a draining
/// target may still get work.
const STEWARD_READS_EVERY: Duration = Duration::from_millis(700);
/// Time between reads of the list of targets at other hosts.
const OTHERS_READ_EVERY: Duration = Duration::from_millis(2_500);
/// Time between reads of the list of hosts.
const HOSTS_EVERY: Duration = Duration::from_millis(2_500);
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(300);

/// Reads the store.
pub struct Agent {
    store: Arc<dyn Store>,
    control: Handle,
    lost: AtomicBool,
}

impl Agent {
    /// Starts reading on the current runtime.
    pub fn start(store: Arc<dyn Store>, control: Handle, identity: Identity) {
        let agent = Arc::new(Self { store, control, lost: AtomicBool::new(false) });
        tokio::spawn(Arc::clone(&agent).follow_document());
        tokio::spawn(Arc::clone(&agent).follow_targets());
        tokio::spawn(agent.follow_hosts(identity));
    }

    async fn follow_document(self: Arc<Self>) {
        let mut known = 0;
        while !self.control.is_closed() {
            match self.noted(self.store.watch_config(known, WATCH_WAIT).await).await {
                Ok(Change { document, unreadable, revision }) => {
                    known = revision;
                    if let Some(unreadable) = unreadable {
                        self.tell(Update::Unreadable(unreadable)).await;
                    }
                    if let Some(document) = document {
                        self.tell(Update::Document(document)).await;
                    }
                    if known == 0 {
                        // There is nothing to watch yet.
                        tokio::time::sleep(PAUSE).await;
                    }
                }
                Err(_) => {
                    // Events may be gone from the history: read anew.
                    known = 0;
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    async fn follow_targets(self: Arc<Self>) {
        while !self.control.is_closed() {
            let steward = self.control.snapshot().is_steward;
            let known = self.control.snapshot().knows_targets;
            let stale = known && !steward;
            match self.noted(self.store.list_targets(stale).await).await {
                Ok(targets) => {
                    self.tell(Update::Targets(targets)).await;
                    let pause = if stale { OTHERS_READ_EVERY } else { STEWARD_READS_EVERY };
                    tokio::time::sleep(pause).await;
                }
                Err(_) => tokio::time::sleep(PAUSE).await,
            }
        }
    }

    async fn follow_hosts(self: Arc<Self>, identity: Identity) {
        let mut registered = false;
        while !self.control.is_closed() {
            if !registered {
                registered = self.noted(self.store.register(&identity).await).await.is_ok();
            }
            let pause = match self.noted(self.store.list_hosts().await).await {
                Ok(hosts) => {
                    // Gone from the store, as when its keys were taken away.
                    registered &= hosts.entries.contains(&identity);
                    self.tell(Update::Hosts(hosts)).await;
                    HOSTS_EVERY
                }
                Err(_) => PAUSE,
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Reports that the store was lost or regained.
    async fn noted<T>(&self, result: Result<T, Error>) -> Result<T, Error> {
        let lost = result.as_ref().err().copied();
        if self.lost.swap(lost.is_some(), Ordering::Relaxed) != lost.is_some() {
            self.tell(lost.map_or(Update::Regained, Update::Lost)).await;
        }
        result
    }

    async fn tell(&self, news: Update) {
        // The loops end with the control thread.
        let _ = self.control.send(Event::Store(news)).await;
    }
}
