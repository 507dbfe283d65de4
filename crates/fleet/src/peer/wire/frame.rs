//! Frames in the full and the short form.

use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use serde_json::value::{RawValue, to_raw_value};

use super::short::{Item, Status};
use super::{Reply, Senders};
use crate::member::Identity;
use crate::peer::account::ENVELOPE;
use crate::peer::{Batch, Message};

/// Why a frame can't be decoded.
#[derive(Debug, Display, Error, From)]
pub(in crate::peer) enum Error {
    /// It is not a frame, or one of its messages is unknown or malformed.
    #[display("{_0}")]
    Malformed(serde_json::Error),
    /// It rests on earlier frames of its session, and this host knows the session no more.
    #[display("the session is not known")]
    #[from(ignore)]
    UnknownSession,
}

/// A batch whose messages are encoded one by one.
#[derive(Debug)]
pub(in crate::peer) enum Frame {
    /// The form of all versions. On the wire it equals a [`Batch`].
    Full(Full),
    /// The form of batches after the first one of a session, between hosts that know it.
    Short(Short),
}

/// Names the sender in full.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peer) struct Full {
    from: Identity,
    session: u64,
    number: u64,
    messages: Vec<Box<RawValue>>,
    /// Whether the sender can continue the session in the short form.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    short: bool,
}

/// Incarnation of the sender, number of the session, number of the batch, and messages.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peer) struct Short(
    u64,
    u64,
    u64,
    Vec<Box<RawValue>>,
    /// Status after the last message, for the sender.
    #[serde(skip)]
    Option<Status>,
);

impl Frame {
    /// Encodes a batch in the form of all versions.
    pub(in crate::peer) fn full(batch: &Batch) -> Result<Self, serde_json::Error> {
        let Batch { from, session, sequence, messages } = batch;
        let messages = messages.iter().map(to_raw_value).collect::<Result<_, _>>()?;
        let (from, short) = (from.clone(), *sequence == 1);
        Ok(Self::Full(Full { from, session: *session, number: *sequence, messages, short }))
    }

    /// Encodes a batch in the short form. `status` is that of the last acknowledged heartbeat of the session.
    pub(in crate::peer) fn short(
        batch: &Batch,
        mut status: Option<Status>,
    ) -> Result<Self, serde_json::Error> {
        let Batch { from, session, sequence, messages } = batch;
        let encode = |message| to_raw_value(&Item::new(message, &mut status));
        let messages = messages.iter().map(encode).collect::<Result<_, _>>()?;
        Ok(Self::Short(Short(from.incarnation, *session, *sequence, messages, status)))
    }

    /// Number of the session and status after the last message, of an encoded frame in the short form.
    pub(super) fn into_status(self) -> Option<(u64, Option<Status>)> {
        match self {
            Self::Full(_) => None,
            Self::Short(Short(_, session, _, _, status)) => Some((session, status)),
        }
    }

    /// The parameter of the call that delivers the frame.
    pub(in crate::peer) fn encode(&self) -> Result<Box<RawValue>, serde_json::Error> {
        match self {
            Self::Full(full) => to_raw_value(full),
            Self::Short(short) => to_raw_value(short),
        }
    }

    /// Decodes the parameter of a call.
    pub(in crate::peer) fn decode(parameter: &RawValue) -> Result<Self, Error> {
        let text = parameter.get();
        if text.starts_with('[') {
            return Ok(Self::Short(serde_json::from_str(text)?));
        }
        Ok(Self::Full(serde_json::from_str(text)?))
    }

    /// Decodes the batch. A frame that opens a session is recorded in `senders`, on which later ones rest.
    pub(in crate::peer) fn batch(&self, senders: &Senders) -> Result<Batch, Error> {
        match self {
            Self::Full(Full { from, session, number, messages, short }) => {
                let decode = |message: &RawValue| serde_json::from_str::<Message>(message.get());
                let messages =
                    messages.iter().map(|message| decode(message)).collect::<Result<_, _>>()?;
                if *short {
                    senders.open(from, *session);
                }
                Ok(Batch { from: from.clone(), session: *session, sequence: *number, messages })
            }
            Self::Short(Short(incarnation, session, number, messages, _)) => {
                let (incarnation, session, sequence) = (*incarnation, *session, *number);
                let (from, mut status) =
                    senders.get(incarnation, session).ok_or(Error::UnknownSession)?;
                let mut decode = |message: &RawValue| -> Result<Message, Error> {
                    let item: Item = serde_json::from_str(message.get())?;
                    item.into_message(&mut status).map_err(|_| Error::UnknownSession)
                };
                let messages = messages.iter().map(|message| decode(message));
                let messages = messages.collect::<Result<Vec<_>, _>>()?;
                let has_heartbeat = |message| matches!(message, &Message::Heartbeat(_));
                if let Some(status) = status.filter(|_| messages.iter().any(has_heartbeat)) {
                    senders.set_status(incarnation, session, sequence, status);
                }
                Ok(Batch { from, session, sequence, messages })
            }
        }
    }

    /// The response to the frame, which tells a sender that knows the short form that this host knows it too.
    pub(in crate::peer) fn reply(&self, ack: crate::peer::Ack) -> Reply {
        let is_short = matches!(self, Self::Full(Full { short: true, .. }));
        Reply::new(ack, is_short)
    }

    /// Kind and encoded size of each part: the messages of `batch`, which this frame encodes, and what
    /// is around them.
    pub(in crate::peer) fn parts(
        &self,
        batch: &Batch,
    ) -> impl Iterator<Item = (&'static str, usize)> {
        let (messages, envelope) = match self {
            Self::Full(Full { from, session, number, messages, .. }) => {
                (messages, to_raw_value(&(from, session, number)))
            }
            Self::Short(Short(incarnation, session, number, messages, _)) => {
                (messages, to_raw_value(&(incarnation, session, number)))
            }
        };
        let sizes = messages.iter().map(|message| message.get().len());
        let envelope = envelope.map(|envelope| envelope.get().len()).unwrap_or_default();
        let kinds = batch.messages.iter().map(Message::kind);
        kinds.zip(sizes).chain([(ENVELOPE, envelope)]).collect::<Vec<_>>().into_iter()
    }
}
