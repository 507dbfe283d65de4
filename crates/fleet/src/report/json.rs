//! Log lines in JSON, and metrics.

use std::borrow::Cow;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Host;
use metrics::{counter, histogram};
use slog::{Drain, Logger, error, info, o, warn};

use super::{Limiter, Record};
use crate::crash::Loss;
use crate::job::Outcome;
use crate::member::Identity;

/// Maximum number of lines in the queue of the writing thread. The logger drops and counts any more.
const MAX_QUEUED_LINES: usize = 4_096;

/// Maximum number of characters of a store key or an error message in a line. Other systems choose their
/// length.
const MAX_FOREIGN_CHARS: usize = 80;

/// Destination of records.
pub trait Log: Send + Sync {
    /// Logs and counts one record. Must not block.
    fn record(&self, record: &Record);

    /// Counts one record in the metrics and writes no line.
    fn count(&self, record: &Record) {
        count(record);
    }
}

/// Updates the metrics and writes no log lines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Silent;

impl Log for Silent {
    fn record(&self, record: &Record) {
        count(record);
    }
}

/// Updates the metrics, and writes JSON lines to standard output from a separate thread.
pub struct Json {
    logger: Logger,
    limiter: Mutex<Limiter>,
}

impl Json {
    /// Creates a log whose lines carry the host's identity.
    #[must_use]
    pub fn new(me: &Identity) -> Self {
        let json = slog_json::Json::new(std::io::stdout()).add_default_keys().build().fuse();
        let json = slog_async::Async::new(json).chan_size(MAX_QUEUED_LINES).build().fuse();
        let keys = o!(
            "host" => me.host.to_string(),
            "zone" => me.zone.to_string(),
            "incarnation" => me.incarnation,
        );
        let limiter = Mutex::new(Limiter::new(Instant::now()));
        Self { logger: Logger::root(json, keys), limiter }
    }
}

impl Log for Json {
    fn record(&self, record: &Record) {
        count(record);
        let suppressed = {
            let mut limiter =
                self.limiter.lock().expect("no thread panics while it holds the lock");
            if !limiter.try_acquire(record.name(), Instant::now()) {
                return;
            }
            limiter.take_suppressed()
        };
        if suppressed > 0 {
            warn!(self.logger, "lines left out"; "lines" => suppressed);
        }
        write(&self.logger, record);
    }
}

