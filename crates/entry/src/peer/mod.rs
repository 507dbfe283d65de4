//! Messages between entries, and their transport.

mod call;
mod forward;
mod link;
mod rpc;

#[cfg(test)]
mod tests;

pub use call::{Call, Response};
pub use forward::Forward;
pub use link::{Link, Unreachable};
pub use rpc::{Rpc, Server, serve};
