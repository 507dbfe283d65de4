//! Addresses that a client can connect to.

use std::net::{IpAddr, SocketAddr};

use derive_more::{Display, Error};
use serde::Deserialize;

/// Address at which another process listens: a unicast IP address without a scope and a non-zero port.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Deserialize)]
#[serde(try_from = "SocketAddr")]
pub struct Endpoint(SocketAddr);

/// Why a socket address is not an [`Endpoint`].
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum Error {
    /// The port is 0, on which nothing can listen.
    #[display("port 0 can't be connected to")]
    ZeroPort,
    /// The IP address is unspecified, multicast or broadcast.
    #[display("the address names no single machine")]
    NotUnicast,
    /// The IPv6 address has a scope: it is valid on one link only and can't be written in a URL.
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
