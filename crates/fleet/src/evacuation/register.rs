//! The evacuated zones that this host believes in.
//!
//! The answers of the store and the notices of peers are kept apart. Of the two, the one with the higher revision
//! is in force, so that a host without the store follows its peers, and a faulty peer can't outlast the store.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Zone;

use super::{ImplausibleNotice, Notice, Reading, Source, Transition, Unreadable};

/// Limit of the zones that are kept and not known otherwise. Deployments have a handful; it bounds what a faulty
/// writer of keys costs.
pub(super) const MAX_UNKNOWN_ZONES: usize = 256;
/// Limit of the zones in a notice: those above and as many that are known.
pub(super) const MAX_NOTICE_ZONES: usize = 2 * MAX_UNKNOWN_ZONES;
/// Limit of the keys that are remembered as reported.
const MAX_REPORTED: usize = 1_024;
/// Largest plausible revision: JSON numbers above it are not exact.
const MAX_REVISION: u64 = 1 << 53;
/// Largest plausible lead of a peer's revision over the store's last answer. At 1,000 writes a second the store
/// takes eleven days for it, longer than a host runs without the store.
const MAX_LEAD: u64 = 1_000_000_000;
/// Time after which an answer of the store with a lower revision raises doubt in a notice. A watch answers within
/// 1.2 s, and may have begun before the notice came.
const DOUBT_DELAY: Duration = Duration::from_millis(2_500);

/// A set of evacuated zones.
#[derive(Debug, Default)]
struct View {
    /// Revision at which the set was read or last changed.
    revision: u64,
    zones: BTreeSet<Zone>,
}

/// The set that the store has told.
#[derive(Debug)]
struct Stored {
    view: View,
    /// Revision up to which the set is known.
    known_until: u64,
}

/// The set that a peer has told.
#[derive(Debug)]
struct Heard {
    view: View,
    since: Instant,
}

/// Evacuated zones, and where they were learned.
#[derive(Debug, Default)]
pub struct Register {
    stored: Option<Stored>,
    heard: Option<Heard>,
    /// Revision of the heard set, if the store seems not to have it.
    doubted: Option<u64>,
    /// Lowest revision of a notice that the store has contradicted.
    contradicted: Option<u64>,
    /// The zones in force at the last call of [`Self::settle`].
    settled: BTreeSet<Zone>,
    /// Zones whose evacuation was reported.
    reported: BTreeSet<Zone>,
    /// Number of sets in force so far; 0 before the first.
    version: u64,
    /// Keys and unknown zones that were reported, with their revisions.
    reported_keys: BTreeMap<Arc<str>, u64>,
    /// Whether the set may be older than a pause of this process.
    is_outdated: bool,
}

impl Register {
    /// Applies an answer of the store. Zones that are known are kept however many others there are.
    pub fn read(&mut self, reading: &Reading, is_known: impl Fn(&Zone) -> bool, now: Instant) {
        let Reading { is_complete, changes, revision, checks, .. } = reading;
        let stored = match &mut self.stored {
            Some(stored) if !is_complete => stored,
            // Changes alone are not the whole set.
            None if !is_complete => return,
            stored => {
                let view = View { revision: *revision, zones: BTreeSet::new() };
                stored.insert(Stored { view, known_until: *revision })
            }
        };
        self.is_outdated = false;
        for change in changes {
            if !change.is_evacuated {
                stored.view.zones.remove(&change.zone);
            } else if stored.view.zones.len() < MAX_UNKNOWN_ZONES || is_known(&change.zone) {
                stored.view.zones.insert(change.zone.clone());
            }
            // A full read is whole only up to the revision of its first page; later pages may be newer.
            if !is_complete {
                stored.view.revision = stored.view.revision.max(change.revision);
            }
        }
        stored.known_until = stored.known_until.max(*revision).max(stored.view.revision);
        let known_until = stored.known_until;
        self.contradicted = self.contradicted.filter(|revision| *revision > known_until);
        self.weigh_heard(known_until, *checks, now);
    }

    /// Drops the heard set if the store has caught up or contradicts it, and doubts it if the store is late.
    fn weigh_heard(&mut self, known_until: u64, checks: Option<u64>, now: Instant) {
        let Some(Heard { view, since }) = &self.heard else {
            return;
        };
        let (revision, is_ahead) = (view.revision, view.revision > known_until);
        let is_contradicted = is_ahead && checks == Some(revision) && self.doubted == checks;
        if is_contradicted {
            self.contradicted = Some(self.contradicted.map_or(revision, |one| one.min(revision)));
        }
        if !is_ahead || is_contradicted {
            self.heard = None;
            self.doubted = None;
        } else if now.duration_since(*since) >= DOUBT_DELAY {
            self.doubted = Some(revision);
        }
    }

    /// Takes over a peer's set if it is newer than what this host knows.
    ///
    /// # Errors
    /// See [`ImplausibleNotice`]. The zones that are known stay in force.
    pub fn hear(&mut self, notice: &Notice, now: Instant) -> Result<(), ImplausibleNotice> {
        let view = View::try_from(notice)?;
        let known_until = self.stored.as_ref().map(|stored| stored.known_until);
        let max = known_until.map_or(MAX_REVISION, |known| known.saturating_add(MAX_LEAD));
        if view.revision > max.min(MAX_REVISION) {
            return Err(ImplausibleNotice::RevisionTooHigh);
        }
        if self.contradicted.is_some_and(|contradicted| view.revision >= contradicted) {
            return Err(ImplausibleNotice::Contradicted);
        }
        self.is_outdated = false;
        let heard_until = self.heard.as_ref().map(|heard| heard.view.revision);
        if Some(view.revision) > known_until.max(heard_until) {
            self.heard = Some(Heard { view, since: now });
            self.doubted = None;
        }
        Ok(())
    }

