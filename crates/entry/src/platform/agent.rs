//! What an entry asks of the platform beside the path of tasks: first contact, the configuration
//! and the list of leaving hosts.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootshunt_core::config::Document;
use coltsfootshunt_core::name::{Host, Target, Zone};
use coltsfootshunt_core::submission::Incarnation;
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::{CONFIGURATION_KEY, Lease, Platform};
use crate::control::{Event, Handle};
use crate::target::Departures;

/// Prefix of the keys under which entries register.
const ENTRIES: &str = "entries/";
/// Term of a registration's lease.
const TERM: Duration = Duration::from_secs(60);
/// Time between renewals.
const RENEW_EVERY: Duration = Duration::from_secs(20);
/// Time between looks at the registrations.
const LIST_EVERY: Duration = Duration::from_secs(60);
/// The same while no peer is known.
const LIST_ALONE_EVERY: Duration = Duration::from_secs(2);
/// Longest wait of one watch.
const WATCH_FOR: Duration = Duration::from_secs(20);
/// Time between looks at the list of hosts, by a zone's delegates.
const HOSTS_EVERY: Duration = Duration::from_secs(1);
/// Time before another attempt after a failure.
const AGAIN_AFTER: Duration = Duration::from_millis(500);

/// What an entry writes about itself, for first contact.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Registration {
    /// Its host.
    pub host: Host,
    /// Its zone.
    pub zone: Zone,
    /// This run.
    pub incarnation: Incarnation,
    /// Where peers reach it.
    pub peers: SocketAddr,
    /// Where operators reach it.
    pub operators: SocketAddr,
}

/// The entry's dealings with the platform.
#[derive(Clone)]
pub struct Agent {
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// The control thread.
    pub control: Handle,
    /// What this entry registers.
    pub registration: Registration,
}

impl Agent {
    /// Runs until the control thread ends.
    pub async fn run(self) {
        // Of two entries that start together, the one that registers last finds the other.
        let lease = self.enroll().await;
        tokio::join!(
            self.clone().register(lease),
            self.clone().meet(),
            self.clone().follow_configuration(),
            self.follow_hosts(),
        );
    }

    /// All registered entries of the fleet.
    ///
    /// # Errors
    /// The platform's failure.
    pub async fn registrations(platform: &dyn Platform) -> Result<Vec<Registration>, super::Error> {
        let entries = platform.list(ENTRIES).await?;
        let parse = |entry: &super::Entry| serde_json::from_str(&entry.value).ok();
        Ok(entries.iter().filter_map(parse).collect())
    }

    async fn register(self, mut lease: Option<Lease>) {
        while self.is_wanted() {
            let pause = if lease.is_some() { RENEW_EVERY } else { AGAIN_AFTER * 4 };
            sleep(jitter(pause)).await;
            lease = match lease {
                Some(held) if self.renews(&held).await => Some(held),
                _ => self.enroll().await,
            };
        }
    }

    /// An outage is no reason to register anew; a lapsed lease is.
    async fn renews(&self, lease: &Lease) -> bool {
        self.platform.renew(lease).await.unwrap_or(true)
    }

    async fn enroll(&self) -> Option<Lease> {
        let lease = self.platform.grant_lease(TERM).await.ok()?;
        let key = format!("{ENTRIES}{}", self.registration.incarnation);
        let value = serde_json::to_string(&self.registration).expect("a registration serializes");
        let known = self.platform.get(&key).await.ok()?;
        let version = known.map_or(0, |entry| entry.version);
        self.platform.compare_and_swap(&key, version, &value, Some(&lease)).await.ok()?;
        Some(lease)
    }

    async fn meet(self) {
        while self.is_wanted() {
            if let Ok(registrations) = Self::registrations(self.platform.as_ref()).await {
                let contacts = registrations.into_iter().map(|r| r.peers).collect();
                if self.control.send(Event::Contacts(contacts)).await.is_err() {
                    return;
                }
            }
            let alone = !self.control.snapshot().has_peers;
            sleep(jitter(if alone { LIST_ALONE_EVERY } else { LIST_EVERY })).await;
        }
    }

    /// Delegates watch; others read only until they have any configuration, then peers tell.
    async fn follow_configuration(self) {
        let mut version = 0;
        while self.is_wanted() {
            let snapshot = self.control.snapshot();
            let found = if snapshot.revision.0 == 0 {
                self.platform.get(CONFIGURATION_KEY).await
            } else if snapshot.is_delegate {
                self.platform.watch(CONFIGURATION_KEY, version, WATCH_FOR).await
            } else {
                Ok(None)
            };
            let answered = found.is_ok();
            if let Ok(Some(entry)) = found {
                // Behind one that can't be read, too: the one in force stays until the next one.
                version = entry.version;
                if let Ok(document) = serde_json::from_str::<Document>(&entry.value) {
                    let event = Event::Configuration(Box::new(document));
                    if self.control.send(event).await.is_err() {
                        return;
                    }
                }
            }
            let watches = snapshot.is_delegate && snapshot.revision.0 > 0 && answered;
            if !watches {
                sleep(jitter(AGAIN_AFTER)).await;
            }
        }
    }

    async fn follow_hosts(self) {
        let mut first = true;
        while self.is_wanted() {
            if (first || self.control.snapshot().is_delegate)
                && let Ok(hosts) = self.platform.hosts().await
            {
                first = false;
                let names = hosts.leaving.into_iter();
                let leaving: BTreeSet<_> = names.filter_map(|n| Target::try_from(n).ok()).collect();
                let event = Event::Departures(Departures::new(hosts.version, leaving));
                if self.control.send(event).await.is_err() {
                    return;
                }
            }
            sleep(jitter(HOSTS_EVERY)).await;
        }
    }

    fn is_wanted(&self) -> bool {
        !self.control.is_closed()
    }
}

/// Spreads calls of many entries over time.
fn jitter(duration: Duration) -> Duration {
    duration.mul_f64(rand::rng().random_range(0.75..1.25))
}
