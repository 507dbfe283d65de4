//! `model`: simulates load patterns with several policies.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use coltsfootshunt_model::dispatcher::Dispatcher;
use coltsfootshunt_model::fifo::Fifo;
use coltsfootshunt_model::load::{Load, PATTERNS};
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
        .arg(Arg::new("pattern").long("pattern").help("Simulate only the pattern of this name"))
}

pub fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    let number = |name| *matches.get_one::<u64>(name).expect("the argument has a default");
    let count = |name| usize::try_from(number(name)).unwrap_or(usize::MAX).max(1);
    let duration = Duration::from_secs(number("seconds"));
    let dispatcher = Dispatcher { zones: count("zones"), hosts_per_zone: count("hosts") };
    let policies: [&dyn Policy; 2] = [&dispatcher, &Fifo];
    println!("{:<12}{:<25}{}", "pattern", "policy", Summary::header());
    let only = matches.get_one::<String>("pattern");
    let seeds = number("seed")..number("seed") + number("seeds");
    for pattern in PATTERNS.iter().filter(|pattern| only.is_none_or(|name| name == pattern.name)) {
        let generate = |seed| Load::generate(*pattern, count("targets"), duration, seed);
        let loads: Vec<Load> = seeds.clone().map(generate).collect();
        for policy in policies {
            let reports = loads.iter().map(|load| Report::new(load, &policy.simulate(load)));
            let summary = Summary::from_iter(reports);
            println!("{:<12}{:<25}{}", pattern.name, policy.name(), summary.row());
        }
    }
    Ok(ExitCode::SUCCESS)
}
