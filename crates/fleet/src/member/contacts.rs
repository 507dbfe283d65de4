//! Hosts to contact that are not heard: when to try again.
//!
//! Load pattern: dozens of hosts that are replaced at other addresses, so that every host knows as many
//! addresses at which nobody answers any more.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Interval between attempts to reach a host that was watched closely. The first message of a new session
/// tells a host that its peer had lost it, so that it stops the peer's tasks before their leases end.
const CLOSE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between attempts to reach any other host.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time for which hosts are contacted at these intervals. Most network partitions are shorter.
const RECENT: Duration = Duration::from_secs(10);
/// Interval between attempts after that time.
const LATE_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which an address is probably that of a host that was removed.
const LONG_AGO: Duration = Duration::from_secs(60);
/// Interval between attempts after that time.
const LAST_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum number of addresses. Further ones are ignored, so that a wrong list of hosts can't occupy this host.
const MAX_CONTACTS: usize = 2_048;
/// Maximum number of attempts at one time.
const MAX_ATTEMPTS: usize = 64;

#[derive(Clone, Copy, Debug)]
struct Contact {
    since: Instant,
    attempted_at: Option<Instant>,
    is_close: bool,
}

impl Contact {
    fn interval(&self, now: Instant) -> Duration {
        match now.duration_since(self.since) {
            age if age >= LONG_AGO => LAST_INTERVAL,
            age if age >= RECENT => LATE_INTERVAL,
            _ if self.is_close => CLOSE_INTERVAL,
            _ => INTERVAL,
        }
    }
}

/// Addresses of hosts that this host knows of but does not hear.
#[derive(Debug, Default)]
pub struct Contacts {
    contacts: BTreeMap<SocketAddr, Contact>,
}

impl Contacts {
    /// Adds an address, which is due at once. An address that is known keeps its time. Returns whether there
    /// was room for it.
    pub fn add(&mut self, address: SocketAddr, is_close: bool, now: Instant) -> bool {
        let is_full = self.contacts.len() >= MAX_CONTACTS && !self.contacts.contains_key(&address);
        if is_full || address.port() == 0 {
            return false;
        }
        let contact = Contact { since: now, attempted_at: None, is_close };
        self.contacts.entry(address).or_insert(contact);
        true
    }

    /// Removes the address of a host that was heard.
    pub fn remove(&mut self, address: SocketAddr) {
        self.contacts.remove(&address);
    }

    /// Addresses to contact now, those first that wait longest. Counts them as contacted.
    pub fn due(&mut self, now: Instant) -> Vec<SocketAddr> {
        let is_due = |contact: &Contact| {
            contact.attempted_at.is_none_or(|at| now.duration_since(at) >= contact.interval(now))
        };
        let due = self.contacts.iter().filter(|(_, contact)| is_due(contact));
        let mut due: Vec<(Option<Instant>, SocketAddr)> =
            due.map(|(address, contact)| (contact.attempted_at, *address)).collect();
        due.sort();
        due.truncate(MAX_ATTEMPTS);
        let due: Vec<SocketAddr> = due.into_iter().map(|(_, address)| address).collect();
        for address in &due {
            if let Some(contact) = self.contacts.get_mut(address) {
                contact.attempted_at = Some(now);
            }
        }
        due
    }
}
