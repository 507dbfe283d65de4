//! Executes actions: sends tasks to targets and calls to peers, writes the log and updates metrics.

use std::net::SocketAddr;
use std::sync::Arc;

use coltsfootshunt_core::submission::Incarnation;
use metrics::gauge;
use tokio::runtime;
use tokio::sync::watch;

use super::{Attempt, Event, Handle, Load, Record};
use crate::drain::Exit;
use crate::log::Log;
use crate::peer::{Call, Transport};
use crate::target::{Client, Start};

/// I/O resources that the control thread executes actions with. All I/O runs on the traffic
/// threads.
pub struct Executor {
    /// Runtime of the traffic threads.
    pub runtime: runtime::Handle,
    /// Client for calls to targets.
    pub target_client: Arc<dyn Client>,
    /// Client for calls to peers.
    pub transport: Arc<dyn Transport>,
    /// Receives the results of tasks and calls.
    pub control: Handle,
    /// Destination of log records.
    pub log: Arc<dyn Log>,
    /// Set to the outcome of the process when it must end. Dropped without that if the control thread
    /// panics. The last field, so that this executor no longer holds the log by then.
    pub exit: watch::Sender<Option<Exit>>,
}

impl Executor {
    /// Sends a task to a target. The result follows as [`Event::AttemptEnded`].
    pub fn start_task(&self, attempt: Attempt, start: Start) {
        metrics::counter!("coltsfootshunt_task_starts_total").increment(1);
        let target_client = Arc::clone(&self.target_client);
        let control = self.control.clone();
        self.runtime.spawn(async move {
            let report = target_client.run(start).await;
            // Fails only after the control thread has ended, when the result is no longer needed.
            let _ = control.send(Event::AttemptEnded(attempt, report)).await;
        });
    }

    /// Calls a peer. The result follows as [`Event::PeerResponded`].
    pub fn call_peer(&self, to: SocketAddr, peer: Option<Incarnation>, call: Call) {
        metrics::counter!("coltsfootshunt_messages_total", "kind" => call.name()).increment(1);
        let transport = Arc::clone(&self.transport);
        let control = self.control.clone();
        let chunk = match &call {
            Call::Inherit(chunk) => Some(chunk.id()),
            _ => None,
        };
        self.runtime.spawn(async move {
            let response = transport.call(to, call).await;
            let _ = control.send(Event::PeerResponded { peer, chunk, response }).await;
        });
    }

    /// Updates the load metrics.
    pub fn report_load(&self, load: Load) {
        gauge!("coltsfootshunt_open_submissions").set(load.open_submissions as f64);
        gauge!("coltsfootshunt_waiting_tasks").set(load.waiting_tasks as f64);
        gauge!("coltsfootshunt_running_tasks").set(f64::from(load.running_tasks));
        gauge!("coltsfootshunt_usable_slots").set(f64::from(load.usable_slots));
        gauge!("coltsfootshunt_free_slots").set(f64::from(load.free_slots));
        gauge!("coltsfootshunt_borrowed_slots").set(f64::from(load.borrowed_slots));
        gauge!("coltsfootshunt_peers").set(load.peers as f64);
    }

    /// Publishes the outcome of the process, which ends it.
    pub fn exit(&self, exit: Exit) {
        self.exit.send_replace(Some(exit));
    }

    /// Writes a log record and updates the event counters.
    pub fn record(&self, record: &Record) {
        self.log.record(record);
    }
}
