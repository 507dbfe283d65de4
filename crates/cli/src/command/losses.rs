//! `losses`: what became of all jobs, by kind, size and cause, from the logs of several hosts.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::error::Problem;
use crate::logs;
use crate::losses::{Account, Table};

pub fn command() -> Command {
    Command::new("losses")
        .about("Count what became of all jobs by kind, size and cause")
        .arg(
            Arg::new("jobs")
                .long("jobs")
                .help("Also name each job that was not served, with its cause")
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

pub fn run(matches: &ArgMatches) -> Result<ExitCode, Problem> {
    let paths = matches.get_many::<PathBuf>("logs").expect("clap requires it");
    let lines = logs::read(paths, |line| line.contains_key("job"))?;
    let mut account = Account::default();
    lines.iter().for_each(|line| account.take(line));
    println!("{}", Table::new(&account));
    if matches.get_flag("jobs") {
        for (id, story) in account.lost() {
            println!("{id} {} {} {}", story.kind, story.size, story.fate());
        }
    }
    Ok(ExitCode::SUCCESS)
}
