//! Tests of the whole control state, without I/O.

mod checks;
mod fixture;
mod fleet;
mod promises;
mod work;
mod world;
