//! Response to a frame.

use serde::{Deserialize, Serialize};

use crate::peer::Ack;

/// An acknowledgement, and whether the receiver knows the short form.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(in crate::peer) enum Reply {
    /// [`Ack::Accepted`].
    #[serde(rename = "taken")]
    Accepted,
    /// [`Ack::Accepted`], from a receiver that knows the short form. Sent only to a sender that knows it.
    #[serde(rename = "taken_short")]
    AcceptedShort,
    /// [`Ack::SessionLost`].
    #[serde(rename = "broken")]
    SessionLost,
}

impl Reply {
    pub(super) fn new(ack: Ack, is_short: bool) -> Self {
        match (ack, is_short) {
            (Ack::Accepted, false) => Self::Accepted,
            (Ack::Accepted, true) => Self::AcceptedShort,
            (Ack::SessionLost, _) => Self::SessionLost,
        }
    }

    /// Whether the receiver knows the short form.
    pub(in crate::peer) fn knows_short_form(self) -> bool {
        self == Self::AcceptedShort
    }
}

impl From<Reply> for Ack {
    fn from(reply: Reply) -> Self {
        match reply {
            Reply::Accepted | Reply::AcceptedShort => Self::Accepted,
            Reply::SessionLost => Self::SessionLost,
        }
    }
}
