//! Encoding of batches, with the size of each message.

use serde::{Deserialize, Serialize};
use serde_json::value::{RawValue, to_raw_value};

use super::account::ENVELOPE;
use super::{Batch, Message};
use crate::member::Identity;

/// A batch whose messages are encoded one by one. On the wire it equals a [`Batch`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Frame {
    from: Identity,
    session: u64,
    number: u64,
    messages: Vec<Box<RawValue>>,
}

impl TryFrom<&Batch> for Frame {
    type Error = serde_json::Error;

    fn try_from(batch: &Batch) -> Result<Self, Self::Error> {
        let messages = batch.messages.iter().map(to_raw_value).collect::<Result<_, _>>()?;
        let Batch { from, session, sequence, .. } = batch;
        Ok(Self { from: from.clone(), session: *session, number: *sequence, messages })
    }
}

impl TryFrom<&Frame> for Batch {
    type Error = serde_json::Error;

    fn try_from(frame: &Frame) -> Result<Self, Self::Error> {
        let decode = |message: &RawValue| serde_json::from_str::<Message>(message.get());
        let messages =
            frame.messages.iter().map(|message| decode(message)).collect::<Result<_, _>>()?;
        let Frame { from, session, number, .. } = frame;
        Ok(Self { from: from.clone(), session: *session, sequence: *number, messages })
    }
}

impl Frame {
    /// Kind and encoded size of each part: the messages of `batch`, which this frame encodes, and what
    /// is around them.
    pub(super) fn parts(&self, batch: &Batch) -> impl Iterator<Item = (&'static str, usize)> {
        let sizes = self.messages.iter().map(|message| message.get().len());
        let envelope = to_raw_value(&(&self.from, self.session, self.number));
        let envelope = envelope.map(|envelope| envelope.get().len()).unwrap_or_default();
        let kinds = batch.messages.iter().map(Message::kind);
        kinds.zip(sizes).chain([(ENVELOPE, envelope)]).collect::<Vec<_>>().into_iter()
    }
}
