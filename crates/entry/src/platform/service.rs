//! Border to the platform.

use std::time::Duration;

use async_trait::async_trait;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// A value and its version.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its key.
    pub key: String,
    /// Grows with each write to the key; zero stands for no value.
    pub version: u64,
    /// The value.
    pub value: String,
}

/// A lease.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Its number.
    #[serde(rename = "lease")]
    pub id: u64,
}

/// Result of a compare-and-swap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Swap {
    /// The value was written.
    Written,
    /// The key has another version.
    VersionMismatch,
}

/// The list of hosts; it lags.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Hosts {
    /// Grows with each change.
    pub version: u64,
    /// Names of hosts that are leaving.
    pub leaving: Vec<String>,
}

/// Why the platform gave no answer.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum Error {
    /// The request had no effect.
    #[display("the platform can't be reached")]
    Unreachable,
    /// The request may have had its effect.
    #[display("the platform's answer was lost")]
    NoResponse,
    /// The answer can't be read.
    #[display("the platform's answer can't be read")]
    InvalidResponse,
}

/// The platform's service.
#[async_trait]
pub trait Platform: Send + Sync {
    /// Reads a key.
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error>;

    /// Reads all keys that begin with a prefix.
    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, Error>;

    /// Writes a key if it has the expected version; zero means that it has no value.
    async fn compare_and_swap(
        &self,
        key: &str,
        expected: u64,
        value: &str,
        lease: Option<&Lease>,
    ) -> Result<Swap, Error>;

    /// Gets a lease; keys written under it go when it lapses.
    async fn grant_lease(&self, term: Duration) -> Result<Lease, Error>;

    /// Renews a lease. Returns whether it still held.
    async fn renew(&self, lease: &Lease) -> Result<bool, Error>;

    /// Waits until a key has a higher version than `after`, at most for `wait`.
    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<Entry>, Error>;

    /// The list of hosts.
    async fn hosts(&self) -> Result<Hosts, Error>;
}
