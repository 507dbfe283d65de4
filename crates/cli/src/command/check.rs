//! `check`: is this configuration valid?

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use super::common::{file, file_arg, read_plan};
use crate::error::Problem;

pub fn command() -> Command {
    Command::new("check")
        .about("Check a configuration without putting it in force")
        .arg(file_arg("Configuration, as the operators' library prints it"))
}

pub fn run(matches: &ArgMatches) -> Result<ExitCode, Problem> {
    let plan = read_plan(file(matches))?;
    let slots: u32 = plan.targets.iter().map(|target| target.slots).sum();
    println!(
        "valid: {} teams, {} kinds, {} targets with {slots} slots",
        plan.teams.len(),
        plan.kinds.len(),
        plan.targets.len(),
    );
    Ok(ExitCode::SUCCESS)
}
