//! `model`: load patterns played by several policies side by side.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use coltsfootshunt_model::load::{Load, PATTERNS};
use coltsfootshunt_model::policy::Policy;
use coltsfootshunt_model::product::Product;
use coltsfootshunt_model::report::Report;
use coltsfootshunt_model::simple::Simple;

use crate::problem::Problem;

/// Targets of one steward, unless asked otherwise.
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
        .arg(number("seconds", "Seconds in which jobs come").default_value(SECONDS))
        .arg(number("seed", "Seed of the load").default_value("1"))
}

pub fn run(matches: &ArgMatches) -> Result<ExitCode, Problem> {
    let number = |name| *matches.get_one::<u64>(name).expect("it has a default");
    let length = Duration::from_secs(number("seconds"));
    let policies: [&dyn Policy; 2] = [&Product, &Simple];
    println!("{:<12}{:<25}{}", "pattern", "policy", Report::head());
    for pattern in PATTERNS {
        let targets = usize::try_from(number("targets")).unwrap_or(usize::MAX);
        let load = Load::draw(pattern, targets, length, number("seed"));
        for policy in policies {
            let report = Report::new(&load, &policy.play(&load));
            println!("{:<12}{:<25}{}", pattern.name, policy.name(), report.row());
        }
    }
    Ok(ExitCode::SUCCESS)
}
