//! What the findings at a target mean for others.

use std::time::Instant;

use coltsfootshunt_core::name::{Host, Target};

use super::place::OVERDUE;
use crate::job::{End, Ending};
use crate::lease::{Attempt, Finding, Rejection};
use crate::queue::Waiting;
use crate::report::Record;
use crate::speed::Book;
use crate::steward::Output;

pub(super) fn learn(target: &Target, finding: &Finding, speeds: &mut Book, now: Instant) {
    match finding {
        Finding::Ended { attempt, end: End::Done, .. } => {
            let took = now.duration_since(attempt.since);
            speeds.done(&attempt.kind, target, (attempt.estimate, took), now);
        }
        Finding::Ended { end: End::Failed, .. } | Finding::Turned(_, Rejection::Unhealthy) => {
            speeds.failed(target, now);
        }
        // A run that was stopped had needed longer still.
        Finding::Ended { attempt, end: End::Lost, .. } => {
            let took = now.duration_since(attempt.since);
            let times = (attempt.estimate, took);
            if took > attempt.expected.mul_f64(OVERDUE) {
                speeds.done(&attempt.kind, target, times, now);
            } else if took > attempt.expected {
                speeds.ran(&attempt.kind, target, times, now);
            }
        }
        Finding::Lost { .. } => speeds.forget(target),
        _ => {}
    }
}

pub(super) fn note(target: &Target, finding: &Finding, now: Instant, out: &mut Output) {
    let target = target.clone();
    out.notes.push(match finding {
        Finding::Ended { task, attempt, end, evidence } => {
            let took = now.duration_since(attempt.since);
            let (run, end, evidence) = (attempt.run, *end, *evidence);
            Record::TaskEnded { task: task.clone(), run, target, end, evidence, took }
        }
        Finding::Claimed(token) => Record::TargetClaimed { target, token: *token },
        Finding::Fenced(token) => Record::TargetFenced { target, token: *token },
        Finding::Lost { evidence, renewed } => {
            Record::TargetLost { target, evidence: *evidence, renewed: *renewed }
        }
        Finding::Orphan(task) => Record::OrphanStopped { target, task: task.clone() },
        Finding::Turned(task, rejection) => {
            Record::StartRejected { target, task: task.clone(), rejection: *rejection }
        }
    });
}

pub(super) fn ending(finding: Finding) -> Option<(Host, Ending)> {
    let Finding::Ended { task, attempt, end, .. } = finding else {
        return None;
    };
    let Attempt { opening, run, round, owner, .. } = *attempt;
    Some((owner, Ending { task, opening, run, round, end }))
}

pub(super) fn not_run(one: Waiting) -> (Host, Ending) {
    // The number was not used.
    let run = one.run.saturating_sub(1);
    let Waiting { task, opening, round, owner, .. } = one;
    (owner, Ending { task, opening, run, round, end: End::NotRun })
}
