//! `demo`: a whole fleet in this process, and one job through it.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Instant;

use clap::{ArgMatches, Command};
use coltsfootshunt_caller::{Caller, Settings};
use coltsfootshunt_core::answer::Answer;
use coltsfootshunt_core::job::{Draft, Job};
use coltsfootshunt_standin::target::Target;

use crate::fleet::{Fleet, Size};
use crate::problem::Problem;

/// Tasks of the job.
const TASKS: usize = 100;
/// Run time of each, in milliseconds.
const TASK_MS: u64 = 100;
/// Time allowed, in milliseconds.
const DEADLINE_MS: u64 = 5_000;

pub fn command() -> Command {
    Command::new("demo")
        .about("Start a platform, targets and entries in this process and run a job through them")
}

pub async fn run(_: &ArgMatches) -> Result<ExitCode, Problem> {
    let size = Size { zones: 2, entries: 4, targets: 6, ..Size::default() };
    println!(
        "starting {} entries in {} zones and {} targets with {} slots each",
        size.entries, size.zones, size.targets, size.slots,
    );
    let fleet = Fleet::start(&size).await?;
    let job = Job::try_from(draft()).map_err(Problem::Job)?;
    let caller =
        Arc::new(Caller::new(Settings { entries: fleet.callers(), ..Settings::default() }));
    let began = Instant::now();
    let (id, answer) = caller.submit(&job).await.map_err(Problem::Caller)?;
    let took = began.elapsed();
    println!("submission {id}: {}", answer.outcome());
    if let Answer::Complete { outputs } = &answer {
        println!("{} outputs in {} ms", outputs.len(), took.as_millis());
    }
    let starts: Vec<_> = fleet.targets.iter().map(Target::start_count).collect();
    println!("tasks started by target: {starts:?}, {} in all", starts.iter().sum::<usize>());
    let again = caller.answer(&id, began.elapsed()).await.map_err(Problem::Caller)?;
    println!("asked again, through another entry: {}", again.outcome());
    let whole = matches!(answer, Answer::Complete { .. });
    Ok(if whole { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn draft() -> Draft {
    let input = format!("{{\"ms\":{TASK_MS}}}");
    let raw = serde_json::value::RawValue::from_string(input).expect("this is JSON");
    let task: Arc<serde_json::value::RawValue> = raw.into();
    Draft {
        team: "team-0".to_owned(),
        kind: "short".to_owned(),
        deadline_ms: Some(DEADLINE_MS),
        tasks: vec![task; TASKS],
    }
}
