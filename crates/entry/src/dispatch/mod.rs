//! Dispatch: which jobs are accepted, and which waiting task gets the next free slot.

mod admission;
mod budget;
mod order;
mod queue;
mod reserve;

#[cfg(test)]
mod tests;

pub use admission::{Admission, Demand, Everything, Limit, Predicted, Supply};
pub use budget::Budget;
pub use order::{Arrival, Order, Slack, Timing};
pub use queue::{Lane, Queue, QueuedTask};
pub use reserve::Reserve;
