//! Writes log records as JSON lines, and counts them in metrics.

use std::sync::Arc;

use coltsfootshunt_core::answer::Refusal;
use coltsfootshunt_core::panic;
use derive_more::Display;
use metrics::counter;
use serde::{Deserialize, Serialize};
use slog::{Drain, Logger, debug, error, info, o, warn};

use crate::control::Record;
use crate::member::Identity;

/// Maximum number of lines in the queue of the writing thread. The logger drops and counts any
/// more.
const MAX_QUEUED_LINES: usize = 16_384;

/// Destination of records.
pub trait Log: Send + Sync {
    /// Logs and counts one record. Must not block.
    fn record(&self, record: &Record);
}

/// Logs each later panic of a thread of this process. The log is not kept alive for that: its last lines
/// are written when it is dropped.
pub fn observe_panics(log: &Arc<dyn Log>) {
    let log = Arc::downgrade(log);
    panic::observe(move |panic| {
        if let Some(log) = log.upgrade() {
            log.record(&Record::ThreadPanicked(panic));
        }
    });
}

/// Updates the metrics and writes no log lines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Silent;

impl Log for Silent {
    fn record(&self, record: &Record) {
        count(record);
    }
}

/// Minimum severity of log lines.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Failures only.
    #[display("warn")]
    Warn,
    /// Failures, refusals and changes of state.
    #[default]
    #[display("info")]
    Info,
    /// All of these, and the start and end of each submission.
    #[display("debug")]
    Debug,
}

impl From<Level> for slog::Level {
    fn from(level: Level) -> Self {
        match level {
            Level::Warn => Self::Warning,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
        }
    }
}

/// Updates the metrics, and writes JSON lines to standard error from a separate thread.
pub struct Json {
    logger: Logger,
}

impl Json {
    /// Creates a log whose lines carry the entry's identity.
    #[must_use]
    pub fn new(level: Level, identity: &Identity) -> Self {
        // One write per line, so that lines of several entries in one process don't mix.
        let lines = std::io::LineWriter::new(std::io::stderr());
        let json = slog_json::Json::new(lines).add_default_keys().build().fuse();
        let json = slog_async::Async::new(json).chan_size(MAX_QUEUED_LINES).build().fuse();
        let drain = slog::LevelFilter::new(json, level.into()).fuse();
        let keys = o!(
            "host" => identity.host.to_string(),
            "zone" => identity.zone.to_string(),
            "incarnation" => identity.incarnation.to_string(),
        );
        Self { logger: Logger::root(drain, keys) }
    }
}

impl Log for Json {
    fn record(&self, record: &Record) {
        count(record);
        let log = &self.logger;
        match record {
            Record::SubmissionRefused { id, refusal } => {
                info!(log, "submission refused"; "submission" => %id, "reason" => %refusal);
            }
            Record::SubmissionAccepted { id, tasks } => {
                debug!(log, "submission accepted"; "submission" => %id, "tasks" => tasks);
            }
            Record::SubmissionAnswered { id, outcome } => {
                debug!(log, "submission answered"; "submission" => %id, "outcome" => %outcome);
            }
            Record::TaskFailed { id, task, target, fault } => {
                warn!(log, "task gave no output"; "submission" => %id, "task" => task,
                    "target" => %target, "reason" => %fault);
            }
            Record::TaskNotStarted { id, task, target } => {
                info!(log, "target did not start the task"; "submission" => %id, "task" => task,
                    "target" => %target);
            }
            Record::TargetEjected { target } => {
                warn!(log, "target ejected"; "target" => %target,
                    "reason" => "it fails more than its peers");
            }
            Record::TargetProbed { target } => {
                info!(log, "target probed"; "target" => %target);
            }
            Record::TargetLeaving { target } => {
                info!(log, "target is leaving"; "target" => %target, "reason" => "its own word");
            }
            Record::StewardshipChanged { peers, targets } => {
                info!(log, "stewardship settled"; "peers" => peers, "targets" => targets);
            }
            Record::PeerFailed { host, incarnation } => {
                warn!(log, "peer failed"; "peer" => %host, "peer_incarnation" => %incarnation);
            }
            Record::ConfigApplied { revision } => {
                info!(log, "configuration in force"; "revision" => %revision);
            }
            Record::ProcessPaused { gap_ms } => {
                warn!(log, "process was stopped for a while"; "gap_ms" => gap_ms);
            }
            Record::StartsResumed => {
                info!(log, "view is fresh after a pause");
            }
            Record::ClientRefused { refusal } => {
                warn!(log, "client refused"; "reason" => %refusal);
            }
            Record::ThreadPanicked(panic) => {
                error!(log, "thread panicked"; "thread" => %panic.thread,
                    "reason" => %panic.message, "place" => %panic.place);
            }
            Record::StopStarted => {
                info!(log, "planned stop began");
            }
            Record::HandoverStarted { successor } => {
                info!(log, "records go to a successor"; "successor" => %successor);
            }
            Record::ProcessStopped { exit } => {
                info!(log, "process ends"; "how" => %exit);
            }
        }
    }
}

fn count(record: &Record) {
    match record {
        Record::SubmissionRefused { refusal, .. } => {
            counter!("coltsfootshunt_refusals_total", "reason" => reason(refusal)).increment(1);
        }
        Record::SubmissionAccepted { tasks, .. } => {
            counter!("coltsfootshunt_accepted_total").increment(1);
            counter!("coltsfootshunt_accepted_tasks_total").increment(*tasks as u64);
        }
        Record::SubmissionAnswered { outcome, .. } => {
            let outcome = outcome.to_string();
            counter!("coltsfootshunt_answers_total", "outcome" => outcome).increment(1);
        }
        Record::TaskFailed { .. } => counter!("coltsfootshunt_faults_total").increment(1),
        Record::TaskNotStarted { .. } => counter!("coltsfootshunt_not_started_total").increment(1),
        Record::TargetEjected { .. } => counter!("coltsfootshunt_ejections_total").increment(1),
        Record::PeerFailed { .. } => counter!("coltsfootshunt_peer_failures_total").increment(1),
        Record::ProcessPaused { .. } => counter!("coltsfootshunt_pauses_total").increment(1),
        Record::ClientRefused { .. } => {
            counter!("coltsfootshunt_clients_refused_total").increment(1);
        }
        Record::ThreadPanicked(_) => counter!("coltsfootshunt_panics_total").increment(1),
        _ => {}
    }
}

/// Returns the metric label of a refusal, without its details.
fn reason(refusal: &Refusal) -> &'static str {
    match refusal {
        Refusal::Malformed { .. } => "malformed",
        Refusal::BodyTooLarge { .. } => "body_too_large",
        Refusal::UnknownKind => "unknown_kind",
        Refusal::UnknownTeam => "unknown_team",
        Refusal::NeverIssued => "never_minted",
        Refusal::Mismatch => "mismatch",
        Refusal::NoTarget => "no_target",
        Refusal::Late { .. } => "late",
        Refusal::Expired => "expired",
        Refusal::Full => "full",
        Refusal::Draining => "draining",
        Refusal::NotReady => "not_ready",
        Refusal::Cancelled => "cancelled",
        Refusal::OwnerStopped => "retired",
        Refusal::TargetsRefused => "targets_refused",
    }
}
