//! Runs that were lost with their targets: which of them crashed their target, and which tasks are
//! dangerous.

mod ledger;
mod message;

#[cfg(test)]
mod tests;

pub use ledger::{Ledger, Standing};
pub use message::{Loss, Run, Verdict};
