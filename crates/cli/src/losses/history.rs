//! The history of each job and its outcome.

use std::collections::BTreeMap;

use derive_more::Display;

use crate::logs::{Record, number_field, text_field};

/// A target is slow for a task if the expected run time exceeds this percentage of the one on the
/// fastest target.
const SLOW_PERCENT: u64 = 125;

/// Outcome of a job.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// Completed.
    #[display("served")]
    Served,
    /// Refused on arrival: no target could have completed it in time.
    #[display("out of reach")]
    Infeasible,
    /// Refused on arrival: it would have been late behind the backlog.
    #[display("refused as crowded")]
    Overloaded,
    /// Refused on arrival or after a wait for a steward: no host had targets.
    #[display("refused without a steward")]
    NoSteward,
    /// Refused on arrival for another reason.
    #[display("refused otherwise")]
    Refused,
    /// Refused after stewards had returned its tasks.
    #[display("given back")]
    Returned,
    /// A task failed in all of its attempts.
    #[display("failed")]
    Failed,
    /// The route's timeout passed; the caller stated no time.
    #[display("ended by the route's timeout")]
    RouteTimeout,
    /// The deadline passed while a task ran on a slow target, see [`SLOW_PERCENT`].
    #[display("ran over on a slow target")]
    TimedOutOnSlow,
    /// The deadline passed while all running tasks were on fast targets.
    #[display("ran over on a fast target")]
    TimedOutOnFast,
    /// The deadline passed while no task was running.
    #[display("never started in full")]
    NotStarted,
    /// A steward with tasks of the job was lost.
    #[display("steward gone")]
    StewardLost,
    /// The caller disconnected.
    #[display("caller left")]
    CallerLeft,
    /// No host logged the end of the job.
    #[display("no end written")]
    Unfinished,
}

/// A run that has not ended.
#[derive(Clone, Copy, Debug)]
struct Run {
    is_slow: bool,
}

/// State of one job as of its last log record.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Kind of the job.
    pub kind: String,
    /// Size class of the job among the jobs of its kind.
    pub size: String,
    /// Running attempts, by task and run number.
    running: BTreeMap<(String, u64), Run>,
    /// `None` until a record has the outcome.
    outcome: Option<Outcome>,
}

impl History {
    /// Outcome of the job.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        self.outcome.unwrap_or(Outcome::Unfinished)
    }

    fn apply(&mut self, record: &Record) {
        match text_field(record, "msg") {
            "job accepted" => self.restart(record),
            "job refused" => {
                self.restart(record);
                self.outcome = Some(refusal_outcome(record));
            }
            "task started" => {
                let is_slow = number_field(record, "expected_ms") * 100
                    > number_field(record, "best_ms") * SLOW_PERCENT;
                self.running.insert(run_id(record), Run { is_slow });
            }
            "task ended" => {
                self.running.remove(&run_id(record));
            }
            "caller left" => self.outcome = Some(Outcome::CallerLeft),
            "job answered" => self.outcome = Some(self.answer_outcome(record)),
            _ => {}
        }
    }

    /// Starts the history of the job, again if its caller has repeated the submission.
    fn restart(&mut self, record: &Record) {
        self.kind = text_field(record, "kind").to_owned();
        self.size = text_field(record, "size").to_owned();
        self.running.clear();
        self.outcome = None;
    }

    fn answer_outcome(&self, record: &Record) -> Outcome {
        match (text_field(record, "outcome"), text_field(record, "reason")) {
            ("completed", _) => Outcome::Served,
            ("failed", _) => Outcome::Failed,
            ("no_steward", _) => Outcome::NoSteward,
            ("unknown", "its steward is gone") => Outcome::StewardLost,
            ("unknown", "its route's timeout") => Outcome::RouteTimeout,
            ("unknown", _) if self.running.is_empty() => Outcome::NotStarted,
            ("unknown", _) if self.running.values().any(|run| run.is_slow) => {
                Outcome::TimedOutOnSlow
            }
            ("unknown", _) => Outcome::TimedOutOnFast,
            _ => Outcome::Returned,
        }
    }
}

fn refusal_outcome(record: &Record) -> Outcome {
    match text_field(record, "reason") {
        "hopeless" => Outcome::Infeasible,
        "too_late" => Outcome::Overloaded,
        "no_steward" => Outcome::NoSteward,
        _ => Outcome::Refused,
    }
}

/// Task and run number of an attempt.
fn run_id(record: &Record) -> (String, u64) {
    (text_field(record, "task").to_owned(), number_field(record, "run"))
}

/// Histories of all jobs, by job identifier.
#[derive(Debug, Default)]
pub struct Histories {
    by_job: BTreeMap<String, History>,
}

impl Histories {
    /// Applies the next record. Records must be in order of time.
    pub fn apply(&mut self, record: &Record) {
        let history = self.by_job.entry(text_field(record, "job").to_owned()).or_default();
        history.apply(record);
    }

    /// All histories with the identifiers of their jobs.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &History)> {
        self.by_job.iter().map(|(id, history)| (id.as_str(), history))
    }

    /// Histories of the jobs that were not served.
    pub fn not_served(&self) -> impl Iterator<Item = (&str, &History)> {
        self.iter().filter(|(_, history)| history.outcome() != Outcome::Served)
    }
}
