//! `accept`: put a configuration in force.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use coltsfootshunt_core::config::Revision;
use coltsfootshunt_entry::platform::{Agent, Platform, Registration, accept};
use uuid::Uuid;

use super::common::{ask, file, file_arg, platform, platform_arg, read_plan};
use crate::error::Problem;

/// Exit code if some entries did not show the revision in time.
const NOT_EVERYWHERE: u8 = 3;
/// Time between looks at the entries.
const LOOK_EVERY: Duration = Duration::from_millis(200);

pub fn command() -> Command {
    Command::new("accept")
        .about("Put a configuration in force by compare-and-swap")
        .arg(file_arg("Configuration, as the operators' library prints it"))
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
                .help("Wait up to this many seconds until every registered entry has it in force")
                .value_parser(value_parser!(u64)),
        )
}

pub async fn run(matches: &ArgMatches) -> Result<ExitCode, Problem> {
    let plan = read_plan(file(matches))?;
    let platform = platform(matches);
    let after = matches.get_one::<u64>("after").copied().map(Revision);
    let revision =
        accept(&platform, plan, after, Uuid::new_v4()).await.map_err(Problem::Rejected)?;
    println!("accepted as revision {revision}");
    let Some(seconds) = matches.get_one::<u64>("wait") else {
        return Ok(ExitCode::SUCCESS);
    };
    wait(&platform, revision, Duration::from_secs(*seconds)).await
}

async fn wait(
    platform: &dyn Platform,
    revision: Revision,
    within: Duration,
) -> Result<ExitCode, Problem> {
    let entries = Agent::registrations(platform).await.map_err(Problem::Platform)?;
    let began = Instant::now();
    let mut waiting: Vec<&Registration> = entries.iter().collect();
    while !waiting.is_empty() && began.elapsed() < within {
        let mut still = Vec::new();
        for entry in waiting {
            if !has(entry, revision).await {
                still.push(entry);
            }
        }
        waiting = still;
        if !waiting.is_empty() {
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }
    report(&entries, &waiting, began.elapsed());
    Ok(if waiting.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(NOT_EVERYWHERE) })
}

async fn has(entry: &Registration, revision: Revision) -> bool {
    let Ok((_, ready)) = ask(entry.operators, "/readyz").await else {
        return false;
    };
    ready["revision"].as_u64().is_some_and(|found| found >= revision.0)
}

fn report(entries: &[Registration], waiting: &[&Registration], took: Duration) {
    let mut zones: BTreeMap<_, (usize, Vec<_>)> = BTreeMap::new();
    for entry in entries {
        let zone = zones.entry(&entry.zone).or_default();
        zone.0 += 1;
        if waiting.iter().any(|other| other.incarnation == entry.incarnation) {
            zone.1.push(entry.host.to_string());
        }
    }
    for (zone, (all, missing)) in zones {
        let there = all - missing.len();
        let note = if missing.is_empty() {
            String::new()
        } else {
            format!("; gone, cut off or late: {}", missing.join(", "))
        };
        println!("zone {zone}: in force at {there} of {all} entries{note}");
    }
    println!("looked for {} ms", took.as_millis());
}
