//! The platform's service over HTTP and JSON. Only this module knows the wire format.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use coltsfootshunt_http::{Client, Error as HttpError, Method, Request, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use super::{Entry, Error, Hosts, Lease, Platform, Swap};

/// Limit of a response body, in bytes. A list holds many values of up to a megabyte.
const MAX_RESPONSE_BYTES: usize = 32 << 20;
/// Timeout of a request; a watch adds the time for which it waits.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP client of the platform.
pub struct Http {
    client: Client,
    address: SocketAddr,
}

impl Http {
    /// Creates a client of the service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::new(MAX_RESPONSE_BYTES), address }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Value>,
        timeout: Duration,
    ) -> Result<(StatusCode, Vec<u8>), Error> {
        let body = body.map(|body| body.to_string().into_bytes()).unwrap_or_default();
        let request = Request { method, address: self.address, path, body, timeout };
        match self.client.send(request).await {
            Ok((status, body)) if status.is_server_error() => {
                drop(body);
                Err(Error::NoResponse)
            }
            Ok((status, body)) => Ok((status, body.to_vec())),
            Err(HttpError::Connect | HttpError::Refused) => Err(Error::Unreachable),
            Err(_) => Err(Error::NoResponse),
        }
    }

    async fn read<T: DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<Option<T>, Error> {
        let (status, body) = self.call(Method::GET, path, None, timeout).await?;
        match status {
            StatusCode::OK => parse(&body).map(Some),
            StatusCode::NOT_FOUND | StatusCode::NO_CONTENT => Ok(None),
            _ => Err(Error::InvalidResponse),
        }
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|_| Error::InvalidResponse)
}

#[async_trait]
impl Platform for Http {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.read(&format!("/v1/keys/{key}"), REQUEST_TIMEOUT).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        let entries = self.read(&format!("/v1/list/{prefix}"), REQUEST_TIMEOUT).await?;
        Ok(entries.unwrap_or_default())
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: u64,
        value: &str,
        lease: Option<&Lease>,
    ) -> Result<Swap, Error> {
        let lease = lease.map(|lease| lease.id);
        let body = json!({ "expected": expected, "value": value, "lease": lease });
        let path = format!("/v1/keys/{key}");
        let (status, _) = self.call(Method::PUT, &path, Some(body), REQUEST_TIMEOUT).await?;
        match status {
            StatusCode::OK => Ok(Swap::Written),
            StatusCode::CONFLICT => Ok(Swap::VersionMismatch),
            _ => Err(Error::InvalidResponse),
        }
    }

    async fn grant_lease(&self, term: Duration) -> Result<Lease, Error> {
        let body = json!({ "term_ms": term.as_millis() as u64 });
        let (_, body) = self.call(Method::POST, "/v1/leases", Some(body), REQUEST_TIMEOUT).await?;
        parse(&body)
    }

    async fn renew(&self, lease: &Lease) -> Result<bool, Error> {
        let path = format!("/v1/leases/{}", lease.id);
        let (status, _) = self.call(Method::PUT, &path, None, REQUEST_TIMEOUT).await?;
        Ok(status == StatusCode::OK)
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<Entry>, Error> {
        let path = format!("/v1/keys/{key}?after={after}&wait_ms={}", wait.as_millis());
        self.read(&path, wait + REQUEST_TIMEOUT).await
    }

    async fn hosts(&self) -> Result<Hosts, Error> {
        let hosts = self.read("/v1/hosts", REQUEST_TIMEOUT).await?;
        Ok(hosts.unwrap_or_default())
    }
}
