//! Sessions in the short form, at their sender.

use super::Frame;
use super::short::Status;

/// A session whose receiver knows the short form.
#[derive(Debug)]
pub(in crate::peer) struct Session {
    number: u64,
    /// Status of the last acknowledged heartbeat.
    status: Option<Status>,
}

impl Session {
    /// Creates a session of which only the opening has been acknowledged.
    pub(in crate::peer) fn new(number: u64) -> Self {
        Self { number, status: None }
    }

    /// The status of the last acknowledged heartbeat, if this is the session with that number.
    pub(in crate::peer) fn status(&self, session: u64) -> Option<Option<Status>> {
        (self.number == session).then(|| self.status.clone())
    }

    /// Records that a frame was acknowledged.
    pub(in crate::peer) fn acknowledge(&mut self, frame: Frame) {
        if let Some((session, Some(status))) = frame.into_status()
            && session == self.number
        {
            self.status = Some(status);
        }
    }
}
