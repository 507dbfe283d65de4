//! `accept`: puts a configuration in force.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use coltsfootshunt_core::config::Revision;
use coltsfootshunt_entry::platform::{Agent, Platform, Registration, accept};
use uuid::Uuid;

use super::common::{file, file_arg, get_json, platform, platform_arg, read_config};
use crate::error::Error;

/// Exit code if some entries did not report the revision in time.
const EXIT_INCOMPLETE: u8 = 3;
const POLL_INTERVAL: Duration = Duration::from_millis(200);

pub fn command() -> Command {
    Command::new("accept")
        .about("Put a configuration in force by compare-and-swap")
        .arg(file_arg("Configuration, as printed by the operators' library"))
        .arg(platform_arg())
        .arg(
            Arg::new("after")
                .long("after")
                .help("Accept only if this revision is still in force")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .help("Wait up to this many seconds until it is in force at every registered entry")
                .value_parser(value_parser!(u64)),
        )
}

pub async fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    let config = read_config(file(matches))?;
    let platform = platform(matches);
    let after = matches.get_one::<u64>("after").copied().map(Revision);
    let revision = accept(&platform, config, after, Uuid::new_v4()).await.map_err(Error::Accept)?;
    println!("accepted as revision {revision}");
    let Some(seconds) = matches.get_one::<u64>("wait") else {
        return Ok(ExitCode::SUCCESS);
    };
    wait_until_in_force(&platform, revision, Duration::from_secs(*seconds)).await
}

/// Waits until all registered entries report the revision, and prints how many of them do.
async fn wait_until_in_force(
    platform: &dyn Platform,
    revision: Revision,
    timeout: Duration,
) -> Result<ExitCode, Error> {
    let entries = Agent::registrations(platform).await.map_err(Error::Platform)?;
    let started = Instant::now();
    let mut missing: Vec<&Registration> = entries.iter().collect();
    while !missing.is_empty() && started.elapsed() < timeout {
        let mut still_missing = Vec::new();
        for entry in missing {
            if !has_revision(entry, revision).await {
                still_missing.push(entry);
            }
        }
        missing = still_missing;
        if !missing.is_empty() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    print_report(&entries, &missing, started.elapsed());
    Ok(if missing.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_INCOMPLETE) })
}

/// Whether an entry reports this revision or a newer one.
async fn has_revision(entry: &Registration, revision: Revision) -> bool {
    let Ok((_, ready)) = get_json(entry.operators, "/readyz").await else {
        return false;
    };
    ready["revision"].as_u64().is_some_and(|found| found >= revision.0)
}

/// Prints for each zone at how many entries the revision is in force.
fn print_report(entries: &[Registration], missing: &[&Registration], elapsed: Duration) {
    let mut zones: BTreeMap<_, (usize, Vec<_>)> = BTreeMap::new();
    for entry in entries {
        let zone = zones.entry(&entry.zone).or_default();
        zone.0 += 1;
        if missing.iter().any(|other| other.incarnation == entry.incarnation) {
            zone.1.push(entry.host.to_string());
        }
    }
    for (zone, (all, missing)) in zones {
        let in_force = all - missing.len();
        let suffix = if missing.is_empty() {
            String::new()
        } else {
            format!("; not confirmed by: {}", missing.join(", "))
        };
        println!("zone {zone}: in force at {in_force} of {all} entries{suffix}");
    }
    println!("waited {} ms", elapsed.as_millis());
}
