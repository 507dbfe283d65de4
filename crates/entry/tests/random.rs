//! Random failures of processes and the platform, from a fixed seed, while jobs run.

mod common;

use std::time::Duration;

use coltsfootshunt_core::answer::{Answer, Outcome};
use coltsfootshunt_core::submission::Id;
use coltsfootshunt_testkit::{Cluster, Entry, Signal, job};
use common::put_in_force;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::task::JoinSet;

const PROGRAM: &str = env!("CARGO_BIN_EXE_coltsfootshunt-entry");
const FOLDER: &str = env!("CARGO_TARGET_TMPDIR");
const SEED: u64 = 20_261_204;
const ENTRIES: usize = 3;
/// Number of rounds by default. Each submits [`JOBS_PER_ROUND`] jobs and causes one failure.
const DEFAULT_ROUNDS: usize = 12;
/// Environment variable with another number of rounds.
const ROUNDS_VARIABLE: &str = "COLTSFOOTSHUNT_ROUNDS";
/// Number of jobs in a round.
const JOBS_PER_ROUND: usize = 4;

/// A job that was submitted twice, with the answers of both times.
struct Submission {
    id: Id,
    /// Number of tasks of the job.
    tasks: usize,
    answers: Vec<Answer>,
}

/// Number of failures of each kind.
#[derive(Debug, Default)]
struct Failures {
    kills: usize,
    freezes: usize,
    stops: usize,
    outages: usize,
}

#[tokio::test]
async fn random_failures_start_nothing_twice() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let cluster = Cluster::start(PROGRAM, FOLDER, 3).await;
    put_in_force(&cluster, &["zone"]).await;
    let mut entries: Vec<_> = (0..ENTRIES).map(|number| start(&cluster, number)).collect();
    cluster.wait_until_ready(&entries.iter().collect::<Vec<_>>()).await;
    let mut jobs = JoinSet::new();
    let mut failures = Failures::default();
    for _ in 0..rounds() {
        submit(&cluster, &entries, &mut rng, &mut jobs);
        pause(&mut rng, 400).await;
        fail(&cluster, &mut entries, &mut rng, &mut failures).await;
    }
    let submissions: Vec<_> = jobs.join_all().await.into_iter().flatten().collect();
    let complete = submissions.iter().filter(|submission| is_complete(submission)).count();
    let (max_starts, started) = cluster.max_starts();
    println!(
        "{failures:?}, {} jobs, {complete} complete, {started} tasks started",
        submissions.len()
    );
    assert_eq!(max_starts, 1, "no task starts twice");
    assert!(complete > 0, "some jobs complete");
    for submission in &submissions {
        check(&cluster, submission);
    }
}

fn rounds() -> usize {
    std::env::var(ROUNDS_VARIABLE).ok().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_ROUNDS)
}

fn start(cluster: &Cluster, number: usize) -> Entry {
    cluster.start_entry(&format!("entry-{number}"), "zone", &json!({}))
}

async fn pause(rng: &mut StdRng, max_ms: u64) {
    tokio::time::sleep(Duration::from_millis(rng.random_range(10..max_ms))).await;
}

/// Submits the jobs of a round, each twice under one identifier and through any entries.
fn submit(
    cluster: &Cluster,
    entries: &[Entry],
    rng: &mut StdRng,
    jobs: &mut JoinSet<Option<Submission>>,
) {
    for _ in 0..JOBS_PER_ROUND {
        let mut rotated: Vec<_> = entries.iter().collect();
        rotated.rotate_left(rng.random_range(0..ENTRIES));
        let caller = cluster.caller(&rotated);
        let tasks = rng.random_range(1..40);
        let work = job("once", tasks, rng.random_range(5..80), 5_000);
        jobs.spawn(async move {
            let identifier = caller.take_identifier().await.ok()?;
            let mut answers = Vec::new();
            for _ in 0..2 {
                answers.extend(caller.submit_under(&identifier, &work).await.ok());
            }
            Some(Submission { id: identifier.id, tasks, answers })
        });
    }
}

/// Causes one random failure and recovers from it.
async fn fail(cluster: &Cluster, entries: &mut [Entry], rng: &mut StdRng, failures: &mut Failures) {
    let index = rng.random_range(0..ENTRIES);
    match rng.random_range(0..4) {
        0 => {
            failures.kills += 1;
            entries[index].signal(Signal::Kill);
            entries[index].wait_for_exit().await;
            entries[index] = start(cluster, index);
        }
        1 => {
            failures.freezes += 1;
            entries[index].signal(Signal::Stop);
            pause(rng, 1_800).await;
            entries[index].signal(Signal::Continue);
        }
        2 => {
            failures.stops += 1;
            entries[index].signal(Signal::Terminate);
            assert_eq!(
                entries[index].wait_for_exit().await,
                Some(0),
                "a planned stop exits with success"
            );
            entries[index] = start(cluster, index);
        }
        _ => {
            failures.outages += 1;
            cluster.platform.set_down(true);
            pause(rng, 800).await;
            cluster.platform.set_down(false);
        }
    }
}

fn is_complete(submission: &Submission) -> bool {
    submission.answers.iter().any(|answer| answer.outcome() == Outcome::Complete)
}

/// Checks that the definite answers to a submission agree with each other and with the starts that
/// the targets counted.
fn check(cluster: &Cluster, submission: &Submission) {
    let id = &submission.id;
    let starts = cluster.starts(&id.to_string()).len();
    let definite = |answer: &&Answer| answer.outcome() != Outcome::Unknown;
    let definite: Vec<_> = submission.answers.iter().filter(definite).collect();
    for answer in &definite {
        assert_eq!(answer.outcome(), definite[0].outcome(), "{id} has one outcome");
        match answer {
            Answer::Complete { outputs } => {
                assert_eq!(
                    (outputs.len(), starts),
                    (submission.tasks, submission.tasks),
                    "{id} is complete"
                );
            }
            Answer::NotRun { refusal } => assert_eq!(starts, 0, "{id} did not run: {refusal}"),
            Answer::Failed { .. } | Answer::Unknown { .. } => {}
        }
    }
}
