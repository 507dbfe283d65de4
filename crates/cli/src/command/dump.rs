//! `dump`: the whole state of one entry.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use super::common::ask;
use crate::error::Problem;

pub fn command() -> Command {
    Command::new("dump").about("Print the state of an entry").arg(
        Arg::new("operators")
            .help("Operators' address of the entry")
            .required(true)
            .value_parser(value_parser!(SocketAddr)),
    )
}

pub async fn run(matches: &ArgMatches) -> Result<ExitCode, Problem> {
    let address = *matches.get_one::<SocketAddr>("operators").expect("clap requires it");
    let (_, state) = ask(address, "/dump").await?;
    println!("{}", serde_json::to_string_pretty(&state).expect("JSON serializes"));
    Ok(ExitCode::SUCCESS)
}
