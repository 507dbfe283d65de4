//! Precedence: whose work goes first when more waits than can start in time.
//!
//! Least slack first serves most jobs as long as all that wait can start in time. With more than that, it
//! spends the room on whatever is about to be late, regardless of its importance, and a kind whose arrivals
//! rise for some seconds displaces all others. In dense zones the order therefore depends on the load:
//!
//! - While all queued tasks are expected to start in time, the order is [`LeastSlack`], as elsewhere.
//! - Otherwise it is [`Importance`]: the usual share of each kind by priority, then what exceeds it.
//!
//! [`Policy`] selects the order. [`Arrivals`] knows the usual share of each kind.

mod arrivals;
mod order;
mod policy;

#[cfg(test)]
mod tests;

pub use arrivals::Arrivals;
pub use order::{Class, Importance, LeastSlack, Order, Rank};
pub use policy::Policy;
