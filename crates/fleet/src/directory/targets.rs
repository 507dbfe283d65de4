//! The targets known to this host, and the grace period of missing entries.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Target;

use super::Entry;

/// Time for which an entry that is missing from the store still counts. Entries that expired while
/// the store was down are back about two seconds after its recovery.
const MISSING_GRACE: Duration = Duration::from_millis(2_500);
/// Time for which a vanished target is remembered, since it may come back.
const VANISHED_RETENTION: Duration = Duration::from_secs(60);

/// A target that counts as present.
#[derive(Debug)]
struct Known {
    entry: Entry,
    /// First read of the store without the entry; none if the last read had it.
    missing_since: Option<Instant>,
    /// Whether the last read had an entry under its name that is another writer's.
    is_overwritten: bool,
}

impl From<Entry> for Known {
    fn from(entry: Entry) -> Self {
        Self { entry, missing_since: None, is_overwritten: false }
    }
}

/// The targets known to this host.
#[derive(Debug, Default)]
pub struct Directory {
    known: BTreeMap<Target, Known>,
    /// Vanished targets, with the time since which they have been missing.
    vanished: BTreeMap<Target, (Entry, Instant)>,
    /// Last complete read of the store.
    read_at: Option<Instant>,
}

impl Directory {
    /// Applies a complete read of the store. An entry of another writer counts as missing. Returns the
    /// targets whose entries another writer has replaced since the last read.
    pub fn replace(&mut self, entries: Vec<Entry>, now: Instant) -> Vec<Target> {
        self.read_at = Some(now);
        for one in self.known.values_mut() {
            one.missing_since = one.missing_since.or(Some(now));
        }
        let (foreign, own): (Vec<_>, Vec<_>) =
            entries.into_iter().partition(|entry| self.is_foreign(entry));
        for entry in own {
            self.vanished.remove(&entry.name);
            self.known.insert(entry.name.clone(), entry.into());
        }
        let mut overwritten = Vec::new();
        for Entry { name, .. } in foreign {
            let known = self.known.get_mut(&name);
            if known.is_some_and(|one| !std::mem::replace(&mut one.is_overwritten, true)) {
                overwritten.push(name);
            }
        }
        let has_vanished = |since| now.duration_since(since) >= MISSING_GRACE;
        for one in self.known.values() {
            if let Some(since) = one.missing_since.filter(|since| has_vanished(*since)) {
                self.vanished.insert(one.entry.name.clone(), (one.entry.clone(), since));
            }
        }
        self.known.retain(|_, one| !one.missing_since.is_some_and(has_vanished));
        self.vanished.retain(|_, (_, since)| now.duration_since(*since) < VANISHED_RETENTION);
        overwritten
    }

    /// Whether an entry is another writer's. A target that writes its start time does so in each entry,
    /// so one without it says nothing about that target. Some deployments' targets never write it.
    fn is_foreign(&self, entry: &Entry) -> bool {
        let vanished = self.vanished.get(&entry.name).map(|(entry, _)| entry);
        let known = self.get(&entry.name).or(vanished);
        entry.started_at_ms == 0 && known.is_some_and(|known| known.started_at_ms != 0)
    }

    /// Adds entries from a peer if this host knows no target and has not read the store itself.
    /// Returns whether the entries were added.
    pub fn seed(&mut self, entries: Vec<Entry>) -> bool {
        let is_first = self.read_at.is_none() && self.known.is_empty();
        if is_first {
            for entry in entries {
                self.known.insert(entry.name.clone(), entry.into());
            }
        }
        is_first
    }

    /// Replaces entries by those that a peer has read. Returns the number of those that differ.
    pub fn update(&mut self, entries: Vec<Entry>) -> usize {
        let mut changed = 0;
        for entry in entries {
            if self.get(&entry.name) != Some(&entry) && !self.is_foreign(&entry) {
                changed += 1;
                self.known.insert(entry.name.clone(), entry.into());
            }
        }
        changed
    }

    /// Returns all targets that count as present.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.known.values().map(|one| &one.entry)
    }

    /// Returns the vanished targets. They may still be running, since a missing entry says nothing about
    /// the target itself.
    pub fn vanished(&self) -> impl Iterator<Item = &Entry> {
        self.vanished.values().map(|(entry, _)| entry)
    }

    /// Returns the entry of a target that counts as present.
    #[must_use]
    pub fn get(&self, name: &Target) -> Option<&Entry> {
        self.known.get(name).map(|one| &one.entry)
    }

    /// Returns the time of the last complete read of the store; none before the first.
    #[must_use]
    pub fn read_at(&self) -> Option<Instant> {
        self.read_at
    }

    /// Whether no target counts as present.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
