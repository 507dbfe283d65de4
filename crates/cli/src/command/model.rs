//! `model`: simulates load patterns with several policies.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use coltsfootshunt_model::dispatcher::Dispatcher;
use coltsfootshunt_model::fifo::Fifo;
use coltsfootshunt_model::load::{Load, PATTERNS, Pattern};
use coltsfootshunt_model::policy::Policy;
use coltsfootshunt_model::report::Report;
use coltsfootshunt_model::summary::Summary;

use crate::error::Error;

/// Default of `--targets`.
const DEFAULT_TARGETS: &str = "16";
/// Default of `--seconds`.
const DEFAULT_SECONDS: &str = "30";

pub fn command() -> Command {
    let number = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).help(help).value_parser(value_parser!(u64))
    };
    Command::new("model")
        .about("Simulate load patterns in virtual time and compare several policies")
        .arg(number("targets", "Number of targets").default_value(DEFAULT_TARGETS))
        .arg(number("zones", "Number of availability zones").default_value("1"))
        .arg(number("hosts", "Number of hosts in each zone").default_value("1"))
        .arg(number("seconds", "Seconds during which jobs arrive").default_value(DEFAULT_SECONDS))
        .arg(number("seed", "First seed of the generated loads").default_value("1"))
        .arg(number("seeds", "Number of seeds").default_value("1"))
        .arg(number("event-us", "Microseconds that a host takes for an event").default_value("0"))
        .arg(Arg::new("pattern").long("pattern").help("Simulate only the pattern of this name"))
}

pub fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    let number = |name| *matches.get_one::<u64>(name).expect("the argument has a default");
    let count = |name| usize::try_from(number(name)).unwrap_or(usize::MAX).max(1);
    let duration = Duration::from_secs(number("seconds"));
    let dispatcher = Dispatcher { zones: count("zones"), hosts_per_zone: count("hosts") };
    println!("{:<12}{:<29}{}", "pattern", "policy", Summary::header());
    let only = matches.get_one::<String>("pattern");
    let event_cost = Duration::from_micros(number("event-us"));
    let seeds = number("seed")..number("seed") + number("seeds");
    let simulate = |pattern: Pattern, policy: &dyn Policy| {
        let report = |seed| {
            let load = Load::generate(pattern, count("targets"), duration, seed);
            Report::new(&load, &policy.simulate(&load))
        };
        Summary::from_iter(seeds.clone().map(report)).row()
    };
    for pattern in PATTERNS.iter().filter(|pattern| only.is_none_or(|name| name == pattern.name)) {
        let pattern = Pattern { event_cost, ..*pattern };
        let name = dispatcher.name();
        println!("{:<12}{name:<29}{}", pattern.name, simulate(pattern, &dispatcher));
        if pattern.is_dense {
            let policy = format!("{name}, zones not dense");
            let sparse = Pattern { is_dense: false, ..pattern };
            println!("{:<12}{policy:<29}{}", pattern.name, simulate(sparse, &dispatcher));
        }
        println!("{:<12}{:<29}{}", pattern.name, Fifo.name(), simulate(pattern, &Fifo));
    }
    Ok(ExitCode::SUCCESS)
}
