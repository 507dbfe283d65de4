//! Interface to the platform's service.

use std::time::Duration;

use async_trait::async_trait;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// A key with its value and version.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Key in the store.
    pub key: String,
    /// Version, which grows with each write to the key; 0 if the key has no value.
    pub version: u64,
    /// Value as text.
    pub value: String,
}

/// A lease in the store, to which keys can be bound.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Identifier that the platform assigned.
    #[serde(rename = "lease")]
    pub id: u64,
}

/// Result of a compare-and-swap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Swap {
    /// The value was written.
    Written,
    /// The key has another version, and nothing was written.
    VersionMismatch,
}

/// The platform's list of leaving hosts, which may be out of date.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Hosts {
    /// Version of the list, which grows with each change.
    pub version: u64,
    /// Names of hosts that are leaving.
    pub leaving: Vec<String>,
}

/// Why a call to the platform failed.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum Error {
    /// No connection to the platform. The request had no effect.
    #[display("the platform can't be reached")]
    Unreachable,
    /// No response, or a server error. The request may have taken effect.
    #[display("the platform's answer was lost")]
    NoResponse,
    /// A response that is not of the expected form. The request may have taken effect.
    #[display("the platform's answer can't be read")]
    InvalidResponse,
}

/// The platform's service.
#[async_trait]
pub trait Platform: Send + Sync {
    /// Reads a key; `None` if it has no value.
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error>;

    /// Reads all keys that begin with `prefix`.
    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error>;

    /// Writes a key if its version is `expected`; 0 means that it has no value. A key that is
    /// written with a lease is deleted when the lease expires.
    async fn compare_and_swap(
        &self,
        key: &str,
        expected: u64,
        value: &str,
        lease: Option<&Lease>,
    ) -> Result<Swap, Error>;

    /// Grants a lease that expires after `term` unless it is renewed.
    async fn grant_lease(&self, term: Duration) -> Result<Lease, Error>;

    /// Renews a lease. Returns whether it had not expired.
    async fn renew(&self, lease: &Lease) -> Result<bool, Error>;

    /// Waits at most `wait` until the version of a key is above `after`, and returns the entry.
    /// `None` if that time passes first.
    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<Entry>, Error>;

    /// Returns the list of leaving hosts.
    async fn hosts(&self) -> Result<Hosts, Error>;
}
