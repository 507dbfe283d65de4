//! Messages between entries and the transport that carries them.

mod call;
mod forward;
mod rpc;
mod transport;

#[cfg(test)]
mod tests;

pub use call::{Call, Response};
pub use forward::Forward;
pub use rpc::{Rpc, Server, serve};
pub use transport::{Transport, Unreachable};
