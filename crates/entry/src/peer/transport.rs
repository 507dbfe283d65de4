//! Border to other entries.

use std::net::SocketAddr;

use async_trait::async_trait;
use derive_more::{Display, Error};

use super::{Call, Forward, Response};
use crate::submission::Reply;

/// Why a peer gave no answer.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum Unreachable {
    /// Its host refused the connection, or a cut did: the call reached nobody.
    #[display("the peer's host refused the connection")]
    Refused,
    /// The call may have reached it.
    #[display("the peer gave no answer")]
    TimedOut,
}

/// Reaches other entries.
#[async_trait]
pub trait Transport: Send + Sync {
    /// Calls a peer's control state.
    async fn call(&self, to: SocketAddr, call: Call) -> Result<Response, Unreachable>;

    /// Passes a caller's request on and waits for the reply as long as the request says.
    async fn forward(&self, to: SocketAddr, forward: Forward) -> Result<Reply, Unreachable>;
}