/// Writes the line of a record. Records on jobs and tasks are handled here.
fn write(log: &Logger, record: &Record) {
    let name = record.name();
    match record {
        Record::JobAccepted {
            job,
            kind,
            tasks,
            size,
            declared,
            wait,
            run,
            timeout,
            stated_timeout,
            route_timeout,
            version,
        } => {
            info!(log, "{}", name; "job" => %job, "kind" => %kind, "tasks" => tasks,
                "size" => %size, "declared_ms" => millis(*declared), "wait_ms" => millis(*wait),
                "run_ms" => millis(*run), "patience_ms" => millis(*timeout),
                "caller_timeout_ms" => stated_timeout.map(millis), "route_timeout_ms" => millis(*route_timeout),
                "configuration" => version);
        }
        Record::JobAnswered { job, kind, size, outcome, took, reason } => {
            info!(log, "{}", name; "job" => %job, "kind" => %kind, "size" => %size,
                "outcome" => label(outcome), "took_ms" => millis(*took), "reason" => reason);
        }
        Record::JobRefused {
            job,
            kind,
            tasks,
            size,
            outcome,
            declared,
            wait,
            run,
            timeout,
            stated_timeout,
            route_timeout,
        } => {
            info!(log, "{}", name; "job" => %job, "kind" => %kind, "tasks" => tasks,
                "size" => %size, "reason" => label(outcome),
                "declared_ms" => millis(*declared), "wait_ms" => millis(*wait), "run_ms" => millis(*run),
                "patience_ms" => millis(*timeout), "caller_timeout_ms" => stated_timeout.map(millis),
                "route_timeout_ms" => millis(*route_timeout));
        }
        Record::CallerLeft { job, after } => {
            info!(log, "{}", name; "job" => %job, "after_ms" => millis(*after));
        }
        Record::TasksSent { job, steward, tasks, shared, free, wait_ms } => {
            info!(log, "{}", name; "job" => %job, "steward" => %steward, "tasks" => tasks,
                "standing" => shared, "steward_free" => free, "steward_wait_ms" => wait_ms);
        }
        Record::JobReturned { job, tasks, wait, slack } => {
            info!(log, "{}", name; "job" => %job, "tasks" => tasks, "wait_ms" => millis(*wait),
                "slack_ms" => millis(*slack));
        }
        Record::TaskReturned { task, end, waited, fastest_run, remaining } => {
            info!(log, "{}", name; "job" => %task.job, "task" => %task, "end" => %end,
                "waited_ms" => millis(*waited), "best_ms" => millis(*fastest_run),
                "left_ms" => millis(*remaining));
        }
        Record::TaskGranted { task, after } => {
            info!(log, "{}", name; "job" => %task.job, "task" => %task,
                "after_ms" => millis(*after));
        }
        Record::TaskStarted {
            task,
            run,
            target,
            cpu_millis,
            waited,
            expected,
            fastest_run,
            isolated,
        } => {
            info!(log, "{}", name; "job" => %task.job, "task" => %task, "run" => run,
                "target" => %target, "cpu_millis" => cpu_millis, "waited_ms" => millis(*waited),
                "expected_ms" => millis(*expected), "best_ms" => millis(*fastest_run),
                "isolated" => isolated);
        }
        Record::TaskEnded { task, run, target, end, evidence, took } => {
            info!(log, "{}", name; "job" => %task.job, "task" => %task, "run" => run,
                "target" => %target, "end" => %end, "evidence" => %evidence,
                "took_ms" => millis(*took));
        }
        Record::RunLost { loss: Loss { run, alone, verdict }, peer } => {
            warn!(log, "{}", name; "job" => %run.task.job, "task" => %run.task,
                "run" => run.number, "target" => %run.target, "target_began" => run.started_at_ms,
                "alone" => alone, "verdict" => %verdict, "from" => peer.as_deref());
        }
        Record::JobWaits { job } => info!(log, "{}", name; "job" => %job),
        Record::JobCancelled { job, is_known, asked } => {
            info!(log, "{}", name; "job" => %job, "known" => is_known, "asked" => asked);
        }
        Record::StartRejected { target, task, rejection } => {
            warn!(log, "{}", name; "job" => %task.job, "task" => %task, "target" => %target,
                "reason" => %rejection);
        }
        Record::TokenShared { target, token, task } => {
            warn!(log, "{}", name; "job" => %task.job, "task" => %task, "target" => %target,
                "token" => token.0);
        }
        Record::TasksEvacuated { job, tasks } => {
            info!(log, "{}", name; "job" => %job, "tasks" => tasks);
        }
        Record::OrphanStopped { target, task } => {
            warn!(log, "{}", name; "job" => %task.job, "task" => %task, "target" => %target);
        }
        _ => write_change(log, record),
    }
}

