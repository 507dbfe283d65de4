//! Whole hosts against targets that keep to the published protocol, under random failures.

mod cuts;
mod evidence;
mod extremes;
mod jobs;
mod safety;
mod start;
mod target;
mod vanished;
mod world;
