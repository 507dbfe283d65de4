//! Start times of a target in the directory, and which of them a claim has checked.

use std::collections::VecDeque;

/// Number of checked start times that are remembered. A directory alternates between few: those of a
/// stale read and of another writer.
const MAX_CHECKED: usize = 8;

/// The start times that the directory has shown for a target, in Unix milliseconds.
#[derive(Debug, Default)]
pub(super) struct StartTimes {
    /// Start time in the last entry; 0 before the first entry that contains one.
    listed_ms: u64,
    /// Start time in the last entry before the last claim was sent.
    claimed_ms: u64,
    /// Start times that the directory showed before a claim to which the target responded. Whatever
    /// incarnation they belong to, the response came from that one or a later one.
    checked_ms: VecDeque<u64>,
}

impl StartTimes {
    /// Records the start time in an entry, if it contains one. Returns whether no claim has checked
    /// it yet.
    pub(super) fn list(&mut self, started_at_ms: u64) -> bool {
        if started_at_ms == 0 {
            return false;
        }
        self.listed_ms = started_at_ms;
        self.is_unchecked(started_at_ms)
    }

    /// Whether an entry had a start time.
    pub(super) fn has_listed(&self) -> bool {
        self.listed_ms != 0
    }

    /// Whether no claim has checked this start time of an entry yet.
    pub(super) fn is_unchecked(&self, started_at_ms: u64) -> bool {
        started_at_ms != 0 && !self.checked_ms.contains(&started_at_ms)
    }

    /// Records that a claim was sent.
    pub(super) fn record_claim(&mut self) {
        self.claimed_ms = self.listed_ms;
    }

    /// Records that the target responded to the last claim with a report.
    pub(super) fn record_claimed(&mut self) {
        if !self.checked_ms.contains(&self.claimed_ms) {
            self.checked_ms.push_back(self.claimed_ms);
        }
        if self.checked_ms.len() > MAX_CHECKED {
            self.checked_ms.pop_front();
        }
    }
}