    /// Revision of the heard set that the store is to be read in full for, to check it.
    #[must_use]
    pub fn doubted(&self) -> Option<u64> {
        self.doubted
    }

    fn view(&self) -> Option<(&View, Source)> {
        let stored = self.stored.as_ref().map(|stored| (&stored.view, Source::Store));
        let heard = self.heard.as_ref().map(|heard| (&heard.view, Source::Peer));
        heard.or(stored)
    }

    /// Evacuated zones. They need not be known otherwise.
    pub fn zones(&self) -> impl Iterator<Item = &Zone> {
        self.view().into_iter().flat_map(|(view, _)| &view.zones)
    }

    /// Whether a zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &Zone) -> bool {
        self.view().is_some_and(|(view, _)| view.zones.contains(zone))
    }

    /// Whether no zone is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.zones().next().is_none()
    }

    /// Whether the store or a peer has told the set since the process started or was paused.
    #[must_use]
    pub fn is_informed(&self) -> bool {
        !self.is_outdated && self.view().is_some()
    }

    /// Records that the process was paused, so that the set may have changed unseen. It stays in force.
    pub fn set_outdated(&mut self) {
        self.is_outdated = true;
    }

    /// What peers are told; none before the set is known.
    #[must_use]
    pub fn notice(&self) -> Option<Notice> {
        let (view, _) = self.view()?;
        let zones = view.zones.iter().map(|zone| Arc::from(&**zone)).collect();
        Some(Notice { revision: view.revision, zones })
    }

    /// Whether a peer that has sent this notice knows at least what this host knows.
    #[must_use]
    pub fn is_known_to_sender(&self, notice: &Notice) -> bool {
        self.view().is_some_and(|(view, _)| {
            let is_same =
                view.zones.iter().map(|zone| &**zone).eq(notice.zones.iter().map(|zone| &**zone));
            is_same && notice.revision >= view.revision
        })
    }

    /// Number of the set in force. It rises with each change of the zones; 0 before the set is known.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Updates the version and returns the changes to report since the last call. The evacuation of a zone is
    /// reported once the zone `is_known`.
    pub fn settle(&mut self, is_known: impl Fn(&Zone) -> bool) -> Vec<Transition> {
        let Some((view, source)) = self.view() else {
            return Vec::new();
        };
        let (revision, zones) = (view.revision, view.zones.clone());
        if self.version == 0 || zones != self.settled {
            self.version += 1;
            self.settled.clone_from(&zones);
        }
        let restored: Vec<Zone> = self.reported.difference(&zones).cloned().collect();
        let new = zones.into_iter().filter(|zone| !self.reported.contains(zone) && is_known(zone));
        let new: Vec<Zone> = new.collect();
        self.reported.retain(|zone| !restored.contains(zone));
        self.reported.extend(new.iter().cloned());
        let change = |is_evacuated| move |zone| Transition { zone, is_evacuated, revision, source };
        let restored = restored.into_iter().map(change(false));
        restored.chain(new.into_iter().map(change(true))).collect()
    }

    /// Evacuated zones that are known, after the last call of [`Self::settle`].
    #[must_use]
    pub fn reported(&self) -> &BTreeSet<Zone> {
        &self.reported
    }

    /// The unreadable entries of a reading that were not reported yet.
    pub fn filter_new(&mut self, unreadable: &[Unreadable]) -> Vec<Unreadable> {
        let is_new = |one: &&Unreadable| self.report(&one.key, one.revision);
        unreadable.iter().filter(is_new).cloned().collect()
    }

    /// Evacuated zones that are not known and were not reported as such yet, with the revision of the set.
    pub fn filter_unknown(&mut self, is_known: impl Fn(&Zone) -> bool) -> Vec<(Zone, u64)> {
        let revision = self.view().map(|(view, _)| view.revision).unwrap_or_default();
        let unknown: Vec<Zone> = self.zones().filter(|zone| !is_known(zone)).cloned().collect();
        let is_new = |zone: &Zone| self.report(zone, 0);
        unknown.into_iter().filter(is_new).map(|zone| (zone, revision)).collect()
    }

    /// Remembers that a key was reported at a revision. Returns whether it was not before.
    fn report(&mut self, key: &str, revision: u64) -> bool {
        if self.reported_keys.get(key).is_some_and(|reported| *reported >= revision) {
            return false;
        }
        if self.reported_keys.len() < MAX_REPORTED || self.reported_keys.contains_key(key) {
            self.reported_keys.insert(key.into(), revision);
            return true;
        }
        false
    }
}

impl TryFrom<&Notice> for View {
    type Error = ImplausibleNotice;

    fn try_from(notice: &Notice) -> Result<Self, ImplausibleNotice> {
        if notice.zones.len() > MAX_NOTICE_ZONES {
            return Err(ImplausibleNotice::TooManyZones);
        }
        let zones: Result<_, _> = notice.zones.iter().map(|zone| Zone::try_from(&**zone)).collect();
        let zones = zones.ok().filter(|_| notice.revision > 0);
        let zones = zones.ok_or(ImplausibleNotice::Malformed)?;
        Ok(Self { revision: notice.revision, zones })
    }
}
