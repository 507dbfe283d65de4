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
use jsonrpsee::types::error::INTERNAL_ERROR_CODE;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use tokio::net::TcpListener;

use super::{Ack, Batch, Transport, Unreachable};
use crate::control::Handle;

/// The one method.
const DELIVER: &str = "fleet_deliver";
/// Time for a batch and its acknowledgement: tens of round trips between zones.
const DELIVER_WITHIN: Duration = Duration::from_millis(250);
/// Time to connect.
const CONNECT_WITHIN: Duration = Duration::from_millis(250);
/// Largest batch, in bytes: a list of some thousand targets.
const MAX_BATCH_BYTES: u32 = 8 << 20;
/// Connections that the server takes.
const MAX_CONNECTIONS: u32 = 512;

/// The server side; it stops when this is dropped.
pub struct Server {
    _handle: ServerHandle,
}

/// Starts the server on a socket that listens.
///
/// # Errors
/// The socket can't be used.
pub fn serve(listener: TcpListener, control: Handle) -> std::io::Result<Server> {
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_BATCH_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .ws_only()
        .build();
    let builder = jsonrpsee::server::Server::builder().set_config(config);
    let server = builder.build_from_tcp(listener.into_std()?)?;
    let mut module = RpcModule::new(control);
    module
        .register_async_method(DELIVER, |params, control, _| async move {
            let batch: Batch = params.one()?;
            control.deliver(batch).await.map_err(|_| {
                ErrorObjectOwned::owned(INTERNAL_ERROR_CODE, "the host is ending", None::<()>)
            })
        })
        .expect("the method has one name");
    Ok(Server { _handle: server.start(module) })
}

/// The client side.
#[derive(Default)]
pub struct Rpc {
    clients: Mutex<HashMap<SocketAddr, Arc<WsClient>>>,
}

#[async_trait]
impl Transport for Rpc {
    async fn deliver(&self, to: SocketAddr, batch: &Batch) -> Result<Ack, Unreachable> {
        let client = self.client(to).await?;
        let mut params = ArrayParams::new();
        params.insert(batch).map_err(|_| Unreachable::TimedOut)?;
        match tokio::time::timeout(DELIVER_WITHIN, client.request(DELIVER, params)).await {
            Ok(Ok(ack)) => Ok(ack),
            Ok(Err(_)) | Err(_) => {
                // A connection that went silent stays so; the next batch makes a new one.
                self.lock().remove(&to);
                Err(Unreachable::TimedOut)
            }
        }
    }
}

impl Rpc {
    async fn client(&self, to: SocketAddr) -> Result<Arc<WsClient>, Unreachable> {
        let known = self.lock().get(&to).filter(|client| client.is_connected()).cloned();
        if let Some(client) = known {
            return Ok(client);
        }
        let client = Arc::new(connect(to).await?);
        self.lock().insert(to, Arc::clone(&client));
        Ok(client)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<WsClient>>> {
        self.clients.lock().expect("no holder of this lock panics")
    }
}

async fn connect(to: SocketAddr) -> Result<WsClient, Unreachable> {
    let client = WsClientBuilder::default()
        .max_request_size(MAX_BATCH_BYTES)
        .connection_timeout(CONNECT_WITHIN)
        .request_timeout(DELIVER_WITHIN)
        .build(format!("ws://{to}"));
    match tokio::time::timeout(CONNECT_WITHIN, client).await {
        Ok(Ok(client)) => Ok(client),
        Ok(Err(error)) if is_refusal(&error) => Err(Unreachable::Refused),
        Ok(Err(_)) | Err(_) => Err(Unreachable::TimedOut),
    }
}

fn is_refusal(error: &Error) -> bool {
    let Error::Transport(transport) = error else {
        return false;
    };
    match transport.downcast_ref::<WsHandshakeError>() {
        Some(WsHandshakeError::Io(io)) => io.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
