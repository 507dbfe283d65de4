//! `submit`: submits a job from a file.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command};
use coltsfootshunt_caller::{Caller, Identifier, Settings};
use coltsfootshunt_core::answer::{Answer, Outcome};
use coltsfootshunt_core::job::{Draft, Job};
use coltsfootshunt_core::submission::Id;

use super::common::{entries, entries_arg, file, file_arg, read_json};
use crate::error::Error;

/// Interval between progress messages while the job runs.
const PROGRESS_EVERY: Duration = Duration::from_secs(2);

pub fn command() -> Command {
    Command::new("submit")
        .about("Submit a job and print its answer")
        .after_help(
            "Exit codes: 0 complete, 1 nothing was submitted, 4 not run, 5 failed, 6 unknown",
        )
        .arg(file_arg("Job, as JSON with team, kind, deadline_ms and tasks"))
        .arg(entries_arg())
        .arg(
            Arg::new("id")
                .long("id")
                .help("Submit again under this identifier; the job does not run twice"),
        )
}

pub async fn run(matches: &ArgMatches) -> Result<ExitCode, Error> {
    let draft: Draft = read_json(file(matches))?;
    let job = Job::try_from(draft).map_err(Error::Job)?;
    let caller = Caller::new(Settings { entries: entries(matches), ..Settings::default() });
    let identifier = match matches.get_one::<String>("id") {
        Some(text) => parse_identifier(text, matches)?,
        None => caller.take_identifier().await.map_err(Error::Caller)?,
    };
    eprintln!("identifier {}", identifier.id);
    let answer = wait_for_answer(&caller, &identifier, &job).await?;
    println!("{}", serde_json::to_string_pretty(&answer).expect("an answer can be serialized"));
    Ok(exit_code(&answer))
}

/// Parses the identifier of an earlier submission. The first entry given stands for the one that
/// issued it.
fn parse_identifier(text: &str, matches: &ArgMatches) -> Result<Identifier, Error> {
    let id = Id::try_from(text).map_err(Error::Identifier)?;
    let entry = entries(matches)[0];
    Ok(Identifier { id, entry, issued_at: Instant::now() })
}

/// Submits the job and reports progress until its answer.
async fn wait_for_answer(
    caller: &Caller,
    identifier: &Identifier,
    job: &Job,
) -> Result<Answer, Error> {
    let started = Instant::now();
    let mut answer = std::pin::pin!(caller.submit_under(identifier, job));
    let mut progress = tokio::time::interval(PROGRESS_EVERY);
    progress.tick().await;
    loop {
        tokio::select! {
            answer = &mut answer => return answer.map_err(Error::Caller),
            _ = progress.tick() => eprintln!("waiting for {} s", started.elapsed().as_secs()),
        }
    }
}

fn exit_code(answer: &Answer) -> ExitCode {
    match answer.outcome() {
        Outcome::Complete => ExitCode::SUCCESS,
        Outcome::NotRun => ExitCode::from(4),
        Outcome::Failed => ExitCode::from(5),
        Outcome::Unknown => ExitCode::from(6),
    }
}
