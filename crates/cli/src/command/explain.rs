//! `explain`: what happened to one job, from the logs of several hosts.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::{Map, Value};

use crate::problem::Problem;

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
    let mut lines = Vec::new();
    for path in matches.get_many::<PathBuf>("logs").expect("clap requires it") {
        lines.extend(read(path, job)?);
    }
    lines.sort_by_key(|line| text(line, "ts"));
    for line in &lines {
        println!("{}", told(line));
    }
    Ok(if lines.is_empty() { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

/// Lines of a file that are about the job. What stands before the JSON of a line is passed over.
fn read(path: &Path, job: &str) -> Result<Vec<Map<String, Value>>, Problem> {
    let unreadable = |cause| Problem::Unreadable { path: path.display().to_string(), cause };
    let file = std::fs::File::open(path).map_err(unreadable)?;
    let mut found = Vec::new();
    for line in BufReader::new(file).lines() {
        let line = line.map_err(unreadable)?;
        let json = line.find('{').map(|start| &line[start..]);
        let parsed = json.and_then(|json| serde_json::from_str::<Map<String, Value>>(json).ok());
        found.extend(parsed.filter(|line| text(line, "job") == job));
    }
    Ok(found)
}

/// One line for a reader: when, where, what, and the inputs.
fn told(line: &Map<String, Value>) -> String {
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

fn text(line: &Map<String, Value>, name: &str) -> String {
    line.get(name).and_then(Value::as_str).unwrap_or_default().to_owned()
}
