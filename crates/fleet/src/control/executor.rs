//! Carries actions out on the traffic runtime.

use std::sync::Arc;

use tokio::runtime::Handle as Runtime;
use tokio::sync::watch;

use super::{Event, Handle};
use crate::lease::{Call, Client};
use crate::peer::Outbox;
use crate::report::Log;

/// What the control thread acts with.
pub struct Executor {
    /// Runs the I/O.
    pub runtime: Runtime,
    /// Calls targets.
    pub target_client: Arc<dyn Client>,
    /// Sends to other hosts.
    pub outbox: Outbox,
    /// Where answers go.
    pub control: Handle,
    /// Writes notes.
    pub log: Arc<dyn Log>,
    /// Tells that the process ends.
    pub exit: watch::Sender<bool>,
}

impl Executor {
    pub(super) fn call(&self, call: Call) {
        let (target_client, control) = (Arc::clone(&self.target_client), self.control.clone());
        self.runtime.spawn(async move {
            let answer = target_client.call(call.clone()).await;
            // With the control thread gone nobody needs the answer.
            let _ = control.send(Event::TargetResponded(Box::new(call), answer)).await;
        });
    }
}
