//! Scripted cases of the third review. Each starts hosts as separate processes on stand-ins, brings one
//! disruption about and checks one rule.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cancel;
mod client;
mod entry;
mod fleet;
mod record;
mod settings;
mod worker;

use std::process::ExitCode;

use record::Record;
use settings::Unusual;

/// Program of the deploy file, from the root of the repository.
pub const PROGRAM: &str = "target/release/coltsfootshunt-entry";

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, temporary] = &args[..] else {
        eprintln!("usage: review-rig CASE FOLDER TEMPORARY_FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    let verdict = match case.as_str() {
        "cancel" => cancel::run(temporary, &record, has_trouble).await,
        "entry" => entry::run(temporary, &record, has_trouble).await,
        "port" => settings::run(temporary, &record, Unusual::Port, has_trouble).await,
        "fraction" => settings::run(temporary, &record, Unusual::Fraction, has_trouble).await,
        _ => Verdict::CouldNotRun(format!("there is no case {case}")),
    };
    let (status, text) = match &verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken => (1, "the rule was broken".to_owned()),
        Verdict::CouldNotRun(why) => (2, format!("the case could not run: {why}")),
    };
    record.note(&text);
    record.write(&format!("{folder}/record.txt"));
    println!("{case}, trouble {has_trouble}: {text}");
    ExitCode::from(status)
}
