//! Converts changes at a target into speed samples, records and completions.

use std::time::Instant;

use coltsfootshunt_core::name::{Host, Target};

use super::overdue::OVERDUE_FACTOR;
use crate::crash::{Loss, Run, Verdict};
use crate::directory::{self, Entry};
use crate::job::{Completion, End};
use crate::lease::{Attempt, Change, Evidence, Rejection};
use crate::queue::QueuedTask;
use crate::report::Record;
use crate::speed::Estimator;
use crate::steward::Output;

pub(super) fn update_speeds(
    target: &Target,
    change: &Change,
    speeds: &mut Estimator,
    now: Instant,
) {
    match change {
        Change::Ended { attempt, end: End::Done, .. } => {
            let took = now.duration_since(attempt.sent_at);
            speeds.record_completion(&attempt.kind, target, (attempt.estimate, took), now);
        }
        Change::Ended { end: End::Failed, .. } | Change::StartRejected(_, Rejection::Unhealthy) => {
            speeds.record_failure(target, now);
        }
        // The run was stopped and would have taken longer still.
        Change::Ended { attempt, end: End::Lost, .. } => {
            let took = now.duration_since(attempt.sent_at);
            let times = (attempt.estimate, took);
            if took > attempt.expected.mul_f64(OVERDUE_FACTOR) {
                speeds.record_completion(&attempt.kind, target, times, now);
            } else if took > attempt.expected {
                speeds.record_run_time(&attempt.kind, target, times, now);
            }
        }
        Change::Lost { .. } => speeds.forget(target),
        _ => {}
    }
}

pub(super) fn record(target: &Target, change: &Change, now: Instant, output: &mut Output) {
    let target = target.clone();
    output.records.push(match change {
        Change::Ended { task, attempt, end, evidence } => {
            let took = now.duration_since(attempt.sent_at);
            let (run, end, evidence) = (attempt.run, *end, *evidence);
            Record::TaskEnded { task: task.clone(), run, target, end, evidence, took }
        }
        Change::EntryAwaited { started_at_ms, listed_ms } => {
            Record::EntryAwaited { target, started_at_ms: *started_at_ms, listed_ms: *listed_ms }
        }
        Change::Claimed { token, address, started_at_ms } => Record::TargetClaimed {
            target,
            token: *token,
            address: *address,
            started_at_ms: *started_at_ms,
        },
        Change::Fenced(token) => Record::TargetFenced { target, token: *token },
        Change::Lost { evidence, since_renewal } => {
            Record::TargetLost { target, evidence: *evidence, since_renewal: *since_renewal }
        }
        Change::SharedToken(token, task) => {
            Record::TokenShared { target, token: *token, task: task.clone() }
        }
        Change::Orphan(task) => Record::OrphanStopped { target, task: task.clone() },
        Change::StartRejected(task, rejection) => {
            Record::StartRejected { target, task: task.clone(), rejection: *rejection }
        }
        Change::Unreadable(unreadable) => {
            Record::ReportUnreadable { target, unreadable: unreadable.clone() }
        }
    });
}

pub(super) fn completion(change: Change) -> Option<(Host, Completion)> {
    let Change::Ended { task, attempt, end, .. } = change else {
        return None;
    };
    let Attempt { generation, run, sequence, owner, .. } = *attempt;
    Some((owner, Completion { task, generation, run, sequence, end }))
}

/// The loss of a run, if the target has not told how it ended.
pub(super) fn loss(entry: &Entry, change: &Change) -> Option<Loss> {
    let Change::Ended { task, attempt, evidence, .. } = change else {
        return None;
    };
    let verdict = match evidence {
        Evidence::Restarted => Verdict::Crashed,
        Evidence::LeaseExpired | Evidence::Fenced | Evidence::Paused => Verdict::Open,
        Evidence::Listed | Evidence::Missing | Evidence::Rejected | Evidence::Unsent => {
            return None;
        }
    };
    // A target that drains ends what runs on it when it leaves.
    if entry.state == directory::State::Draining {
        return None;
    }
    let run = Run {
        task: task.clone(),
        target: entry.name.clone(),
        address: entry.address,
        started_at_ms: attempt.started_at_ms,
        number: attempt.run,
    };
    Some(Loss { run, alone: attempt.alone, verdict })
}

pub(super) fn not_run(queued: QueuedTask) -> (Host, Completion) {
    // The run number was not used.
    let run = queued.run.saturating_sub(1);
    let QueuedTask { task, generation, sequence, owner, .. } = queued;
    (owner, Completion { task, generation, run, sequence, end: End::NotRun })
}