/// Writes records on targets, peers, the configuration and the process itself.
fn write_change(log: &Logger, record: &Record) {
    let name = record.name();
    match record {
        Record::EntryAwaited { target, started_at_ms, listed_ms } => {
            warn!(log, "{}", name; "target" => %target, "target_began" => started_at_ms,
                "entry_began" => listed_ms);
        }
        Record::TargetClaimed { target, token, address, started_at_ms } => {
            info!(log, "{}", name; "target" => %target, "token" => token.0,
                "address" => %address, "target_began" => started_at_ms);
        }
        Record::TokenSuffixChanged { peer, before, after } => {
            warn!(log, "{}", name; "peer" => peer.as_deref(), "before" => %before, "after" => %after);
        }
        Record::TargetFenced { target, token } => {
            warn!(log, "{}", name; "target" => %target, "token" => token.0);
        }
        Record::TargetLost { target, evidence, since_renewal } => {
            warn!(log, "{}", name; "target" => %target, "reason" => %evidence,
                "renewed_ms_ago" => since_renewal.map(millis));
        }
        Record::ReportUnreadable { target, unreadable } => {
            let sample = unreadable.sample.as_deref().unwrap_or_default();
            warn!(log, "{}", name; "target" => %target, "running" => unreadable.running,
                "ended" => unreadable.ended, "reason" => %truncate(sample));
        }
        Record::TargetStalled { target, recalled } => {
            warn!(log, "{}", name; "target" => %target, "recalled" => recalled);
        }
        Record::StewardshipTaken { zone, token } => {
            info!(log, "{}", name; "of" => %zone, "token" => token.0);
        }
        Record::StewardshipResigned { zone } => info!(log, "{}", name; "of" => %zone),
        Record::SplitProposed { zone, token, number, members }
        | Record::SplitActive { zone, token, number, members } => {
            info!(log, "{}", name; "of" => %zone, "token" => token.0, "number" => number,
                "members" => names(members));
        }
        Record::ShareTaken { zone, targets, before, known } => {
            info!(log, "{}", name; "of" => %zone, "targets" => targets, "before" => before,
                "known" => known);
        }
        Record::ShareReleased { zone, before, busy } => {
            info!(log, "{}", name; "of" => %zone, "before" => before, "busy" => busy);
        }
        Record::PeerFound { peer, incarnation } => {
            info!(log, "{}", name; "peer" => %peer, "peer_incarnation" => incarnation);
        }
        Record::PeerLost { peer, reason, silent } => {
            warn!(log, "{}", name; "peer" => %peer, "reason" => reason,
                "silent_ms" => millis(*silent));
        }
        Record::HostsIgnored { listed, ignored } => {
            warn!(log, "{}", name; "listed" => listed, "ignored" => ignored);
        }
        Record::PeerTraffic { counts, longest_wait, period } => {
            let counts: Vec<String> =
                counts.iter().map(|(key, count)| format!("{key}={count}")).collect();
            info!(log, "{}", name; "traffic" => counts.join(" "),
                "longest_wait_ms" => millis(*longest_wait), "period_ms" => millis(*period));
        }
        Record::CallsMade { sums, period } => {
            let calls: Vec<String> =
                sums.iter().map(|(kind, sum)| format!("{kind}={sum}")).collect();
            info!(log, "{}", name; "calls" => calls.join(" "), "period_ms" => millis(*period));
        }
        Record::ControlBehind { events, iterations, mean_wait, longest_wait, period } => {
            info!(log, "{}", name; "events" => events, "iterations" => iterations,
                "mean_wait_us" => mean_wait.as_micros() as u64,
                "longest_wait_ms" => millis(*longest_wait), "period_ms" => millis(*period));
        }
        Record::RecordsDropped { records, period } => {
            warn!(log, "{}", name; "records" => records, "period_ms" => millis(*period));
        }
        Record::TrafficBehind { mean, longest, period } => {
            info!(log, "{}", name; "mean_delay_us" => mean.as_micros() as u64,
                "longest_delay_ms" => millis(*longest), "period_ms" => millis(*period));
        }
        Record::ConfigApplied { version, source } => {
            info!(log, "{}", name; "configuration" => version, "from" => source);
        }
        Record::TargetsChanged { known, unreadable } => {
            info!(log, "{}", name; "targets" => known, "unreadable" => unreadable);
        }
        Record::TargetsRelayed { peer, changed } => {
            info!(log, "{}", name; "from" => %peer, "targets" => changed);
        }
        Record::EntryUnreadable { key, revision, reason } => {
            warn!(log, "{}", name; "key" => %truncate(key), "revision" => revision,
                "reason" => %truncate(reason));
        }
        Record::ZoneEvacuated { zone, revision, source, returned, evacuated } => {
            info!(log, "{}", name; "of" => %zone, "revision" => revision, "from" => %source,
                "returned" => returned, "evacuated" => evacuated);
        }
        Record::ZoneRestored { zone, revision, source, evacuated } => {
            info!(log, "{}", name; "of" => %zone, "revision" => revision, "from" => %source,
                "evacuated" => evacuated);
        }
        Record::ZoneUnknown { zone, revision } => {
            warn!(log, "{}", name; "of" => %zone, "revision" => revision);
        }
        Record::NoticeIgnored { peer, reason, revision, zones } => {
            warn!(log, "{}", name; "from" => %peer, "reason" => %reason, "revision" => revision,
                "zones" => zones);
        }
        Record::EntryIgnored { target } => warn!(log, "{}", name; "target" => %target),
        Record::CancelledDropped { dropped } => warn!(log, "{}", name; "jobs" => dropped),
        Record::LossesDropped { dropped } => warn!(log, "{}", name; "losses" => dropped),
        Record::StoreLost { error } => warn!(log, "{}", name; "reason" => %error),
        Record::ProcessPaused { pause } => warn!(log, "{}", name; "gap_ms" => millis(*pause)),
        Record::ProcessStarted { address } => info!(log, "{}", name; "address" => %address),
        Record::SettingsReloaded { error: None } => info!(log, "{}", name),
        Record::SettingsReloaded { error: Some(error) } => {
            warn!(log, "{}", name; "reason" => %error)
        }
        Record::ConnectionFailed { error } | Record::MetricsUnavailable { error } => {
            warn!(log, "{}", name; "reason" => %error)
        }
        Record::ClientRefused { reason } => warn!(log, "{}", name; "reason" => %reason),
        Record::ThreadPanicked(panic) => {
            error!(log, "{}", name; "thread" => %panic.thread, "reason" => %panic.message,
                "place" => %panic.place);
        }
        Record::ProcessStopped { open_jobs } => info!(log, "{}", name; "open_jobs" => open_jobs),
        _ => info!(log, "{}", name),
    }
}

