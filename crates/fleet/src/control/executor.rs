//! Executes actions on the traffic runtime.

use std::sync::Arc;

use tokio::runtime::Handle as Runtime;
use tokio::sync::watch;

use super::{Event, Handle};
use crate::lease::{Call, Client};
use crate::peer::Outbox;
use crate::report::Log;

/// I/O resources that the control thread executes actions with.
pub struct Executor {
    /// Runtime of the traffic threads.
    pub runtime: Runtime,
    /// Client for calls to targets.
    pub target_client: Arc<dyn Client>,
    /// Sessions with other hosts.
    pub outbox: Outbox,
    /// Receives the results of calls to targets.
    pub control: Handle,
    /// Destination of log records.
    pub log: Arc<dyn Log>,
    /// Set to `true` when the process must end. Dropped without that if the control thread panics. The
    /// last field, so that this executor no longer holds the log by then.
    pub exit: watch::Sender<bool>,
}

impl Executor {
    pub(super) fn call(&self, call: Call) {
        let (target_client, control) = (Arc::clone(&self.target_client), self.control.clone());
        self.runtime.spawn(async move {
            let response = target_client.call(call.clone()).await;
            // Fails only after the control thread has ended, when the response is no longer needed.
            let _ = control.send(Event::TargetResponded(Box::new(call), response)).await;
        });
    }
}
