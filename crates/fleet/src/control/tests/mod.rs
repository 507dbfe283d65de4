//! Simulations of several hosts and of targets that follow the published protocol, with injected
//! faults.

mod backlog;
mod busy_stewards;
mod cancels;
mod common_work;
mod delayed_words;
mod departures;
mod doubted_notices;
mod evacuations;
mod evidence;
mod extreme_values;
mod jobs;
mod lagging_owners;
mod missing_entries;
mod partitions;
mod poison_tasks;
mod repeats;
mod restarts;
mod safety;
mod shrunk_targets;
mod simulation;
mod splits;
mod startup;
mod target;
mod tokens;
mod wide_jobs;
