//! One story for each job, and its end.

use std::collections::BTreeMap;

use derive_more::Display;

use crate::logs::{Line, number, text};

/// Expected run times over this multiple of the fastest target's make a target slow, in hundredths.
const SLOW_PERCENT: u64 = 125;

/// What became of a job.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Fate {
    /// Completed.
    #[display("served")]
    Served,
    /// Turned away when it came: no target could have ended it in time.
    #[display("out of reach")]
    Hopeless,
    /// Turned away when it came: it would have been late behind the work that waited.
    #[display("refused as crowded")]
    Crowded,
    /// Turned away when it came, or after a wait for it: no host had targets.
    #[display("refused without a steward")]
    NoSteward,
    /// Turned away when it came, for another reason.
    #[display("refused otherwise")]
    Refused,
    /// Turned away after stewards had given it back.
    #[display("given back")]
    GivenBack,
    /// A task failed as often as it may.
    #[display("failed")]
    Failed,
    /// Time ran out while a task ran on a target slower than the fastest.
    #[display("ran over on a slow target")]
    OverOnSlow,
    /// Time ran out while all that ran was on fast targets.
    #[display("ran over on a fast target")]
    OverOnFast,
    /// Time ran out while nothing of it ran.
    #[display("never started in full")]
    Unstarted,
    /// A host that had tasks of it was lost.
    #[display("steward gone")]
    StewardGone,
    /// Its caller left.
    #[display("caller left")]
    Left,
    /// No host wrote of its end.
    #[display("no end written")]
    Open,
}

/// A run that has not ended.
#[derive(Clone, Copy, Debug)]
struct Run {
    is_slow: bool,
}

/// What hosts wrote of one job.
#[derive(Clone, Debug, Default)]
pub struct Story {
    /// Its kind.
    pub kind: String,
    /// Its size among jobs of its kind.
    pub size: String,
    running: BTreeMap<(String, u64), Run>,
    fate: Option<Fate>,
}

impl Story {
    /// What became of the job.
    #[must_use]
    pub fn fate(&self) -> Fate {
        self.fate.unwrap_or(Fate::Open)
    }

    fn take(&mut self, line: &Line) {
        match text(line, "msg") {
            "job accepted" => self.name(line),
            "job refused" => {
                self.name(line);
                self.fate = Some(refused(line));
            }
            "task started" => {
                let is_slow =
                    number(line, "expected_ms") * 100 > number(line, "best_ms") * SLOW_PERCENT;
                self.running.insert(run(line), Run { is_slow });
            }
            "task ended" => {
                self.running.remove(&run(line));
            }
            "caller left" => self.fate = Some(Fate::Left),
            "job answered" => self.fate = Some(self.answered(line)),
            _ => {}
        }
    }

    fn name(&mut self, line: &Line) {
        self.kind = text(line, "kind").to_owned();
        self.size = text(line, "size").to_owned();
        // A caller's repeat begins the story anew.
        self.running.clear();
        self.fate = None;
    }

    fn answered(&self, line: &Line) -> Fate {
        match (text(line, "outcome"), text(line, "reason")) {
            ("completed", _) => Fate::Served,
            ("failed", _) => Fate::Failed,
            ("no_steward", _) => Fate::NoSteward,
            ("unknown", "its steward is gone") => Fate::StewardGone,
            ("unknown", _) if self.running.is_empty() => Fate::Unstarted,
            ("unknown", _) if self.running.values().any(|run| run.is_slow) => Fate::OverOnSlow,
            ("unknown", _) => Fate::OverOnFast,
            _ => Fate::GivenBack,
        }
    }
}

fn refused(line: &Line) -> Fate {
    match text(line, "reason") {
        "hopeless" => Fate::Hopeless,
        "too_late" => Fate::Crowded,
        "no_steward" => Fate::NoSteward,
        _ => Fate::Refused,
    }
}

/// Names one attempt.
fn run(line: &Line) -> (String, u64) {
    (text(line, "task").to_owned(), number(line, "run"))
}

/// The stories of all jobs.
#[derive(Debug, Default)]
pub struct Account {
    stories: BTreeMap<String, Story>,
}

impl Account {
    /// Takes the next line in; lines come in order of time.
    pub fn take(&mut self, line: &Line) {
        let story = self.stories.entry(text(line, "job").to_owned()).or_default();
        story.take(line);
    }

    /// The stories, each with the job's identifier.
    pub fn stories(&self) -> impl Iterator<Item = (&str, &Story)> {
        self.stories.iter().map(|(id, story)| (id.as_str(), story))
    }

    /// Those of jobs that were not served.
    pub fn lost(&self) -> impl Iterator<Item = (&str, &Story)> {
        self.stories().filter(|(_, story)| story.fate() != Fate::Served)
    }
}
