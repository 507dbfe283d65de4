//! `explain`: what happened to one job, from the logs of several hosts.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::Value;

use crate::error::Problem;
use crate::logs::{self, Line, text};

/// Fields that every line has, or that the columns show.
const SHOWN: [&str; 7] = ["ts", "host", "zone", "incarnation", "level", "msg", "job"];

pub fn command() -> Command {
    Command::new("explain")
        .about("Print what hosts wrote about a job, in order of time")
        .arg(Arg::new("job").help("Identifier of the job").required(true))
        .arg(
            Arg::new("logs")
                .help("Log files of hosts")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf)),
        )
}

pub fn run(matches: &ArgMatches) -> Result<ExitCode, Problem> {
    let job = matches.get_one::<String>("job").expect("clap requires it");
    let paths = matches.get_many::<PathBuf>("logs").expect("clap requires it");
    let lines = logs::read(paths, |line| text(line, "job") == job)?;
    for line in &lines {
        println!("{}", told(line));
    }
    Ok(if lines.is_empty() { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

/// One line for a reader: when, where, what, and the inputs.
fn told(line: &Line) -> String {
    let inputs = line.iter().filter(|(name, _)| !SHOWN.contains(&name.as_str()));
    let inputs: Vec<String> = inputs
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    let (at, host, what) = (text(line, "ts"), text(line, "host"), text(line, "msg"));
    format!("{at} {host} {what}: {}", inputs.join(" "))
}
