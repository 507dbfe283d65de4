//! Repeats of jobs whose earlier runs may still be at work: they wait until those are over.

mod register;

#[cfg(test)]
mod tests;

pub use register::{Parked, Register};
