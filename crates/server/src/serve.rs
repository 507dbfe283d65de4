//! Accepts connections and serves requests on them.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use derive_more::Display;
use hyper::Request;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};

use super::connections::Connections;
use super::{Connection, Limits};

/// Limit of the headers of a request, in bytes.
const MAX_HEADER_BYTES: usize = 16_384;
/// Delay after a failure to accept a connection, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What clients were denied.
#[derive(Clone, Debug, Display)]
pub enum Refusal {
    /// A connection could not be accepted.
    #[display("{cause}")]
    Accept {
        /// Error of the operating system.
        cause: Arc<str>,
    },
    /// A connection was closed, because there are too many.
    #[display("{limit} connections are open")]
    Connections {
        /// Limit on open connections.
        limit: usize,
    },
    /// A body was discarded, because all of them are too large.
    #[display("all bodies are larger than {limit} bytes")]
    Bodies {
        /// Limit on all bodies, in bytes.
        limit: usize,
    },
}

/// Is told what clients were denied.
pub trait Observer: Send + Sync {
    /// Handles one refusal. Must not block.
    fn refused(&self, refusal: &Refusal);
}

/// A listener with what it serves.
pub struct Listener {
    /// Bound socket.
    pub socket: TcpListener,
    /// Handlers of the requests. They find the [`Connection`] of a request in its extensions.
    pub routes: Router,
    /// Limits on what clients can make the process hold.
    pub limits: Limits,
    /// Time limit for the headers of a request; none if a connection may be silent for as long as there is room.
    pub header_timeout: Option<Duration>,
    /// Is told of refusals.
    pub observer: Arc<dyn Observer>,
}

impl Listener {
    /// Serves until `stopped`, then waits for the requests in progress.
    pub async fn serve(self, stopped: impl Future<Output = ()>) {
        let connections = Arc::new(Connections::new(self.limits, Arc::clone(&self.observer)));
        let graceful = GracefulShutdown::new();
        tokio::pin!(stopped);
        loop {
            tokio::select! {
                accepted = self.socket.accept() => match accepted {
                    Ok((stream, _)) => {
                        // Without room the connection is closed at once.
                        if let Some(connection) = connections.open() {
                            self.serve_connection(stream, connection, &graceful);
                        }
                    }
                    Err(cause) => {
                        // The client closed the connection, or file descriptors have run out and become free as
                        // other connections close.
                        self.observer.refused(&Refusal::Accept { cause: cause.to_string().into() });
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
                () = &mut stopped => break,
            }
        }
        graceful.shutdown().await;
    }

    fn serve_connection(
        &self,
        stream: TcpStream,
        connection: Connection,
        graceful: &GracefulShutdown,
    ) {
        // Nagle's algorithm would delay small responses. They are only slower if this fails.
        let _ = stream.set_nodelay(true);
        let connection = Arc::new(connection);
        let routes = TowerToHyperService::new(self.routes.clone());
        let served = Arc::clone(&connection);
        let service = service_fn(move |mut request: Request<Incoming>| {
            let connection = Arc::clone(&served);
            if request.body().is_end_stream() {
                connection.begin_request();
            }
            request.extensions_mut().insert(Arc::clone(&connection));
            let response = routes.call(request);
            async move {
                let response = response.await;
                connection.end_request();
                response
            }
        });
        let mut http = http1::Builder::new();
        http.timer(TokioTimer::new()).max_buf_size(MAX_HEADER_BYTES);
        if let Some(timeout) = self.header_timeout {
            http.header_read_timeout(timeout);
        }
        let exchange = graceful.watch(http.serve_connection(TokioIo::new(stream), service));
        tokio::spawn(async move {
            tokio::select! {
                // A client that closed its connection needs no response.
                _ = exchange => {}
                () = connection.evicted() => {}
            }
        });
    }
}
