//! Addresses that can be connected to.

use std::net::{IpAddr, SocketAddr};

use derive_more::{Display, Error};
use serde::Deserialize;

/// Where another process listens.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Deserialize)]
#[serde(try_from = "SocketAddr")]
pub struct Endpoint(SocketAddr);

/// Why an address can't be connected to.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum Error {
    /// Nothing listens on port 0.
    #[display("port 0 can't be connected to")]
    ZeroPort,
    /// It names no single machine.
    #[display("the address names no single machine")]
    NotUnicast,
    /// It holds on one link only, and has no form in a URL.
    #[display("the address has a scope")]
    Scoped,
}

impl TryFrom<SocketAddr> for Endpoint {
    type Error = Error;

    fn try_from(address: SocketAddr) -> Result<Self, Error> {
        let ip = address.ip();
        let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
        if address.port() == 0 {
            return Err(Error::ZeroPort);
        }
        if ip.is_unspecified() || ip.is_multicast() || is_broadcast {
            return Err(Error::NotUnicast);
        }
        match address {
            SocketAddr::V6(address) if address.scope_id() != 0 => Err(Error::Scoped),
            _ => Ok(Self(address)),
        }
    }
}

impl From<Endpoint> for SocketAddr {
    fn from(endpoint: Endpoint) -> Self {
        endpoint.0
    }
}
