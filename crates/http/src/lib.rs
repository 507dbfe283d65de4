//! HTTP/1.1 client for JSON requests. Its errors tell whether the server may have received the
//! request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
pub use hyper::{Method, StatusCode};
use hyper::{Response, header};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client as HyperClient, Error as HyperError};
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an unused connection in the pool is closed.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a request got no complete response.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum Error {
    /// No connection could be established, so the request was not sent.
    #[display("no connection")]
    Connect,
    /// The host refused the connection because nothing listens there, so the request was not sent.
    #[display("the connection was refused")]
    Refused,
    /// The connection closed before the whole response arrived.
    #[display("the connection was lost")]
    Disconnected,
    /// The whole response did not arrive within the timeout.
    #[display("no response in time")]
    Timeout,
    /// The response body is larger than the limit of the client.
    #[display("the response is too large")]
    Oversized,
}

/// A request, with or without a JSON body.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// HTTP method.
    pub method: Method,
    /// Address of the server.
    pub address: SocketAddr,
    /// Path and query, starting with a slash.
    pub path: &'a str,
    /// JSON text, or empty for a request without a body.
    pub body: Vec<u8>,
    /// Time limit for connecting, sending and receiving the whole response.
    pub timeout: Duration,
}

/// An HTTP client with a pool of connections. Clones share the pool.
#[derive(Clone)]
pub struct Client {
    pool: HyperClient<HttpConnector, Full<Bytes>>,
    max_response_bytes: usize,
}

impl Client {
    /// Creates a client that rejects response bodies of more than `max_response_bytes`.
    #[must_use]
    pub fn new(max_response_bytes: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let pool = HyperClient::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
            .build(connector);
        Self { pool, max_response_bytes }
    }

    /// Sends a request and returns the status and body of the response.
    ///
    /// # Errors
    /// See [`enum@Error`]. After [`Error::Connect`] and [`Error::Refused`] the request was not sent.
    /// After any other error the server may have handled it.
    pub async fn send(&self, request: Request<'_>) -> Result<(StatusCode, Bytes), Error> {
        self.send_with_headers(request, &[]).await
    }

    /// Sends a request with additional headers, whose names must be lowercase.
    ///
    /// # Errors
    /// Same as for [`Self::send`].
    pub async fn send_with_headers(
        &self,
        request: Request<'_>,
        headers: &[(&'static str, &str)],
    ) -> Result<(StatusCode, Bytes), Error> {
        let timeout = request.timeout;
        // Dropping the exchange closes its connection, so a late response can't be taken for the
        // response to another request.
        match tokio::time::timeout(timeout, self.exchange(request, headers)).await {
            Ok(outcome) => outcome,
            Err(_) => Err(Error::Timeout),
        }
    }

    /// Sends a request whose response may be large for the link. The timeout of the request limits the time
    /// until the response begins and the time between two parts of it, and `transfer_timeout` that of all.
    ///
    /// # Errors
    /// Same as for [`Self::send`].
    pub async fn send_in_parts(
        &self,
        request: Request<'_>,
        transfer_timeout: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        let timeout = request.timeout;
        match tokio::time::timeout(transfer_timeout, self.exchange_in_parts(request, timeout)).await
        {
            Ok(outcome) => outcome,
            Err(_) => Err(Error::Timeout),
        }
    }

    async fn exchange_in_parts(
        &self,
        request: Request<'_>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        let response = self.pool.request(encode(request, &[]));
        let response = tokio::time::timeout(timeout, response).await.map_err(|_| Error::Timeout)?;
        let response = response.map_err(|error| classify(&error))?;
        let status = response.status();
        let mut body = response.into_body();
        let mut bytes = BytesMut::new();
        while let Some(frame) =
            tokio::time::timeout(timeout, body.frame()).await.map_err(|_| Error::Timeout)?
        {
            let frame = frame.map_err(|_| Error::Disconnected)?;
            bytes.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()));
            if bytes.len() > self.max_response_bytes {
                return Err(Error::Oversized);
            }
        }
        Ok((status, bytes.freeze()))
    }

    async fn exchange(
        &self,
        request: Request<'_>,
        headers: &[(&'static str, &str)],
    ) -> Result<(StatusCode, Bytes), Error> {
        let request = encode(request, headers);
        let response = self.pool.request(request).await.map_err(|error| classify(&error))?;
        self.read_response(response).await
    }

    async fn read_response(
        &self,
        response: Response<Incoming>,
    ) -> Result<(StatusCode, Bytes), Error> {
        let status = response.status();
        let limited = Limited::new(response.into_body(), self.max_response_bytes);
        match limited.collect().await {
            Ok(body) => Ok((status, body.to_bytes())),
            Err(error) if error.is::<LengthLimitError>() => Err(Error::Oversized),
            Err(_) => Err(Error::Disconnected),
        }
    }
}

/// Builds the request in the form that the HTTP library takes.
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
        .expect("a socket address, a path and checked headers form a valid request")
}

/// Tells apart connections that were refused, could not be established, or closed later.
fn classify(error: &HyperError) -> Error {
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
