//! Runs one case of the review: hosts as processes, with the platform's store, workers and clients as stand-ins.
//!
//! Usage: `coltsfootshunt-review-2 CASE RECORD`. With `TROUBLE=0` in the environment the disruption is left out.
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cancelled;
mod capacity;
mod client;
mod fleet;
mod record;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;
use tokio::signal::unix::{SignalKind, signal};

/// Time limit of a case. A script may run for 120 seconds.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Why a case could not run.
type Failure = String;

/// Whether the rule was broken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Verdict {
    Held,
    Broken,
}

async fn run(case: &str, record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    match case {
        "cancelled-all-killed" => cancelled::all_killed(record, trouble).await,
        "cancelled-one-killed" => cancelled::one_killed(record, trouble).await,
        "cancelled-killed-after-ack" => cancelled::killed_after_ack(record, trouble).await,
        "capacity-after-outage" => capacity::after_outage(record, trouble).await,
        "capacity-foreign-entry" => capacity::foreign_entry(record, trouble).await,
        "capacity-after-restart" => capacity::after_restart(record, trouble).await,
        other => Err(format!("no case has the name {other}")),
    }
}

/// Waits for a signal that ends this program.
async fn interrupted() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else {
        eprintln!("usage: coltsfootshunt-review-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("can't write {path}: {error}");
            return ExitCode::from(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.note(format!("case {case}, with the disruption: {trouble}"));
    // Whatever ends the case, its hosts are dropped, which ends their processes.
    let outcome = tokio::select! {
        outcome = run(case, &record, trouble) => outcome,
        () = tokio::time::sleep(TIME_LIMIT) => Err("the time limit has passed".to_owned()),
        () = interrupted() => Err("interrupted".to_owned()),
    };
    let status = match &outcome {
        Ok(Verdict::Broken) => 1,
        Ok(Verdict::Held) => 0,
        Err(_) => 2,
    };
    let text = match outcome {
        Ok(Verdict::Broken) => "the rule was broken".to_owned(),
        Ok(Verdict::Held) => "the rule held".to_owned(),
        Err(failure) => format!("the case could not run: {failure}"),
    };
    record.note(&text);
    println!("{text}");
    ExitCode::from(status)
}
