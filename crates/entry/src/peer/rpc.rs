//! JSON-RPC between entries, over one WebSocket for control and one for traffic to each peer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use jsonrpsee::RpcModule;
use jsonrpsee::client_transport::ws::WsHandshakeError;
use jsonrpsee::core::client::{ClientT, Error as ClientError};
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::server::{ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::{INTERNAL_ERROR_CODE, INVALID_PARAMS_CODE};
use jsonrpsee::ws_client::{PingConfig, WsClient, WsClientBuilder};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::Mutex;

use super::{Call, Forward, Response, Transport, Unreachable};
use crate::control::Handle;
use crate::submission::{Reply, Request};

/// Method for calls to the control state.
const CALL: &str = "entry_call";
/// Method for callers' requests.
const FORWARD: &str = "entry_forward";
/// Time for a control call.
const CALL_WITHIN: Duration = Duration::from_millis(900);
/// Time for a forwarded request's way there and back.
const ROUND_TRIP: Duration = Duration::from_secs(1);
/// Time to connect.
const CONNECT_WITHIN: Duration = Duration::from_millis(800);
/// Time between pings on a connection.
const PING_EVERY: Duration = Duration::from_secs(5);
/// Silence after which a connection is closed.
const SILENT_FOR: Duration = Duration::from_secs(15);
/// Largest message, in bytes: a whole answer of the largest job.
const MAX_MESSAGE_BYTES: u32 = 64 << 20;
/// Requests under way on one connection.
const MAX_UNDER_WAY: usize = 16_384;
/// Connections that the server takes.
const MAX_CONNECTIONS: u32 = 1_024;

/// The server side; it stops when this is dropped or told to.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    handle: ServerHandle,
}

impl Server {
    /// Stops the server.
    pub fn stop(&self) {
        // An error only means that it has stopped already.
        let _ = self.handle.stop();
    }
}

/// Starts the server on a socket that listens.
///
/// # Errors
/// The socket can't be used.
pub fn serve(listener: TcpListener, control: Handle) -> std::io::Result<Server> {
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .ws_only()
        .build();
    let address = listener.local_addr()?;
    let builder = jsonrpsee::server::Server::builder().set_config(config);
    let server = builder.build_from_tcp(listener.into_std()?)?;
    let handle = server.start(module(control));
    Ok(Server { address, handle })
}

fn module(control: Handle) -> RpcModule<Handle> {
    let mut module = RpcModule::new(control);
    module
        .register_async_method(CALL, |params, control, _| async move {
            let call: Call = params.one()?;
            control.call(call).await.map_err(|_| gone())
        })
        .expect("the method has one name");
    module
        .register_async_method(FORWARD, |params, control, _| async move {
            let forward: Forward = params.one()?;
            let within = forward.timeout();
            let request = Request::try_from(forward).map_err(|error| invalid(&error))?;
            control.request_with_timeout(request, within).await.map_err(|_| gone())
        })
        .expect("the method has one name");
    module
}

fn gone() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(INTERNAL_ERROR_CODE, "the entry is ending", None::<()>)
}

fn invalid(error: &coltsfootshunt_core::job::Error) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(INVALID_PARAMS_CODE, error.to_string(), None::<()>)
}

/// What a connection is for; bulk on one does not delay the other.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Lane {
    Control,
    Traffic,
}

type Slot = Arc<Mutex<Option<Arc<WsClient>>>>;

/// The client side.
#[derive(Default)]
pub struct Rpc {
    slots: std::sync::Mutex<HashMap<(SocketAddr, Lane), Slot>>,
}

#[async_trait]
impl Transport for Rpc {
    async fn call(&self, to: SocketAddr, call: Call) -> Result<Response, Unreachable> {
        self.ask(to, Lane::Control, CALL, &call, CALL_WITHIN).await
    }

    async fn forward(&self, to: SocketAddr, forward: Forward) -> Result<Reply, Unreachable> {
        let within = forward.timeout() + ROUND_TRIP;
        self.ask(to, Lane::Traffic, FORWARD, &forward, within).await
    }
}

impl Rpc {
    async fn ask<P: Serialize, R: DeserializeOwned>(
        &self,
        to: SocketAddr,
        lane: Lane,
        method: &str,
        param: &P,
        within: Duration,
    ) -> Result<R, Unreachable> {
        let client = self.client(to, lane).await?;
        let mut params = ArrayParams::new();
        params.insert(param).map_err(|_| Unreachable::TimedOut)?;
        match tokio::time::timeout(within, client.request(method, params)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) => Err(Unreachable::TimedOut),
            Err(_) => {
                if lane == Lane::Control {
                    // A silent peer may sit behind a cut connection; the next call makes a new one.
                    self.drop_client(to, lane, &client).await;
                }
                Err(Unreachable::TimedOut)
            }
        }
    }

    async fn client(&self, to: SocketAddr, lane: Lane) -> Result<Arc<WsClient>, Unreachable> {
        let slot = self.slot(to, lane);
        let mut slot = slot.lock().await;
        if let Some(client) = slot.as_ref().filter(|client| client.is_connected()) {
            return Ok(Arc::clone(client));
        }
        *slot = None;
        let client = Arc::new(connect(to).await?);
        *slot = Some(Arc::clone(&client));
        Ok(client)
    }

    async fn drop_client(&self, to: SocketAddr, lane: Lane, client: &Arc<WsClient>) {
        let slot = self.slot(to, lane);
        let mut slot = slot.lock().await;
        if slot.as_ref().is_some_and(|current| Arc::ptr_eq(current, client)) {
            *slot = None;
        }
    }

    fn slot(&self, to: SocketAddr, lane: Lane) -> Slot {
        let mut slots = self.slots.lock().expect("no holder of this lock panics");
        Arc::clone(slots.entry((to, lane)).or_default())
    }
}

async fn connect(to: SocketAddr) -> Result<WsClient, Unreachable> {
    let ping = PingConfig::new().ping_interval(PING_EVERY).inactive_limit(SILENT_FOR);
    WsClientBuilder::default()
        .max_request_size(MAX_MESSAGE_BYTES)
        .max_response_size(MAX_MESSAGE_BYTES)
        .max_concurrent_requests(MAX_UNDER_WAY)
        .connection_timeout(CONNECT_WITHIN)
        .request_timeout(coltsfootshunt_core::job::MAX_TIMEOUT * 2)
        .enable_ws_ping(ping)
        .build(format!("ws://{to}"))
        .await
        .map_err(
            |error| if is_refusal(&error) { Unreachable::Refused } else { Unreachable::TimedOut },
        )
}

fn is_refusal(error: &ClientError) -> bool {
    let ClientError::Transport(transport) = error else {
        return false;
    };
    match transport.downcast_ref::<WsHandshakeError>() {
        Some(WsHandshakeError::Io(io)) => io.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
