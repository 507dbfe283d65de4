//! Quotas: each team's share of the slots while several teams have work waiting.
//!
//! A share that its team does not use is lent to the others.

mod shares;

#[cfg(test)]
mod tests;

pub use shares::{Account, Shares};
