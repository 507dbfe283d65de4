//! Notes as JSON lines and metrics.

use std::borrow::Cow;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use metrics::{counter, histogram};
use slog::{Drain, Logger, info, o, warn};

use super::{Budget, Note};
use crate::job::Outcome;
use crate::member::Identity;

/// Lines that wait to be written; more are dropped and counted by the logger.
const CHANNEL: usize = 4_096;

/// Characters of a key or a reason in a line; other writers choose them.
const FOREIGN_CHARS: usize = 80;

/// Writes notes down.
pub trait Log: Send + Sync {
    /// Writes one note.
    fn note(&self, note: &Note);
}

/// Counts notes and writes nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Silent;

impl Log for Silent {
    fn note(&self, note: &Note) {
        count(note);
    }
}

/// Writes JSON lines to standard output, from a thread of its own.
pub struct Lines {
    logger: Logger,
    budget: Mutex<Budget>,
}

impl Lines {
    /// A log of one host.
    #[must_use]
    pub fn new(me: &Identity) -> Self {
        let json = slog_json::Json::new(std::io::stdout()).add_default_keys().build().fuse();
        let json = slog_async::Async::new(json).chan_size(CHANNEL).build().fuse();
        let keys = o!(
            "host" => me.host.to_string(),
            "zone" => me.zone.to_string(),
            "incarnation" => me.incarnation,
        );
        let budget = Mutex::new(Budget::new(Instant::now()));
        Self { logger: Logger::root(json, keys), budget }
    }
}

impl Log for Lines {
    fn note(&self, note: &Note) {
        count(note);
        let left_out = {
            let mut budget = self.budget.lock().expect("no holder of this lock panics");
            if !budget.spend(note.name(), Instant::now()) {
                return;
            }
            budget.left_out()
        };
        if left_out > 0 {
            warn!(self.logger, "lines left out"; "lines" => left_out);
        }
        write(&self.logger, note);
    }
}

fn write(log: &Logger, note: &Note) {
    let name = note.name();
    match note {
        Note::Accepted { job, kind, tasks, size, declared, wait, run, patience, version } => {
            info!(log, "{}", name; "job" => %job, "kind" => %kind, "tasks" => tasks,
                "size" => %size, "declared_ms" => millis(*declared), "wait_ms" => millis(*wait),
                "run_ms" => millis(*run), "patience_ms" => millis(*patience),
                "configuration" => version);
        }
        Note::Answered { job, kind, size, outcome, took, why } => {
            info!(log, "{}", name; "job" => %job, "kind" => %kind, "size" => %size,
                "outcome" => label(outcome), "took_ms" => millis(*took), "reason" => why);
        }
        Note::Refused { job, kind, tasks, size, outcome, declared, wait, run, patience } => {
            info!(log, "{}", name; "job" => %job, "kind" => %kind, "tasks" => tasks,
                "size" => %size, "reason" => label(outcome),
                "declared_ms" => millis(*declared), "wait_ms" => millis(*wait), "run_ms" => millis(*run),
                "patience_ms" => millis(*patience));
        }
        Note::CallerLeft { job, after } => {
            info!(log, "{}", name; "job" => %job, "after_ms" => millis(*after));
        }
        Note::Sent { job, steward, tasks, standing, free, wait_ms } => {
            info!(log, "{}", name; "job" => %job, "steward" => %steward, "tasks" => tasks,
                "standing" => standing, "steward_free" => free, "steward_wait_ms" => wait_ms);
        }
        Note::GivenBack { job, tasks, wait, slack } => {
            info!(log, "{}", name; "job" => %job, "tasks" => tasks, "wait_ms" => millis(*wait),
                "slack_ms" => millis(*slack));
        }
        Note::Returned { task, end, waited, best, left } => {
            info!(log, "{}", name; "job" => %task.job, "task" => %task, "end" => %end,
                "waited_ms" => millis(*waited), "best_ms" => millis(*best),
                "left_ms" => millis(*left));
        }
        Note::Granted { task, after } => {
            info!(log, "{}", name; "job" => %task.job, "task" => %task,
                "after_ms" => millis(*after));
        }
        Note::Started { task, run, target, cpu_millis, waited, expected, best } => {
            info!(log, "{}", name; "job" => %task.job, "task" => %task, "run" => run,
                "target" => %target, "cpu_millis" => cpu_millis, "waited_ms" => millis(*waited),
                "expected_ms" => millis(*expected), "best_ms" => millis(*best));
        }
        Note::Ended { task, run, target, end, evidence, took } => {
            info!(log, "{}", name; "job" => %task.job, "task" => %task, "run" => run,
                "target" => %target, "end" => %end, "evidence" => %evidence,
                "took_ms" => millis(*took));
        }
        Note::Turned { target, task, rejection } => {
            warn!(log, "{}", name; "job" => %task.job, "task" => %task, "target" => %target,
                "reason" => %rejection);
        }
        Note::OrphanStopped { target, task } => {
            warn!(log, "{}", name; "job" => %task.job, "task" => %task, "target" => %target);
        }
        _ => write_belief(log, note),
    }
}

