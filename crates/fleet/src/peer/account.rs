//! Account of the traffic between hosts, by kind of message.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use coltsfootshunt_core::name::Zone;
use derive_more::{Add, Display};
use metrics::{counter, histogram};

use crate::member::Identity;
use crate::report::{Log, Record};

/// Interval between log lines with the traffic since the last one.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Kind under which the parts of a batch around its messages are counted.
pub(super) const ENVELOPE: &str = "envelope";

/// Direction of a message.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Direction {
    /// From this host.
    #[display("sent")]
    Sent,
    /// To this host.
    #[display("received")]
    Received,
}

/// Class of the host at the other end.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Scope {
    /// A host of the same availability zone.
    #[display("zone")]
    Zone,
    /// A host of another availability zone.
    #[display("remote")]
    Remote,
    /// A host that has not been heard from.
    #[display("unknown")]
    Unknown,
}

/// What is counted together.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{direction}.{scope}.{kind}")]
pub struct Key {
    /// Direction of the messages.
    pub direction: Direction,
    /// Class of the other host.
    pub scope: Scope,
    /// Kind of the messages.
    pub kind: &'static str,
}

/// Number and size of messages.
#[derive(Add, Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[display("{messages}/{bytes}")]
pub struct Count {
    /// Number of messages.
    pub messages: u64,
    /// Their encoded size, in bytes.
    pub bytes: u64,
}

/// Counts the messages of one host. Repeated batches count each time.
#[derive(Debug)]
pub struct Account {
    zone: Zone,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    zones: HashMap<SocketAddr, Zone>,
    /// Traffic since the last report.
    counts: BTreeMap<Key, Count>,
    /// Longest time that a message waited in the outbox since the last report.
    longest_wait: Duration,
}

impl Account {
    /// Creates an empty account of a host in a zone.
    #[must_use]
    pub fn new(zone: Zone) -> Self {
        Self { zone, state: Mutex::default() }
    }

    /// Counts the parts of a batch from a host.
    pub(super) fn record_received(
        &self,
        from: &Identity,
        parts: impl Iterator<Item = (&'static str, usize)>,
    ) {
        let mut state = self.lock();
        state.zones.insert(from.address, from.zone.clone());
        let scope = self.scope(Some(&from.zone));
        state.count(Direction::Received, scope, parts);
    }

    /// Counts the parts of a batch to an address.
    pub(super) fn record_sent(
        &self,
        to: SocketAddr,
        parts: impl Iterator<Item = (&'static str, usize)>,
    ) {
        let mut state = self.lock();
        let scope = self.scope(state.zones.get(&to));
        state.count(Direction::Sent, scope, parts);
    }

    /// Counts the time that a message spent in the outbox until it was acknowledged.
    pub(super) fn record_wait(&self, kind: &'static str, wait: Duration) {
        histogram!("coltsfootshunt_peer_outbox_seconds", "kind" => kind).record(wait.as_secs_f64());
        let mut state = self.lock();
        state.longest_wait = state.longest_wait.max(wait);
    }

    /// Returns the traffic since the last call, and the longest wait of a message in the outbox.
    pub fn take(&self) -> (BTreeMap<Key, Count>, Duration) {
        let mut state = self.lock();
        (std::mem::take(&mut state.counts), std::mem::take(&mut state.longest_wait))
    }

    /// Logs the traffic periodically. Ends with the runtime.
    pub async fn report(self: Arc<Self>, log: Arc<dyn Log>) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let (counts, longest_wait) = self.take();
            log.record(&Record::PeerTraffic { counts, longest_wait, period: REPORT_INTERVAL });
        }
    }

    fn scope(&self, zone: Option<&Zone>) -> Scope {
        match zone {
            None => Scope::Unknown,
            Some(zone) if *zone == self.zone => Scope::Zone,
            Some(_) => Scope::Remote,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }
}

impl State {
    fn count(
        &mut self,
        direction: Direction,
        scope: Scope,
        parts: impl Iterator<Item = (&'static str, usize)>,
    ) {
        for (kind, bytes) in parts {
            let count = Count { messages: 1, bytes: bytes as u64 };
            let sum = self.counts.entry(Key { direction, scope, kind }).or_default();
            *sum = *sum + count;
            let labels = [
                ("direction", direction.to_string()),
                ("peer", scope.to_string()),
                ("kind", kind.to_owned()),
            ];
            counter!("coltsfootshunt_peer_messages_total", &labels).increment(1);
            counter!("coltsfootshunt_peer_bytes_total", &labels).increment(count.bytes);
        }
    }
}
