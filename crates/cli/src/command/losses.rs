//! `losses`: counts the outcomes of all jobs from the logs of several hosts, by kind and size.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::error::Error;
use crate::logs;
use crate::losses::{Histories, Table};

pub fn command() -> Command {
    Command::new("losses")
        .about("Count the outcomes of all jobs by kind and size")
        .arg(
            Arg::new("jobs")
                .long("jobs")
                .help("Also list each job that was not served, with its outcome")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("logs")
                .help("Log files of all hosts")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf)),
        )
}

pub fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    let paths = matches.get_many::<PathBuf>("logs").expect("clap requires the argument");
    let records = logs::read(paths, |record| record.contains_key("job"))?;
    let mut histories = Histories::default();
    records.iter().for_each(|record| histories.apply(record));
    println!("{}", Table::new(&histories));
    if matches.get_flag("jobs") {
        for (id, history) in histories.not_served() {
            println!("{id} {} {} {}", history.kind, history.size, history.outcome());
        }
    }
    Ok(ExitCode::SUCCESS)
}
