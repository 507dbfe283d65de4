//! Dense zones: those with so many targets that one host can't give orders to all of them under load.
//!
//! Policies for such zones are off elsewhere, so that a deployment that one steward a zone can serve sees the
//! same decisions and messages as without them.

mod zones;

#[cfg(test)]
mod tests;

pub use zones::{MAX_TARGETS_PER_CORE, Zones};
