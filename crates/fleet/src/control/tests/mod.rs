//! Whole hosts against targets that keep to the published protocol, under random failures.

mod evidence;
mod extreme_values;
mod jobs;
mod missing_entries;
mod partitions;
mod safety;
mod simulation;
mod startup;
mod target;
