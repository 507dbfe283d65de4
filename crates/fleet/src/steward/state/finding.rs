//! What the findings at a target mean for others.

use std::time::Instant;

use coltsfootshunt_core::name::{Host, Target};

use super::place::OVERDUE;
use crate::job::{Completion, End};
use crate::lease::{Attempt, Change, Rejection};
use crate::queue::QueuedTask;
use crate::report::Record;
use crate::speed::Estimator;
use crate::steward::Output;

pub(super) fn learn(target: &Target, finding: &Change, speeds: &mut Estimator, now: Instant) {
    match finding {
        Change::Ended { attempt, end: End::Done, .. } => {
            let took = now.duration_since(attempt.sent_at);
            speeds.record_completion(&attempt.kind, target, (attempt.estimate, took), now);
        }
        Change::Ended { end: End::Failed, .. } | Change::StartRejected(_, Rejection::Unhealthy) => {
            speeds.record_failure(target, now);
        }
        // A run that was stopped had needed longer still.
        Change::Ended { attempt, end: End::Lost, .. } => {
            let took = now.duration_since(attempt.sent_at);
            let times = (attempt.estimate, took);
            if took > attempt.expected.mul_f64(OVERDUE) {
                speeds.record_completion(&attempt.kind, target, times, now);
            } else if took > attempt.expected {
                speeds.record_run_time(&attempt.kind, target, times, now);
            }
        }
        Change::Lost { .. } => speeds.forget(target),
        _ => {}
    }
}

pub(super) fn note(target: &Target, finding: &Change, now: Instant, out: &mut Output) {
    let target = target.clone();
    out.notes.push(match finding {
        Change::Ended { task, attempt, end, evidence } => {
            let took = now.duration_since(attempt.sent_at);
            let (run, end, evidence) = (attempt.run, *end, *evidence);
            Record::TaskEnded { task: task.clone(), run, target, end, evidence, took }
        }
        Change::Claimed(token) => Record::TargetClaimed { target, token: *token },
        Change::Fenced(token) => Record::TargetFenced { target, token: *token },
        Change::Lost { evidence, since_renewal } => {
            Record::TargetLost { target, evidence: *evidence, renewed: *since_renewal }
        }
        Change::Orphan(task) => Record::OrphanStopped { target, task: task.clone() },
        Change::StartRejected(task, rejection) => {
            Record::StartRejected { target, task: task.clone(), rejection: *rejection }
        }
    });
}

pub(super) fn completion(finding: Change) -> Option<(Host, Completion)> {
    let Change::Ended { task, attempt, end, .. } = finding else {
        return None;
    };
    let Attempt { generation, run, sequence, owner, .. } = *attempt;
    Some((owner, Completion { task, generation, run, sequence, end }))
}

pub(super) fn not_run(one: QueuedTask) -> (Host, Completion) {
    // The number was not used.
    let run = one.run.saturating_sub(1);
    let QueuedTask { task, generation, sequence, owner, .. } = one;
    (owner, Completion { task, generation, run, sequence, end: End::NotRun })
}
