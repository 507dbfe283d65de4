//! Carries actions out: sends tasks and calls, writes the log, counts.

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

/// What the control thread acts with; all of it works on traffic threads.
pub struct Executor {
    /// The traffic threads.
    pub runtime: runtime::Handle,
    /// Sends tasks to targets.
    pub target_client: Arc<dyn Client>,
    /// Reaches other entries.
    pub transport: Arc<dyn Transport>,
    /// Takes results back to the control thread.
    pub control: Handle,
    /// Writes decisions down.
    pub log: Arc<dyn Log>,
    /// Tells how the process ends.
    pub exit: watch::Sender<Option<Exit>>,
}

impl Executor {
    /// Sends a task.
    pub fn start(&self, attempt: Attempt, start: Start) {
        metrics::counter!("coltsfootshunt_task_starts_total").increment(1);
        let target_client = Arc::clone(&self.target_client);
        let control = self.control.clone();
        self.runtime.spawn(async move {
            let report = target_client.run(start).await;
            // After the control thread has ended nobody waits for the result.
            let _ = control.send(Event::AttemptEnded(attempt, report)).await;
        });
    }

    /// Calls a peer.
    pub fn call(&self, to: SocketAddr, peer: Option<Incarnation>, call: Call) {
        metrics::counter!("coltsfootshunt_messages_total", "kind" => call.name()).increment(1);
        let transport = Arc::clone(&self.transport);
        let control = self.control.clone();
        let part = match &call {
            Call::Inherit(part) => Some(part.id()),
            _ => None,
        };
        self.runtime.spawn(async move {
            let response = transport.call(to, call).await;
            let _ = control.send(Event::PeerResponded { peer, part, response }).await;
        });
    }

    /// Shows the load to operators.
    pub fn measure(&self, load: Load) {
        gauge!("coltsfootshunt_open_submissions").set(load.open_submissions as f64);
        gauge!("coltsfootshunt_waiting_tasks").set(load.waiting_tasks as f64);
        gauge!("coltsfootshunt_running_tasks").set(f64::from(load.running_tasks));
        gauge!("coltsfootshunt_usable_slots").set(f64::from(load.usable_slots));
        gauge!("coltsfootshunt_free_slots").set(f64::from(load.free_slots));
        gauge!("coltsfootshunt_borrowed_slots").set(f64::from(load.borrowed_slots));
        gauge!("coltsfootshunt_peers").set(load.peers as f64);
    }

    /// Ends the process.
    pub fn exit(&self, exit: Exit) {
        self.exit.send_replace(Some(exit));
    }

    /// Writes a decision down.
    pub fn note(&self, record: &Record) {
        self.log.record(record);
    }
}
