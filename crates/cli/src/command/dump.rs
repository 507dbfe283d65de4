//! `dump`: prints the state of an entry.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};

use super::common::get_json;
use crate::error::Error;

pub fn command() -> Command {
    Command::new("dump").about("Print the state of an entry").arg(
        Arg::new("operators")
            .help("Operators' address of the entry")
            .required(true)
            .value_parser(value_parser!(SocketAddr)),
    )
}

pub async fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    let address = *matches.get_one::<SocketAddr>("operators").expect("clap requires the argument");
    let (_, state) = get_json(address, "/dump").await?;
    println!("{}", serde_json::to_string_pretty(&state).expect("a JSON value can be serialized"));
    Ok(ExitCode::SUCCESS)
}
