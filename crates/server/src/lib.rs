//! HTTP/1.1 server whose clients are not trusted: what they can make the process hold is bounded in all, not
//! for each of them.

mod bodies;
mod connections;
mod limits;
mod serve;

#[cfg(test)]
mod tests;

pub use bodies::{BodyError, Content};
pub use connections::Connection;
pub use limits::{Limits, Machine};
pub use serve::{Listener, Observer, Refusal};
