//! What frames in the short form rest on: earlier frames of their session.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

use super::short::Status;
use crate::member::Identity;

/// Maximum number of senders. The one that was heard longest ago gives way, and begins a new session.
const MAX_SENDERS: usize = 2_048;

/// Senders by incarnation. A late frame of an ended incarnation doesn't replace the one that followed it.
#[derive(Debug, Default)]
pub(in crate::peer) struct Senders {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    senders: HashMap<u64, Sender>,
    /// Number of frames so far.
    frames: u64,
}

#[derive(Debug)]
struct Sender {
    identity: Identity,
    session: u64,
    /// Status of the last heartbeat of the session, and the number of the batch that brought it.
    status: Option<(Status, u64)>,
    /// Number of the last frame, to find the sender that was heard longest ago.
    last_frame: u64,
}

impl Senders {
    /// Records the opening of a session.
    pub(super) fn open(&self, identity: &Identity, session: u64) {
        let mut state = self.lock();
        state.frames += 1;
        let last_frame = state.frames;
        if let Some(sender) = state.senders.get_mut(&identity.incarnation) {
            sender.last_frame = last_frame;
            if session > sender.session {
                sender.session = session;
                sender.status = None;
            }
            return;
        }
        if state.senders.len() >= MAX_SENDERS {
            let oldest = state.senders.iter().min_by_key(|(_, sender)| sender.last_frame);
            if let Some(oldest) = oldest.map(|(incarnation, _)| *incarnation) {
                state.senders.remove(&oldest);
            }
        }
        let sender = Sender { identity: identity.clone(), session, status: None, last_frame };
        state.senders.insert(identity.incarnation, sender);
    }

    /// Returns the sender of a frame and the last status of the session, if this host knows the session.
    pub(super) fn get(&self, incarnation: u64, session: u64) -> Option<(Identity, Option<Status>)> {
        let mut state = self.lock();
        state.frames += 1;
        let last_frame = state.frames;
        let sender = state.senders.get_mut(&incarnation)?;
        sender.last_frame = last_frame;
        let status = sender.status.as_ref().map(|(status, _)| status.clone());
        (sender.session == session).then(|| (sender.identity.clone(), status))
    }

    /// Records the status after a batch of a session. That of an earlier batch, which was repeated, is void.
    pub(super) fn set_status(&self, incarnation: u64, session: u64, sequence: u64, status: Status) {
        let mut state = self.lock();
        let sender = state.senders.get_mut(&incarnation);
        let Some(sender) = sender.filter(|sender| sender.session == session) else {
            return;
        };
        if sender.status.as_ref().is_none_or(|(_, known)| sequence >= *known) {
            sender.status = Some((status, sequence));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }
}
