//! Which of the entries that the directory shows for a target tells of its present incarnation.

use std::time::{Duration, Instant};

use super::{Change, Phase, Tracker};
use crate::directory::Entry;

/// Time from the first read of the directory after the first report of an incarnation until a read shows its
/// entry, which targets write every 1.5 s. Only for targets whose entries never have a start time: the first
/// read after an outage of the store may come before the target could write.
const ENTRY_SETTLING_TIME: Duration = Duration::from_secs(2);

/// The entries of a target, and whether its incarnation has one.
#[derive(Debug)]
pub(super) struct Entries {
    /// Last entry in the directory.
    listed: Entry,
    /// Last entry with the start time that the target reported.
    own: Option<Entry>,
    /// Whether a report of the target had a start time.
    is_reported: bool,
    awaited: Option<Awaited>,
}

/// An incarnation of which the directory has shown no entry. It may differ in every field from the earlier one,
/// so nothing starts until the directory shows its entry.
#[derive(Clone, Copy, Debug)]
struct Awaited {
    /// First report of the incarnation.
    since: Instant,
    /// First read of the directory after that.
    read_at: Option<Instant>,
}

impl Entries {
    pub(super) fn new(listed: Entry) -> Self {
        Self { listed, own: None, is_reported: false, awaited: None }
    }

    /// Whether the directory has shown no entry of the present incarnation.
    pub(super) fn is_awaited(&self) -> bool {
        self.awaited.is_some()
    }

    /// Awaits the entry of an incarnation that was first reported now.
    pub(super) fn await_own(&mut self, now: Instant) {
        self.is_reported = true;
        self.awaited = Some(Awaited { since: now, read_at: None });
    }

    /// Whether an entry without a start time counts as that of the present incarnation after this read.
    fn is_settled(&mut self, read_at: Option<Instant>) -> bool {
        let Some(awaited) = &mut self.awaited else {
            return true;
        };
        let Some(read_at) = read_at.filter(|at| *at > awaited.since) else {
            return false;
        };
        let first = *awaited.read_at.get_or_insert(read_at);
        read_at >= first + ENTRY_SETTLING_TIME
    }
}

impl Tracker {
    /// Applies the directory entry of a read at `read_at`; none if a peer has sent the entry. Only the target's
    /// reports change the known incarnation, since the state of the earlier one has to be dropped with it.
    pub fn update(&mut self, entry: &Entry, read_at: Option<Instant>) {
        let started_at_ms = self.entry.started_at_ms;
        if self.entries.listed != *entry {
            self.entries.listed = entry.clone();
        }
        let is_unchecked = self.start_times.list(entry.started_at_ms);
        let is_own = entry.started_at_ms == started_at_ms;
        if is_unchecked && !is_own && matches!(self.phase, Phase::Held(_)) {
            // A claim shows what runs now, and whether the entry is right.
            self.is_uncertain = true;
        }
        if !self.entries.is_reported || is_own {
            self.entries.awaited = None;
            if self.entries.is_reported && self.entries.own.as_ref() != Some(entry) {
                self.entries.own = Some(entry.clone());
            }
        } else if !self.start_times.has_listed() {
            if self.entries.is_settled(read_at) {
                self.entries.awaited = None;
            }
        } else if !is_unchecked && !self.entries.is_awaited() {
            // It is stale or another writer's, since a claim has shown that the target is of another incarnation.
            return;
        }
        // An incarnation that is to be claimed may have another address.
        self.entry = Entry { started_at_ms, ..entry.clone() };
    }

    /// Chooses the entry that counts after a claim was answered by the incarnation of `started_at_ms`.
    pub(super) fn choose_entry(
        &mut self,
        started_at_ms: u64,
        now: Instant,
        changes: &mut Vec<Change>,
    ) {
        let entries = &mut self.entries;
        let listed_ms = entries.listed.started_at_ms;
        let is_of_life = |entry: &Entry| entry.started_at_ms == started_at_ms;
        entries.is_reported = true;
        if is_of_life(&entries.listed) {
            entries.own = Some(entries.listed.clone());
        } else {
            entries.own = entries.own.take().filter(is_of_life);
        }
        if let Some(own) = &entries.own {
            entries.awaited = None;
            // The last entry may be that of an incarnation that was not claimed yet, at another address.
            if !self.start_times.is_unchecked(listed_ms) {
                self.entry = own.clone();
            }
        } else if entries.awaited.is_none() && (listed_ms != 0 || self.start_times.has_listed()) {
            entries.await_own(now);
        }
        if self.entries.is_awaited() {
            changes.push(Change::EntryAwaited { started_at_ms, listed_ms });
        }
    }
}
