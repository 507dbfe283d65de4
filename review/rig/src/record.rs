//! What was sent, answered and run, with the time since the record began.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A run of a task at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub task: String,
    pub number: u64,
    pub started: Duration,
    pub ended: Option<(Duration, &'static str)>,
}

impl Run {
    /// The job of the task.
    pub fn job(&self) -> &str {
        self.task.split('.').next().unwrap_or_default()
    }
}

struct Contents {
    since: Instant,
    lines: Vec<String>,
    runs: Vec<Run>,
}

/// The record. Clones share it.
#[derive(Clone)]
pub struct Record(Arc<Mutex<Contents>>);

impl Record {
    pub fn new() -> Self {
        let contents = Contents { since: Instant::now(), lines: Vec::new(), runs: Vec::new() };
        Self(Arc::new(Mutex::new(contents)))
    }

    fn lock(&self) -> MutexGuard<'_, Contents> {
        self.0.lock().expect("no thread panics while it holds this lock")
    }

    /// Time since the record began.
    pub fn now(&self) -> Duration {
        self.lock().since.elapsed()
    }

    /// Adds a line and returns its time.
    pub fn note(&self, text: &str) -> Duration {
        let mut contents = self.lock();
        let at = contents.since.elapsed();
        contents.lines.push(format!("{:9.4} s  {text}", at.as_secs_f64()));
        at
    }

    pub fn started(&self, worker: &str, task: &str, number: u64, token: u64, spec: &str) {
        let started =
            self.note(&format!("{worker} starts {task} run {number}, token {token}, {spec}"));
        let (worker, task) = (worker.to_owned(), task.to_owned());
        self.lock().runs.push(Run { worker, task, number, started, ended: None });
    }

    pub fn ended(&self, worker: &str, task: &str, number: u64, how: &'static str) {
        let at = self.note(&format!("{worker} ends {task} run {number}: {how}"));
        let mut contents = self.lock();
        let run = contents.runs.iter_mut().rev().find(|run| {
            run.worker == worker && run.task == task && run.number == number && run.ended.is_none()
        });
        if let Some(run) = run {
            run.ended = Some((at, how));
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Writes all lines to a file.
    pub fn write(&self, path: &str) {
        let mut text = self.lock().lines.join("\n");
        text.push('\n');
        std::fs::write(path, text).expect("the folder of the case can be written");
    }
}