/// Changes of what the host believes.
fn write_belief(log: &Logger, note: &Note) {
    let name = note.name();
    match note {
        Note::Claimed { target, token } => {
            info!(log, "{}", name; "target" => %target, "token" => token.0);
        }
        Note::Fenced { target, token } => {
            warn!(log, "{}", name; "target" => %target, "token" => token.0);
        }
        Note::TargetLost { target, evidence, renewed } => {
            warn!(log, "{}", name; "target" => %target, "reason" => %evidence,
                "renewed_ms_ago" => renewed.map(millis));
        }
        Note::Hung { target, recalled } => {
            warn!(log, "{}", name; "target" => %target, "recalled" => recalled);
        }
        Note::Steward { zone, token } => {
            info!(log, "{}", name; "of" => %zone, "token" => token.0);
        }
        Note::Yielded { zone } => info!(log, "{}", name; "of" => %zone),
        Note::PeerFound { peer, incarnation } => {
            info!(log, "{}", name; "peer" => %peer, "peer_incarnation" => incarnation);
        }
        Note::PeerLost { peer, why, silent } => {
            warn!(log, "{}", name; "peer" => %peer, "reason" => why,
                "silent_ms" => millis(*silent));
        }
        Note::InForce { version, from } => {
            info!(log, "{}", name; "configuration" => version, "from" => from);
        }
        Note::Targets { known, unreadable } => {
            info!(log, "{}", name; "targets" => known, "unreadable" => unreadable);
        }
        Note::Unreadable { key, revision, why } => {
            warn!(log, "{}", name; "key" => %short(key), "revision" => revision,
                "reason" => %short(why));
        }
        Note::StoreLost { failure } => warn!(log, "{}", name; "reason" => %failure),
        Note::Paused { gap } => warn!(log, "{}", name; "gap_ms" => millis(*gap)),
        Note::Begun { address } => info!(log, "{}", name; "address" => %address),
        Note::Reloaded { fault: None } => info!(log, "{}", name),
        Note::Reloaded { fault: Some(fault) } => warn!(log, "{}", name; "reason" => %fault),
        Note::NotAccepted { cause } => warn!(log, "{}", name; "reason" => %cause),
        Note::Ending { open } => info!(log, "{}", name; "open_jobs" => open),
        _ => info!(log, "{}", name),
    }
}

fn count(note: &Note) {
    match note {
        Note::Answered { kind, size, outcome, took, .. } => {
            let (kind, outcome) = (kind.to_string(), label(outcome));
            counter!("coltsfootshunt_jobs_answered_total", "kind" => kind.clone(),
                "size" => size.to_string(), "outcome" => outcome.clone())
            .increment(1);
            histogram!("coltsfootshunt_job_seconds", "kind" => kind, "outcome" => outcome)
                .record(took.as_secs_f64());
        }
        Note::Refused { kind, size, outcome, .. } => {
            let (kind, reason) = (kind.to_string(), label(outcome));
            counter!("coltsfootshunt_jobs_refused_total", "kind" => kind,
                "size" => size.to_string(), "reason" => reason)
            .increment(1);
        }
        Note::Returned { end, .. } => {
            counter!("coltsfootshunt_tasks_returned_total", "end" => end.to_string()).increment(1);
        }
        Note::Granted { after, .. } => {
            histogram!("coltsfootshunt_task_grant_seconds").record(after.as_secs_f64());
        }
        Note::Started { waited, .. } => {
            histogram!("coltsfootshunt_task_wait_seconds").record(waited.as_secs_f64());
        }
        Note::Ended { end, evidence, .. } => {
            counter!("coltsfootshunt_attempts_ended_total", "end" => end.to_string(),
                "evidence" => evidence.to_string())
            .increment(1);
        }
        Note::InForce { version, .. } => {
            metrics::gauge!("coltsfootshunt_configuration_version").set(*version as f64);
        }
        other => {
            counter!("coltsfootshunt_events_total", "event" => other.name()).increment(1);
        }
    }
}

/// Short name of an outcome.
fn label(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Completed => "completed".to_owned(),
        Outcome::Failed => "failed".to_owned(),
        Outcome::Unknown => "unknown".to_owned(),
        Outcome::Refused { refusal, .. } => refusal.to_string(),
    }
}

/// The beginning of what another writer chose.
pub(super) fn short(text: &str) -> Cow<'_, str> {
    match text.char_indices().nth(FOREIGN_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]).into(),
        None => text.into(),
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
