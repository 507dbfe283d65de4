//! `demo`: runs one job through an embedded fleet.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Instant;

use clap::{ArgMatches, Command};
use coltsfootshunt_caller::{Caller, Settings};
use coltsfootshunt_core::answer::Answer;
use coltsfootshunt_core::job::{Draft, Job};
use coltsfootshunt_standin::target::Target;

use crate::error::Error;
use crate::fleet::{Fleet, Options};

const TASK_COUNT: usize = 100;
/// Run time of each task, in milliseconds.
const TASK_MS: u64 = 100;
/// Deadline of the job, in milliseconds.
const DEADLINE_MS: u64 = 5_000;

pub fn command() -> Command {
    Command::new("demo")
        .about("Run a job through a platform, targets and entries embedded in this process")
}

pub async fn run(_: &ArgMatches) -> Result<ExitCode, Error> {
    let options = Options { zones: 2, entries: 4, targets: 6, ..Options::default() };
    println!(
        "starting {} entries in {} zones and {} targets with {} slots each",
        options.entries, options.zones, options.targets, options.slots_per_target,
    );
    let fleet = Fleet::start(&options).await?;
    let job = Job::try_from(draft()).map_err(Error::Job)?;
    let caller = Arc::new(Caller::new(Settings {
        entries: fleet.caller_addresses(),
        ..Settings::default()
    }));
    let started = Instant::now();
    let (id, answer) = caller.submit(&job).await.map_err(Error::Caller)?;
    let elapsed = started.elapsed();
    println!("submission {id}: {}", answer.outcome());
    if let Answer::Complete { outputs } = &answer {
        println!("{} outputs in {} ms", outputs.len(), elapsed.as_millis());
    }
    let starts: Vec<_> = fleet.targets.iter().map(Target::start_count).collect();
    println!("tasks started by target: {starts:?}, {} in all", starts.iter().sum::<usize>());
    let repeated = caller.answer(&id, started.elapsed()).await.map_err(Error::Caller)?;
    println!("answer fetched again through another entry: {}", repeated.outcome());
    let is_complete = matches!(answer, Answer::Complete { .. });
    Ok(if is_complete { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn draft() -> Draft {
    let input = format!("{{\"ms\":{TASK_MS}}}");
    let raw = serde_json::value::RawValue::from_string(input).expect("the text is JSON");
    let task: Arc<serde_json::value::RawValue> = raw.into();
    Draft {
        team: "team-0".to_owned(),
        kind: "short".to_owned(),
        deadline_ms: Some(DEADLINE_MS),
        tasks: vec![task; TASK_COUNT],
    }
}
