//! Account of the calls to the platform's store and to targets, by kind.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use derive_more::Display;
use metrics::{counter, histogram};

use super::{Log, Record};

/// Interval between log lines with the calls since the last one.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Calls of one kind.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[display("{calls}/{sent_bytes}/{received_bytes}/{}", longest.as_millis())]
pub struct Sum {
    /// Number of calls that ended, with or without a response.
    pub calls: u64,
    /// Size of their paths and bodies, in bytes.
    pub sent_bytes: u64,
    /// Size of the bodies of their responses, in bytes.
    pub received_bytes: u64,
    /// Longest time from the call to the end of its response.
    pub longest: Duration,
}

/// Counts the calls of one host.
#[derive(Debug, Default)]
pub struct Calls {
    sums: Mutex<BTreeMap<&'static str, Sum>>,
}

impl Calls {
    /// Counts a call: the bytes sent and received, and how long it took.
    pub fn record(
        &self,
        kind: &'static str,
        sent_bytes: usize,
        received_bytes: usize,
        took: Duration,
    ) {
        let (sent_bytes, received_bytes) = (sent_bytes as u64, received_bytes as u64);
        counter!("coltsfootshunt_call_bytes_total", "kind" => kind, "direction" => "sent")
            .increment(sent_bytes);
        counter!("coltsfootshunt_call_bytes_total", "kind" => kind, "direction" => "received")
            .increment(received_bytes);
        histogram!("coltsfootshunt_call_seconds", "kind" => kind).record(took.as_secs_f64());
        let mut sums = self.lock();
        let sum = sums.entry(kind).or_default();
        sum.calls += 1;
        sum.sent_bytes += sent_bytes;
        sum.received_bytes += received_bytes;
        sum.longest = sum.longest.max(took);
    }

    /// Returns the calls since the last call of this function.
    pub fn take(&self) -> BTreeMap<&'static str, Sum> {
        std::mem::take(&mut self.lock())
    }

    /// Logs the calls periodically. Ends with the runtime.
    pub async fn report(self: Arc<Self>, log: Arc<dyn Log>) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            log.record(&Record::CallsMade { sums: self.take(), period: REPORT_INTERVAL });
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<&'static str, Sum>> {
        self.sums.lock().expect("no thread panics while it holds the lock")
    }
}
