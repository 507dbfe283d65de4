//! `show`: prints the configuration in force.

use std::process::ExitCode;

use clap::{ArgMatches, Command};
use coltsfootshunt_core::config::Draft;
use coltsfootshunt_entry::platform::fetch;

use super::common::{platform, platform_arg};
use crate::error::Error;

/// Exit code if no configuration is in force.
const EXIT_NO_CONFIGURATION: u8 = 3;

pub fn command() -> Command {
    Command::new("show")
        .about("Print the configuration in force, and its revision to standard error")
        .arg(platform_arg())
}

pub async fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    let platform = platform(matches);
    let Some((_, document)) = fetch(&platform).await.map_err(Error::Accept)? else {
        eprintln!("no configuration is in force");
        return Ok(ExitCode::from(EXIT_NO_CONFIGURATION));
    };
    eprintln!("revision {} by {}", document.version.revision, document.version.writer);
    let draft = Draft::from(document.config);
    println!(
        "{}",
        serde_json::to_string_pretty(&draft).expect("a valid configuration can be serialized")
    );
    Ok(ExitCode::SUCCESS)
}
