//! `show`: the configuration in force.

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use coltsfootshunt_core::config::Draft;
use coltsfootshunt_entry::platform::fetch;

use super::common::{platform, platform_arg};
use crate::error::Problem;

/// Exit code if nothing is in force.
const NOTHING: u8 = 3;

pub fn command() -> Command {
    Command::new("show")
        .about("Print the configuration in force; its revision goes to standard error")
        .arg(platform_arg())
}

pub async fn run(matches: &ArgMatches) -> Result<ExitCode, Problem> {
    let platform = platform(matches);
    let Some((_, document)) = fetch(&platform).await.map_err(Problem::Rejected)? else {
        eprintln!("no configuration is in force");
        return Ok(ExitCode::from(NOTHING));
    };
    eprintln!("revision {} by {}", document.version.revision, document.version.writer);
    let draft = Draft::from(document.config);
    println!("{}", serde_json::to_string_pretty(&draft).expect("a checked plan serializes"));
    Ok(ExitCode::SUCCESS)
}
