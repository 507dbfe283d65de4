//! The ends that a target lists, and which of them may be acknowledged.
//!
//! A target forgets all ends up to the acknowledged sequence number, listed or not. One row with a
//! wild number must therefore never raise that number beyond the ends that were processed.

use crate::lease::{Ended, Report};

/// Largest number of ends in a report.
const MAX_LISTED: u64 = 500;

/// The listed ends of one incarnation of a target.
#[derive(Debug, Default)]
pub(super) struct Ends {
    /// Ends in the last report, all processed. A target lists an end until it is acknowledged, so an
    /// end that is not among them is new, whatever its sequence number.
    listed: Vec<Ended>,
    /// Sequence number up to which all ends were processed; 0 before the first.
    last: u64,
    /// Whether `last` is known since the last claim. Until then other stewards may have acknowledged
    /// any number of ends.
    is_last_known: bool,
}

impl Ends {
    /// Returns the sequence number to acknowledge.
    pub(super) fn last(&self) -> u64 {
        self.last
    }

    /// Records a report and returns its new ends.
    pub(super) fn record(&mut self, report: &Report, is_claim: bool) -> Vec<Ended> {
        let is_new = |ended: &&Ended| !self.listed.contains(ended);
        let new = report.ended.iter().filter(is_new).cloned().collect();
        self.listed.clone_from(&report.ended);
        self.is_last_known &= !is_claim;
        self.advance(report.clock_ms);
        new
    }

    /// Moves `last` to the highest listed number that can be right. The numbers rise by one, and all
    /// ends that are not acknowledged fit in one report. No target ends more than one attempt per
    /// millisecond of its clock, which starts with the incarnation.
    fn advance(&mut self, clock_ms: u64) {
        let highest = clock_ms.saturating_add(MAX_LISTED);
        let next = self.last.saturating_add(1);
        let numbers = self.listed.iter().map(|ended| ended.sequence);
        let numbers = numbers.filter(|number| (next..=highest).contains(number));
        let Some(lowest) = numbers.clone().min() else {
            return;
        };
        let first = if self.is_last_known { next } else { lowest };
        if let Some(last) = numbers.filter(|number| number - first < MAX_LISTED).max() {
            self.last = last;
            self.is_last_known = true;
        }
    }
}
