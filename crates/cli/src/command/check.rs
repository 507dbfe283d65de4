//! `check`: validates a configuration.

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use super::common::{file, file_arg, read_config};
use crate::error::Error;

pub fn command() -> Command {
    Command::new("check")
        .about("Validate a configuration without putting it in force")
        .arg(file_arg("Configuration, as printed by the operators' library"))
}

pub fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    let config = read_config(file(matches))?;
    let slots: u32 = config.targets.iter().map(|target| target.slots).sum();
    println!(
        "valid: {} teams, {} kinds, {} targets with {slots} slots",
        config.teams.len(),
        config.kinds.len(),
        config.targets.len(),
    );
    Ok(ExitCode::SUCCESS)
}
