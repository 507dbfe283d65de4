//! JSON-RPC transport between entries. Each peer is reached over two WebSocket connections, one for
//! control and one for traffic.

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

/// RPC method for calls to the control state.
const CALL_METHOD: &str = "entry_call";
/// RPC method for forwarded requests of callers.
const FORWARD_METHOD: &str = "entry_forward";
/// Timeout of a call to a peer's control state.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Time allowed for the round trip of a forwarded request, in addition to the time that the owner
/// waits for the reply.
const ROUND_TRIP_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval of pings on a connection.
const PING_INTERVAL: Duration = Duration::from_secs(5);
/// Time without received data after which a connection is closed.
const INACTIVITY_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest message. The answer of the largest job fits.
const MAX_MESSAGE_BYTES: u32 = 64 << 20;
/// Largest number of concurrent requests on one connection.
const MAX_CONCURRENT_REQUESTS: usize = 16_384;
/// Largest number of connections to the server.
const MAX_CONNECTIONS: u32 = 1_024;

/// RPC server of an entry. It stops when this is dropped.
pub struct Server {
    /// Address that the server listens on.
    pub address: SocketAddr,
    handle: ServerHandle,
}

impl Server {
    /// Stops the server.
    pub fn stop(&self) {
        // Fails only if the server has stopped already.
        let _ = self.handle.stop();
    }
}

/// Starts the RPC server on a bound socket. Calls and requests go to `control`.
///
/// # Errors
/// Fails if the address of the socket can't be read or the socket can't be registered with the
/// runtime.
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
        .register_async_method(CALL_METHOD, |params, control, _| async move {
            let call: Call = params.one()?;
            control.call(call).await.map_err(|_| closed())
        })
        .expect("method names are unique");
    module
        .register_async_method(FORWARD_METHOD, |params, control, _| async move {
            let forward: Forward = params.one()?;
            let timeout = forward.timeout();
            let request = Request::try_from(forward).map_err(|error| invalid(&error))?;
            control.request_with_timeout(request, timeout).await.map_err(|_| closed())
        })
        .expect("method names are unique");
    module
}

fn closed() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(INTERNAL_ERROR_CODE, "the entry is ending", None::<()>)
}

fn invalid(error: &coltsfootshunt_core::job::Error) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(INVALID_PARAMS_CODE, error.to_string(), None::<()>)
}

/// Use of a connection. Calls have one of their own, so that large requests and answers do not
/// delay them.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Channel {
    Control,
    Traffic,
}

/// Client of a connection, if there is one; locked while it connects.
type Connection = Arc<Mutex<Option<Arc<WsClient>>>>;

/// RPC client for all peers. Connects to a peer at the first request.
#[derive(Default)]
pub struct Rpc {
    connections: std::sync::Mutex<HashMap<(SocketAddr, Channel), Connection>>,
}

#[async_trait]
impl Transport for Rpc {
    async fn call(&self, to: SocketAddr, call: Call) -> Result<Response, Unreachable> {
        self.request(to, Channel::Control, CALL_METHOD, &call, CALL_TIMEOUT).await
    }

    async fn forward(&self, to: SocketAddr, forward: Forward) -> Result<Reply, Unreachable> {
        let timeout = forward.timeout() + ROUND_TRIP_TIMEOUT;
        self.request(to, Channel::Traffic, FORWARD_METHOD, &forward, timeout).await
    }
}

impl Rpc {
    async fn request<P: Serialize, R: DeserializeOwned>(
        &self,
        to: SocketAddr,
        channel: Channel,
        method: &str,
        param: &P,
        timeout: Duration,
    ) -> Result<R, Unreachable> {
        let client = self.client(to, channel).await?;
        let mut params = ArrayParams::new();
        params.insert(param).map_err(|_| Unreachable::TimedOut)?;
        match tokio::time::timeout(timeout, client.request(method, params)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) => Err(Unreachable::TimedOut),
            Err(_) => {
                if channel == Channel::Control {
                    // The connection may be broken without notice, so the next call makes a new
                    // one.
                    self.drop_client(to, channel, &client).await;
                }
                Err(Unreachable::TimedOut)
            }
        }
    }

    async fn client(&self, to: SocketAddr, channel: Channel) -> Result<Arc<WsClient>, Unreachable> {
        let connection = self.connection(to, channel);
        let mut connection = connection.lock().await;
        if let Some(client) = connection.as_ref().filter(|client| client.is_connected()) {
            return Ok(Arc::clone(client));
        }
        *connection = None;
        let client = Arc::new(connect(to).await?);
        *connection = Some(Arc::clone(&client));
        Ok(client)
    }

    async fn drop_client(&self, to: SocketAddr, channel: Channel, client: &Arc<WsClient>) {
        let connection = self.connection(to, channel);
        let mut connection = connection.lock().await;
        if connection.as_ref().is_some_and(|current| Arc::ptr_eq(current, client)) {
            *connection = None;
        }
    }

    fn connection(&self, to: SocketAddr, channel: Channel) -> Connection {
        let mut connections =
            self.connections.lock().expect("no thread panics while it holds the lock");
        Arc::clone(connections.entry((to, channel)).or_default())
    }
}

async fn connect(to: SocketAddr) -> Result<WsClient, Unreachable> {
    let ping = PingConfig::new().ping_interval(PING_INTERVAL).inactive_limit(INACTIVITY_TIMEOUT);
    WsClientBuilder::default()
        .max_request_size(MAX_MESSAGE_BYTES)
        .max_response_size(MAX_MESSAGE_BYTES)
        .max_concurrent_requests(MAX_CONCURRENT_REQUESTS)
        .connection_timeout(CONNECT_TIMEOUT)
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
