//! JSON over HTTP/1.1. The failures tell whether the other side may have seen the request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
pub use hyper::{Method, StatusCode};
use hyper::{Response, header};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client as Pool, Error as PoolError};
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Time to connect.
const CONNECT_WITHIN: Duration = Duration::from_secs(1);
/// Time for which an idle connection is kept.
const KEEP_IDLE: Duration = Duration::from_secs(5);

/// Why there is no response.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum Error {
    /// No connection; the request was provably not sent.
    #[display("no connection")]
    Connect,
    /// The host answered that nothing listens; the request was provably not sent.
    #[display("the connection was refused")]
    Refused,
    /// The connection ended before a whole response.
    #[display("the connection was lost")]
    Disconnected,
    /// No whole response in time.
    #[display("no response in time")]
    Timeout,
    /// The response is over the limit.
    #[display("the response is too large")]
    Oversized,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Its method.
    pub method: Method,
    /// Where the server listens.
    pub address: SocketAddr,
    /// Path and query, from the first slash.
    pub path: &'a str,
    /// JSON body; empty for none.
    pub body: Vec<u8>,
    /// Time to the whole response.
    pub timeout: Duration,
}

/// A client with its pool of connections.
#[derive(Clone)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    max_response_bytes: usize,
}

impl Client {
    /// A client with no connections that reads responses up to a size, in bytes.
    #[must_use]
    pub fn new(max_response_bytes: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_WITHIN));
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(KEEP_IDLE)
            .build(connector);
        Self { pool, max_response_bytes }
    }

    /// Makes a request.
    ///
    /// # Errors
    /// See [`Error`]; after anything but [`Error::Connect`] and [`Error::Refused`] the request
    /// may have been served.
    pub async fn send(&self, request: Request<'_>) -> Result<(StatusCode, Bytes), Error> {
        self.send_with_headers(request, &[]).await
    }

    /// Makes a request with further headers; their names are in lower case.
    ///
    /// # Errors
    /// As [`Self::send`].
    pub async fn send_with_headers(
        &self,
        request: Request<'_>,
        headers: &[(&'static str, &str)],
    ) -> Result<(StatusCode, Bytes), Error> {
        let timeout = request.timeout;
        // Dropping the exchange closes its connection, so no late response meets another request.
        match tokio::time::timeout(timeout, self.exchange(request, headers)).await {
            Ok(outcome) => outcome,
            Err(_) => Err(Error::Timeout),
        }
    }

    async fn exchange(
        &self,
        request: Request<'_>,
        headers: &[(&'static str, &str)],
    ) -> Result<(StatusCode, Bytes), Error> {
        let request = encode(request, headers);
        let response = self.pool.request(request).await.map_err(|error| failure(&error))?;
        self.read(response).await
    }

    async fn read(&self, response: Response<Incoming>) -> Result<(StatusCode, Bytes), Error> {
        let status = response.status();
        let limited = Limited::new(response.into_body(), self.max_response_bytes);
        match limited.collect().await {
            Ok(body) => Ok((status, body.to_bytes())),
            Err(error) if error.is::<LengthLimitError>() => Err(Error::Oversized),
            Err(_) => Err(Error::Disconnected),
        }
    }
}

fn encode(request: Request<'_>, headers: &[(&'static str, &str)]) -> hyper::Request<Full<Bytes>> {
    let mut builder = hyper::Request::builder()
        .method(request.method)
        .uri(format!("http://{}{}", request.address, request.path))
        .header(header::CONTENT_TYPE, "application/json");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder
        .body(Full::new(Bytes::from(request.body)))
        .expect("an IP number, a port, a path and checked names make a request")
}

fn failure(error: &PoolError) -> Error {
    if !error.is_connect() {
        return Error::Disconnected;
    }
    let mut cause = std::error::Error::source(error);
    while let Some(error) = cause {
        let io = error.downcast_ref::<std::io::Error>();
        if io.is_some_and(|io| io.kind() == std::io::ErrorKind::ConnectionRefused) {
            return Error::Refused;
        }
        cause = error.source();
    }
    Error::Connect
}
