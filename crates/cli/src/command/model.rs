//! `model`: load patterns played by several policies side by side.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use coltsfootshunt_model::dispatcher::Product;
use coltsfootshunt_model::fifo::Simple;
use coltsfootshunt_model::load::{Load, PATTERNS};
use coltsfootshunt_model::policy::Policy;
use coltsfootshunt_model::report::Report;
use coltsfootshunt_model::summary::Summary;

use crate::error::Problem;

/// Targets in all, unless asked otherwise.
const TARGETS: &str = "16";
/// Seconds in which jobs come, unless asked otherwise.
const SECONDS: &str = "30";

pub fn command() -> Command {
    let number = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).help(help).value_parser(value_parser!(u64))
    };
    Command::new("model")
        .about("Play load patterns in virtual time, with several policies side by side")
        .arg(number("targets", "Number of targets").default_value(TARGETS))
        .arg(number("zones", "Availability zones").default_value("1"))
        .arg(number("hosts", "Hosts of each zone").default_value("1"))
        .arg(number("seconds", "Seconds in which jobs come").default_value(SECONDS))
        .arg(number("seed", "First seed of the load").default_value("1"))
        .arg(number("seeds", "Number of seeds").default_value("1"))
        .arg(Arg::new("pattern").long("pattern").help("Only the pattern of this name"))
}

pub fn run(matches: &ArgMatches) -> Result<ExitCode, Problem> {
    let number = |name| *matches.get_one::<u64>(name).expect("it has a default");
    let count = |name| usize::try_from(number(name)).unwrap_or(usize::MAX).max(1);
    let length = Duration::from_secs(number("seconds"));
    let product = Product { zones: count("zones"), hosts: count("hosts") };
    let policies: [&dyn Policy; 2] = [&product, &Simple];
    println!("{:<12}{:<25}{}", "pattern", "policy", Summary::head());
    let only = matches.get_one::<String>("pattern");
    let seeds = number("seed")..number("seed") + number("seeds");
    for pattern in PATTERNS.iter().filter(|one| only.is_none_or(|name| name == one.name)) {
        let draw = |seed| Load::draw(*pattern, count("targets"), length, seed);
        let loads: Vec<Load> = seeds.clone().map(draw).collect();
        for policy in policies {
            let reports = loads.iter().map(|load| Report::new(load, &policy.play(load)));
            let summary = Summary::from_iter(reports);
            println!("{:<12}{:<25}{}", pattern.name, policy.name(), summary.row());
        }
    }
    Ok(ExitCode::SUCCESS)
}
