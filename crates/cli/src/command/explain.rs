//! `explain`: prints the log records of several hosts about one job.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::Value;

use crate::error::Error;
use crate::logs::{self, Record, text_field};

/// Fields that are not printed as `name=value`: they have columns of their own or add nothing.
const OMITTED_FIELDS: [&str; 7] = ["ts", "host", "zone", "incarnation", "level", "msg", "job"];

pub fn command() -> Command {
    Command::new("explain")
        .about("Print the log records of hosts about a job, in order of time")
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

pub fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    let job = matches.get_one::<String>("job").expect("clap requires the argument");
    let paths = matches.get_many::<PathBuf>("logs").expect("clap requires the argument");
    let records = logs::read(paths, |record| text_field(record, "job") == job)?;
    for record in &records {
        println!("{}", format_record(record));
    }
    Ok(if records.is_empty() { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

/// Formats a record as time, host, message and the remaining fields.
fn format_record(record: &Record) -> String {
    let fields = record.iter().filter(|(name, _)| !OMITTED_FIELDS.contains(&name.as_str()));
    let fields: Vec<String> = fields
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    let (time, host, message) =
        (text_field(record, "ts"), text_field(record, "host"), text_field(record, "msg"));
    format!("{time} {host} {message}: {}", fields.join(" "))
}