/// Updates the metrics of a record.
fn count(record: &Record) {
    match record {
        Record::JobAnswered { kind, size, outcome, took, .. } => {
            let (kind, outcome) = (kind.to_string(), label(outcome));
            counter!("coltsfootshunt_jobs_answered_total", "kind" => kind.clone(),
                "size" => size.to_string(), "outcome" => outcome.clone())
            .increment(1);
            histogram!("coltsfootshunt_job_seconds", "kind" => kind, "outcome" => outcome)
                .record(took.as_secs_f64());
        }
        Record::JobRefused { kind, size, outcome, .. } => {
            let (kind, reason) = (kind.to_string(), label(outcome));
            counter!("coltsfootshunt_jobs_refused_total", "kind" => kind,
                "size" => size.to_string(), "reason" => reason)
            .increment(1);
        }
        Record::TaskReturned { end, .. } => {
            counter!("coltsfootshunt_tasks_returned_total", "end" => end.to_string()).increment(1);
        }
        Record::TaskGranted { after, .. } => {
            histogram!("coltsfootshunt_task_grant_seconds").record(after.as_secs_f64());
        }
        Record::TaskStarted { waited, .. } => {
            histogram!("coltsfootshunt_task_wait_seconds").record(waited.as_secs_f64());
        }
        Record::TaskEnded { end, evidence, .. } => {
            counter!("coltsfootshunt_attempts_ended_total", "end" => end.to_string(),
                "evidence" => evidence.to_string())
            .increment(1);
        }
        Record::RunLost { loss, peer: None } => {
            counter!("coltsfootshunt_lost_runs_total", "verdict" => loss.verdict.to_string(),
                "alone" => loss.alone.to_string())
            .increment(1);
        }
        Record::ZoneEvacuated { evacuated, .. } | Record::ZoneRestored { evacuated, .. } => {
            metrics::gauge!("coltsfootshunt_evacuated_zones").set(*evacuated as f64);
            counter!("coltsfootshunt_events_total", "event" => record.name()).increment(1);
        }
        Record::TasksEvacuated { tasks, .. } => {
            counter!("coltsfootshunt_evacuated_tasks_returned_total").increment(*tasks as u64);
        }
        Record::RecordsDropped { records, .. } => {
            counter!("coltsfootshunt_records_dropped_total").increment(*records);
        }
        Record::ConfigApplied { version, .. } => {
            metrics::gauge!("coltsfootshunt_configuration_version").set(*version as f64);
        }
        Record::SplitActive { members, .. } => {
            metrics::gauge!("coltsfootshunt_zone_stewards").set(members.len() as f64);
        }
        Record::ShareTaken { targets, .. } => {
            metrics::gauge!("coltsfootshunt_own_targets").set(*targets as f64);
        }
        Record::ShareReleased { .. } => {
            metrics::gauge!("coltsfootshunt_own_targets").set(0.0);
        }
        other => {
            counter!("coltsfootshunt_events_total", "event" => other.name()).increment(1);
        }
    }
}

/// Value of the `outcome` and `reason` labels.
fn label(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Completed => "completed".to_owned(),
        Outcome::Failed => "failed".to_owned(),
        Outcome::Unknown => "unknown".to_owned(),
        Outcome::Cancelled => "cancelled".to_owned(),
        Outcome::Refused { refusal, .. } => refusal.to_string(),
    }
}

/// Truncates text that another system wrote.
pub(super) fn truncate(text: &str) -> Cow<'_, str> {
    match text.char_indices().nth(MAX_FOREIGN_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]).into(),
        None => text.into(),
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Names of hosts, separated by commas.
fn names(hosts: &[Host]) -> String {
    hosts.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
}
