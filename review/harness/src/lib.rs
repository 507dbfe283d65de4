//! What the cases share: hosts as separate processes, workers that follow the platform's pages, and clients.

#![recursion_limit = "256"]

pub mod client;
pub mod fleet;
pub mod record;
pub mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Result of a case.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun,
}

impl From<Verdict> for ExitCode {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Held => Self::from(0),
            Verdict::Broken => Self::from(1),
            Verdict::NotRun => Self::from(2),
        }
    }
}

/// Whether the case plays its disruption. `TROUBLE=0` leaves it out.
#[must_use]
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Runs a case with the folder from the command line, for 110 seconds at most.
pub fn run<F: Future<Output = Verdict>>(case: impl FnOnce(PathBuf) -> F) -> ExitCode {
    let Some(folder) = std::env::args_os().nth(1).map(PathBuf::from) else {
        eprintln!("the folder of the case is missing");
        return Verdict::NotRun.into();
    };
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be started");
    let limit = Duration::from_secs(110);
    let verdict = runtime.block_on(async { tokio::time::timeout(limit, case(folder)).await });
    runtime.shutdown_background();
    verdict.unwrap_or(Verdict::NotRun).into()
}
