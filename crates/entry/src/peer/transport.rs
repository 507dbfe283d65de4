//! Interface to other entries.

use std::net::SocketAddr;

use async_trait::async_trait;
use derive_more::{Display, Error};

use super::{Call, Forward, Response};
use crate::submission::Reply;

/// Why a peer did not respond.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum Unreachable {
    /// The connection was refused, by the peer's host or by a network partition. The peer did not
    /// receive the request.
    #[display("the peer's host refused the connection")]
    Refused,
    /// There was no response in time, or the connection failed in another way. The peer may have
    /// received the request.
    #[display("the peer gave no answer")]
    TimedOut,
}

/// Sends messages to other entries.
#[async_trait]
pub trait Transport: Send + Sync {
    /// Calls the control state of the peer at an address.
    async fn call(&self, to: SocketAddr, call: Call) -> Result<Response, Unreachable>;

    /// Forwards a caller's request to the peer at an address. Waits for the reply for the time that
    /// the request gives.
    async fn forward(&self, to: SocketAddr, forward: Forward) -> Result<Reply, Unreachable>;
}
