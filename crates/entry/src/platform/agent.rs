//! Background tasks that register the entry with the platform, and read its peers, the
//! configuration and the list of leaving hosts from there.

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
const REGISTRATION_PREFIX: &str = "entries/";
/// Term of the lease on a registration.
const LEASE_TERM: Duration = Duration::from_secs(60);
/// Time between renewals of that lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(20);
/// Time between reads of the registrations.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(60);
/// Time between reads of the registrations while no peer is known.
const DISCOVERY_INTERVAL_ALONE: Duration = Duration::from_secs(2);
/// Time for which one watch of the configuration waits.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Time between reads of the list of hosts. Only a zone's delegates read it regularly.
const HOSTS_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before a retry after an error. A failed registration is retried after four times as long.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Addresses and identity of an entry, stored for peers that look for it and for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Registration {
    /// Name of the entry's host.
    pub host: Host,
    /// Availability zone of the host.
    pub zone: Zone,
    /// Incarnation of the entry's process.
    pub incarnation: Incarnation,
    /// Address at which peers reach the entry.
    pub peers: SocketAddr,
    /// Address at which operators reach the entry.
    pub operators: SocketAddr,
}

/// Keeps the entry registered, and passes on to its control thread what it reads from the platform.
#[derive(Clone)]
pub struct Agent {
    /// The platform's service.
    pub platform: Arc<dyn Platform>,
    /// Handle of the control thread.
    pub control: Handle,
    /// Registration of this entry.
    pub registration: Registration,
}

impl Agent {
    /// Runs until the control thread ends.
    pub async fn run(self) {
        // Registers before it looks for peers. Of two entries that start together, the one that
        // registers last finds the other.
        let lease = self.put_registration().await;
        tokio::join!(
            self.clone().keep_registered(lease),
            self.clone().discover_peers(),
            self.clone().follow_configuration(),
            self.follow_hosts(),
        );
    }

    /// Returns the registrations of all entries. Skips any that can't be decoded.
    ///
    /// # Errors
    /// Returns the error of the call to the platform.
    pub async fn registrations(platform: &dyn Platform) -> Result<Vec<Registration>, super::Error> {
        let entries = platform.list(REGISTRATION_PREFIX).await?;
        let parse = |entry: &super::Entry| serde_json::from_str(&entry.value).ok();
        Ok(entries.iter().filter_map(parse).collect())
    }

    async fn keep_registered(self, mut lease: Option<Lease>) {
        while self.is_running() {
            let delay = if lease.is_some() { RENEWAL_INTERVAL } else { RETRY_DELAY * 4 };
            sleep(jitter(delay)).await;
            lease = match lease {
                Some(held) if self.renew(&held).await => Some(held),
                _ => self.put_registration().await,
            };
        }
    }

    /// Renews the lease and returns whether to keep it. Keeps it during an outage; only an expired
    /// lease requires a new registration.
    async fn renew(&self, lease: &Lease) -> bool {
        self.platform.renew(lease).await.unwrap_or(true)
    }

    async fn put_registration(&self) -> Option<Lease> {
        let lease = self.platform.grant_lease(LEASE_TERM).await.ok()?;
        let key = format!("{REGISTRATION_PREFIX}{}", self.registration.incarnation);
        let value = serde_json::to_string(&self.registration).expect("a registration serializes");
        let existing = self.platform.get(&key).await.ok()?;
        let version = existing.map_or(0, |entry| entry.version);
        self.platform.compare_and_swap(&key, version, &value, Some(&lease)).await.ok()?;
        Some(lease)
    }

    async fn discover_peers(self) {
        while self.is_running() {
            if let Ok(registrations) = Self::registrations(self.platform.as_ref()).await {
                let contacts = registrations.into_iter().map(|r| r.peers).collect();
                if self.control.send(Event::Contacts(contacts)).await.is_err() {
                    return;
                }
            }
            let is_alone = !self.control.snapshot().has_peers;
            sleep(jitter(if is_alone { DISCOVERY_INTERVAL_ALONE } else { DISCOVERY_INTERVAL }))
                .await;
        }
    }

    /// Passes new configurations on to the control thread. Delegates watch the key. Other entries
    /// read it only until they have a configuration; after that they get newer ones from peers.
    async fn follow_configuration(self) {
        let mut version = 0;
        while self.is_running() {
            let snapshot = self.control.snapshot();
            let result = if snapshot.revision.0 == 0 {
                self.platform.get(CONFIGURATION_KEY).await
            } else if snapshot.is_delegate {
                self.platform.watch(CONFIGURATION_KEY, version, WATCH_WAIT).await
            } else {
                Ok(None)
            };
            let is_reachable = result.is_ok();
            if let Ok(Some(entry)) = result {
                // Skips a document that can't be decoded: the one in force stays until the next
                // one.
                version = entry.version;
                if let Ok(document) = serde_json::from_str::<Document>(&entry.value) {
                    let event = Event::Configuration(Box::new(document));
                    if self.control.send(event).await.is_err() {
                        return;
                    }
                }
            }
            let is_watching = snapshot.is_delegate && snapshot.revision.0 > 0 && is_reachable;
            if !is_watching {
                sleep(jitter(RETRY_DELAY)).await;
            }
        }
    }

    async fn follow_hosts(self) {
        let mut is_first = true;
        while self.is_running() {
            if (is_first || self.control.snapshot().is_delegate)
                && let Ok(hosts) = self.platform.hosts().await
            {
                is_first = false;
                let names = hosts.leaving.into_iter();
                let leaving: BTreeSet<_> = names.filter_map(|n| Target::try_from(n).ok()).collect();
                let event = Event::Departures(Departures::new(hosts.version, leaving));
                if self.control.send(event).await.is_err() {
                    return;
                }
            }
            sleep(jitter(HOSTS_INTERVAL)).await;
        }
    }

    fn is_running(&self) -> bool {
        !self.control.is_closed()
    }
}

/// Varies a delay by up to 25% either way, to spread the calls of many entries over time.
fn jitter(duration: Duration) -> Duration {
    duration.mul_f64(rand::rng().random_range(0.75..1.25))
}
