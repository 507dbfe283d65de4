//! Whole hosts against targets that keep to the published protocol, under random failures.

mod partitions;
mod evidence;
mod extreme_values;
mod jobs;
mod safety;
mod startup;
mod target;
mod missing_entries;
mod simulation;
