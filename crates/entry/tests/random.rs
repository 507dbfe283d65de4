//! Processes that fail at random moments, from a fixed seed, while jobs run.

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
/// Rounds in CI; each has some jobs and one failure.
const ROUNDS: usize = 12;
/// Variable that asks for more.
const ROUNDS_VARIABLE: &str = "COLTSFOOTSHUNT_ROUNDS";
/// Jobs in a round.
const JOBS: usize = 4;

/// What became of one submission that was sent twice.
struct Ended {
    id: Id,
    tasks: usize,
    answers: Vec<Answer>,
}

#[derive(Debug, Default)]
struct Failures {
    kills: usize,
    freezes: usize,
    stops: usize,
    outages: usize,
}

#[tokio::test]
async fn random_failures_start_nothing_twice() {
    let mut random = StdRng::seed_from_u64(SEED);
    let cluster = Cluster::start(PROGRAM, FOLDER, 3).await;
    put_in_force(&cluster, &["zone"]).await;
    let mut entries: Vec<_> = (0..ENTRIES).map(|number| start(&cluster, number)).collect();
    cluster.ready(&entries.iter().collect::<Vec<_>>()).await;
    let mut jobs = JoinSet::new();
    let mut failures = Failures::default();
    for _ in 0..rounds() {
        submit(&cluster, &entries, &mut random, &mut jobs);
        pause(&mut random, 400).await;
        fail(&cluster, &mut entries, &mut random, &mut failures).await;
    }
    let ended: Vec<_> = jobs.join_all().await.into_iter().flatten().collect();
    let complete = ended.iter().filter(|ended| is_complete(ended)).count();
    let (most, starts) = cluster.most_starts();
    println!("{failures:?}, {} jobs, {complete} complete, {starts} tasks started", ended.len());
    assert_eq!(most, 1, "no task starts twice");
    assert!(complete > 0, "some jobs come through");
    for ended in &ended {
        check(&cluster, ended);
    }
}

fn rounds() -> usize {
    std::env::var(ROUNDS_VARIABLE).ok().and_then(|text| text.parse().ok()).unwrap_or(ROUNDS)
}

fn start(cluster: &Cluster, number: usize) -> Entry {
    cluster.entry(&format!("entry-{number}"), "zone", &json!({}))
}

async fn pause(random: &mut StdRng, most_ms: u64) {
    tokio::time::sleep(Duration::from_millis(random.random_range(10..most_ms))).await;
}

/// Sends some jobs, each twice under its identifier and through any entries.
fn submit(
    cluster: &Cluster,
    entries: &[Entry],
    random: &mut StdRng,
    jobs: &mut JoinSet<Option<Ended>>,
) {
    for _ in 0..JOBS {
        let mut known: Vec<_> = entries.iter().collect();
        known.rotate_left(random.random_range(0..ENTRIES));
        let caller = cluster.caller(&known);
        let tasks = random.random_range(1..40);
        let work = job("once", tasks, random.random_range(5..80), 5_000);
        jobs.spawn(async move {
            let held = caller.take_identifier().await.ok()?;
            let mut answers = Vec::new();
            for _ in 0..2 {
                answers.extend(caller.submit_under(&held, &work).await.ok());
            }
            Some(Ended { id: held.id, tasks, answers })
        });
    }
}

/// Lets one thing fail, and mends it.
async fn fail(
    cluster: &Cluster,
    entries: &mut [Entry],
    random: &mut StdRng,
    failures: &mut Failures,
) {
    let victim = random.random_range(0..ENTRIES);
    match random.random_range(0..4) {
        0 => {
            failures.kills += 1;
            entries[victim].tell(Signal::Kill);
            entries[victim].exit().await;
            entries[victim] = start(cluster, victim);
        }
        1 => {
            failures.freezes += 1;
            entries[victim].tell(Signal::Freeze);
            pause(random, 1_800).await;
            entries[victim].tell(Signal::Wake);
        }
        2 => {
            failures.stops += 1;
            entries[victim].tell(Signal::Terminate);
            assert_eq!(entries[victim].exit().await, Some(0), "a planned stop ends in good order");
            entries[victim] = start(cluster, victim);
        }
        _ => {
            failures.outages += 1;
            cluster.platform.set_down(true);
            pause(random, 800).await;
            cluster.platform.set_down(false);
        }
    }
}

fn is_complete(ended: &Ended) -> bool {
    ended.answers.iter().any(|answer| answer.outcome() == Outcome::Complete)
}

/// What was answered is true, and was not answered otherwise.
fn check(cluster: &Cluster, ended: &Ended) {
    let id = &ended.id;
    let starts = cluster.starts(&id.to_string()).len();
    let definite = |answer: &&Answer| answer.outcome() != Outcome::Unknown;
    let definite: Vec<_> = ended.answers.iter().filter(definite).collect();
    for answer in &definite {
        assert_eq!(answer.outcome(), definite[0].outcome(), "{id} has one answer");
        match answer {
            Answer::Complete { outputs } => {
                assert_eq!((outputs.len(), starts), (ended.tasks, ended.tasks), "{id} is whole");
            }
            Answer::NotRun { refusal } => assert_eq!(starts, 0, "{id} did not run: {refusal}"),
            Answer::Failed { .. } | Answer::Unknown { .. } => {}
        }
    }
}
