//! JSON-RPC between hosts, over one WebSocket each way.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use jsonrpsee::RpcModule;
use jsonrpsee::client_transport::ws::WsHandshakeError;
use jsonrpsee::core::client::{ClientT, Error};
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::server::{ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::{INTERNAL_ERROR_CODE, INVALID_PARAMS_CODE};
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use serde_json::value::RawValue;
use tokio::net::TcpListener;

use super::wire::{Frame, FrameError, Reply, Senders, Session};
use super::{Account, Ack, Batch, Transport, Unreachable};
use crate::control::Handle;

/// The only method: delivers one batch.
const METHOD: &str = "fleet_deliver";
/// Its name for batches in the short form.
const SHORT_METHOD: &str = "d";
/// Timeout of a batch and its acknowledgement: tens of round trips between zones.
const DELIVER_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of an encoded batch, in bytes. It has room for a list of some thousand targets.
const MAX_BATCH_BYTES: u32 = 8 << 20;
/// Maximum number of connections to the server.
const MAX_CONNECTIONS: u32 = 512;

/// The server side. The server stops when this is dropped.
pub struct Server {
    _handle: ServerHandle,
}

/// Starts the server on a listening socket, passes each batch to `control` and counts it in `account`.
///
/// # Errors
/// Returns an error if the socket can't be used.
pub fn serve(
    listener: TcpListener,
    control: Handle,
    account: Arc<Account>,
) -> std::io::Result<Server> {
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_BATCH_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .ws_only()
        .build();
    let builder = jsonrpsee::server::Server::builder().set_config(config);
    let server = builder.build_from_tcp(listener.into_std()?)?;
    let mut module = RpcModule::new((control, account, Senders::default()));
    module
        .register_async_method(METHOD, |params, context, _| async move {
            let (control, account, senders) = &*context;
            let parameter: Box<RawValue> = params.one()?;
            let frame = Frame::decode(&parameter).map_err(|error| malformed(&error))?;
            drop(parameter);
            let batch = match frame.batch(senders) {
                Ok(batch) => batch,
                // A process before this one knew the session. The sender begins a new one.
                Err(FrameError::UnknownSession) => return Ok(Reply::SessionLost),
                Err(error) => return Err(malformed(&error)),
            };
            account.record_received(&batch.from, frame.parts(&batch));
            let ack = control.deliver(batch).await.map_err(|_| {
                ErrorObjectOwned::owned(INTERNAL_ERROR_CODE, "the host is ending", None::<()>)
            })?;
            Ok(frame.reply(ack))
        })
        .expect("no other method is registered");
    module.register_alias(SHORT_METHOD, METHOD).expect("no other method has that name");
    Ok(Server { _handle: server.start(module) })
}

fn malformed(error: &FrameError) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(INVALID_PARAMS_CODE, error.to_string(), None::<()>)
}

/// The client side: one WebSocket connection per address.
pub struct Rpc {
    account: Arc<Account>,
    clients: Mutex<HashMap<SocketAddr, Arc<WsClient>>>,
    /// Sessions whose receivers know the short form, by address.
    sessions: Mutex<HashMap<SocketAddr, Session>>,
}

#[async_trait]
impl Transport for Rpc {
    async fn deliver(&self, to: SocketAddr, batch: &Batch) -> Result<Ack, Unreachable> {
        let client = self.client(to).await?;
        let mut params = ArrayParams::new();
        let status = self.sessions().get(&to).and_then(|session| session.status(batch.session));
        let (method, frame) = match status {
            Some(status) if batch.sequence > 1 => (SHORT_METHOD, Frame::short(batch, status)),
            _ => (METHOD, Frame::full(batch)),
        };
        let frame = frame.map_err(|_| Unreachable::TimedOut)?;
        self.account.record_sent(to, frame.parts(batch));
        let parameter = frame.encode().map_err(|_| Unreachable::TimedOut)?;
        params.insert(parameter).map_err(|_| Unreachable::TimedOut)?;
        let response = client.request::<Reply, _>(method, params);
        match tokio::time::timeout(DELIVER_TIMEOUT, response).await {
            Ok(Ok(reply)) => {
                if reply.knows_short_form() {
                    self.sessions().insert(to, Session::new(batch.session));
                } else if reply == Reply::Accepted
                    && let Some(session) = self.sessions().get_mut(&to)
                {
                    session.acknowledge(frame);
                }
                Ok(reply.into())
            }
            Ok(Err(_)) | Err(_) => {
                // Drop the connection, since it won't recover. The next batch opens a new one.
                self.lock().remove(&to);
                Err(Unreachable::TimedOut)
            }
        }
    }
}

impl Rpc {
    /// Creates a client without connections that counts what it sends in `account`.
    #[must_use]
    pub fn new(account: Arc<Account>) -> Self {
        Self { account, clients: Mutex::default(), sessions: Mutex::default() }
    }

    async fn client(&self, to: SocketAddr) -> Result<Arc<WsClient>, Unreachable> {
        let known = self.lock().get(&to).filter(|client| client.is_connected()).cloned();
        if let Some(client) = known {
            return Ok(client);
        }
        let client = Arc::new(connect(to).await?);
        self.lock().insert(to, Arc::clone(&client));
        Ok(client)
    }

    fn sessions(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Session>> {
        self.sessions.lock().expect("no thread panics while it holds the lock")
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<WsClient>>> {
        self.clients.lock().expect("no thread panics while it holds the lock")
    }
}

async fn connect(to: SocketAddr) -> Result<WsClient, Unreachable> {
    let client = WsClientBuilder::default()
        .max_request_size(MAX_BATCH_BYTES)
        .connection_timeout(CONNECT_TIMEOUT)
        .request_timeout(DELIVER_TIMEOUT)
        .build(format!("ws://{to}"));
    match tokio::time::timeout(CONNECT_TIMEOUT, client).await {
        Ok(Ok(client)) => Ok(client),
        Ok(Err(error)) if is_connection_refused(&error) => Err(Unreachable::Refused),
        Ok(Err(_)) | Err(_) => Err(Unreachable::TimedOut),
    }
}

/// Whether the error is a refused TCP connection.
fn is_connection_refused(error: &Error) -> bool {
    let Error::Transport(transport) = error else {
        return false;
    };
    match transport.downcast_ref::<WsHandshakeError>() {
        Some(WsHandshakeError::Io(io)) => io.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
