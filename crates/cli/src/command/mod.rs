//! The subcommands, one module each.

mod accept;
mod check;
mod common;
mod demo;
mod dump;
mod explain;
mod load;
mod losses;
mod model;
mod show;
mod submit;

use std::process::ExitCode;

use clap::{ArgMatches, Command};

pub use common::get_json;

use crate::error::Error;

/// Definition of the command line.
pub fn root() -> Command {
    Command::new("coltsfootshunt")
        .about("Dispatcher for sub-second tasks")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check::command())
        .subcommand(accept::command())
        .subcommand(show::command())
        .subcommand(submit::command())
        .subcommand(dump::command())
        .subcommand(explain::command())
        .subcommand(losses::command())
        .subcommand(load::command())
        .subcommand(model::command())
        .subcommand(demo::command())
}

/// Runs the given subcommand. Returns its exit code.
///
/// # Errors
/// If the command fails. The process exits with code 1 then.
pub async fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    match matches.subcommand() {
        Some(("check", matches)) => check::run(matches),
        Some(("accept", matches)) => accept::run(matches).await,
        Some(("show", matches)) => show::run(matches).await,
        Some(("submit", matches)) => submit::run(matches).await,
        Some(("dump", matches)) => dump::run(matches).await,
        Some(("explain", matches)) => explain::run(matches),
        Some(("losses", matches)) => losses::run(matches),
        Some(("load", matches)) => load::run(matches).await,
        Some(("model", matches)) => model::run(matches),
        Some(("demo", matches)) => demo::run(matches).await,
        _ => unreachable!("clap accepts only the subcommands above"),
    }
}
