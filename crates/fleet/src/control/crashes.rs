//! Runs that were lost with their targets.

use std::time::Instant;

use coltsfootshunt_core::name::Target;

use super::State;
use crate::crash::{Loss, Run};
use crate::lease::{Call, Phase, Report, Response};
use crate::report::Record;

impl State {
    /// Records runs that this host lost with their targets.
    pub(super) fn add_losses(&mut self, losses: Vec<Loss>, now: Instant) {
        for loss in losses {
            if self.crashes.add(&loss, now) {
                self.record(Record::RunLost { loss, peer: None });
            }
        }
    }

    /// Returns the report in a response, unless the call is outdated. One that was made before the target was
    /// lost says nothing about the loss.
    pub(super) fn current_report(&self, call: &Call, response: &Response) -> Option<Report> {
        let Response::Report(report) = response else {
            return None;
        };
        let phase = self.steward.tracker(&call.target)?.phase;
        let is_current = [Phase::Held(call.token), Phase::Claiming(call.token)].contains(&phase);
        (is_current && !self.crashes.is_empty()).then(|| report.clone())
    }

    /// Judges the runs that were lost with a target by its report.
    pub(super) fn judge_losses(&mut self, target: &Target, report: &Report, now: Instant) {
        let Some(started_at_ms) = report.started_at_ms else {
            return;
        };
        // A row that can't be decoded may be any run.
        let has_unreadable = report.unreadable.running > 0;
        let is_running = |run: &Run| {
            let mut rows = report.running.iter();
            has_unreadable || rows.any(|row| (&row.task, row.run) == (&run.task, run.number))
        };
        for loss in self.crashes.judge(target, started_at_ms, is_running, now) {
            self.record(Record::RunLost { loss, peer: None });
        }
    }

    /// Drops losses whose time is over.
    pub(super) fn expire_losses(&mut self, now: Instant) {
        let dropped = self.crashes.expire(now);
        if dropped > 0 {
            self.record(Record::LossesDropped { dropped });
        }
    }
}
