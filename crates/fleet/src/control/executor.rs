//! Carries actions out on the traffic runtime.

use std::sync::Arc;

use tokio::runtime::Handle as Runtime;
use tokio::sync::watch;

use super::{Event, Handle};
use crate::lease::{Call, Runner};
use crate::peer::Outbox;
use crate::report::Log;

/// What the control thread acts with.
pub struct Executor {
    /// Runs the I/O.
    pub runtime: Runtime,
    /// Calls targets.
    pub runner: Arc<dyn Runner>,
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
        let (runner, control) = (Arc::clone(&self.runner), self.control.clone());
        self.runtime.spawn(async move {
            let answer = runner.call(call.clone()).await;
            // With the control thread gone nobody needs the answer.
            let _ = control.send(Event::TargetResponded(Box::new(call), answer)).await;
        });
    }
}
