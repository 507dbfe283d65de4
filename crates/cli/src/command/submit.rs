//! `submit`: one job from a file.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command};
use coltsfootshunt_caller::{Caller, Identifier, Settings};
use coltsfootshunt_core::answer::{Answer, Outcome};
use coltsfootshunt_core::job::{Draft, Job};
use coltsfootshunt_core::submission::Id;

use super::common::{entries, entries_arg, file, file_arg, read};
use crate::error::Problem;

/// Time between words on a long job.
const PROGRESS_EVERY: Duration = Duration::from_secs(2);

pub fn command() -> Command {
    Command::new("submit")
        .about("Submit a job and print its answer")
        .after_help(
            "Exit codes: 0 complete, 1 nothing was submitted, 4 not run, 5 failed, 6 unknown",
        )
        .arg(file_arg("Job: JSON with team, kind, deadline_ms and tasks"))
        .arg(entries_arg())
        .arg(
            Arg::new("id")
                .long("id")
                .help("Submit again under this identifier; it can't run the job twice"),
        )
}

pub async fn run(matches: &ArgMatches) -> Result<ExitCode, Problem> {
    let draft: Draft = read(file(matches))?;
    let job = Job::try_from(draft).map_err(Problem::Job)?;
    let caller = Caller::new(Settings { entries: entries(matches), ..Settings::default() });
    let held = match matches.get_one::<String>("id") {
        Some(text) => known(text, matches)?,
        None => caller.take_identifier().await.map_err(Problem::Caller)?,
    };
    eprintln!("identifier {}", held.id);
    let answer = wait(&caller, &held, &job).await?;
    println!("{}", serde_json::to_string_pretty(&answer).expect("an answer serializes"));
    Ok(code(&answer))
}

fn known(text: &str, matches: &ArgMatches) -> Result<Identifier, Problem> {
    let id = Id::try_from(text).map_err(Problem::Identifier)?;
    let entry = entries(matches)[0];
    Ok(Identifier { id, entry, issued_at: Instant::now() })
}

async fn wait(caller: &Caller, held: &Identifier, job: &Job) -> Result<Answer, Problem> {
    let began = Instant::now();
    let mut answer = std::pin::pin!(caller.submit_under(held, job));
    let mut every = tokio::time::interval(PROGRESS_EVERY);
    every.tick().await;
    loop {
        tokio::select! {
            answer = &mut answer => return answer.map_err(Problem::Caller),
            _ = every.tick() => eprintln!("waiting for {} s", began.elapsed().as_secs()),
        }
    }
}

fn code(answer: &Answer) -> ExitCode {
    match answer.outcome() {
        Outcome::Complete => ExitCode::SUCCESS,
        Outcome::NotRun => ExitCode::from(4),
        Outcome::Failed => ExitCode::from(5),
        Outcome::Unknown => ExitCode::from(6),
    }
}
