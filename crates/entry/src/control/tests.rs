//! Tests of the whole control state, without I/O.

mod fixture;
mod invariants;
mod members;
mod promises;
mod simulation;
mod tasks;
