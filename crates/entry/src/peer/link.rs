//! Border to other entries.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use derive_more::{Display, Error};

use super::{Call, Forward, Response};
use crate::submission::Reply;

/// A peer gave no answer; the call may have reached it.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the peer gave no answer")]
pub struct Unreachable;

/// Reaches other entries.
#[async_trait]
pub trait Link: Send + Sync {
    /// Calls a peer's control state.
    async fn call(&self, to: SocketAddr, call: Call) -> Result<Response, Unreachable>;

    /// Passes a caller's request on; waits for the reply up to `within`.
    async fn forward(
        &self,
        to: SocketAddr,
        forward: Forward,
        within: Duration,
    ) -> Result<Reply, Unreachable>;
}
