//! When peers said what this host has heard of them, by its own clock.
//!
//! Fault: a message waits on its way, at a slow link, a busy sender or a receiver that stood still. Its sender may
//! be gone when it is handled, and what rests on the sender's word would outlast the repeats of its callers.
//!
//! No clocks are synchronised. Each heartbeat bears a stamp of the sender's clock, and messages return the
//! receiver's last stamp with the time for which it was held. The stamp and that time together are never later than
//! the moment at which the message was issued, however long the message then waits.

use std::time::{Duration, Instant};

use coltsfootshunt_core::name::Host;
use derive_more::{From, Into};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{Identity, Membership};

/// Largest difference between the rates of two hosts' clocks, as a fraction of the elapsed time.
const MAX_CLOCK_DRIFT: f64 = 0.02;
/// Number of high bits that are cut off the hash from which a process counts its stamps.
const STAMP_ORIGIN_SHIFT: u32 = 32;

/// The receiver's last stamp, which the sender of a message returns with it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, From, Into, PartialEq, Serialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Echo {
    /// The stamp, in milliseconds.
    pub stamp_ms: u64,
    /// Time between the handling of the stamp and the issue of the message, in milliseconds of the sender's clock.
    pub held_ms: u64,
}

/// Stamps of this process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Origin {
    at: Instant,
    /// Stamp at that time. Processes of one host differ in it, so that a stamp of another one means nothing here.
    stamp_ms: u64,
}

/// What is known of the words of a peer.
#[derive(Clone, Debug, Default)]
pub(super) struct Words {
    /// Last stamp of the peer, in milliseconds, and when this host handled it.
    stamp: Option<(u64, Instant)>,
    /// Latest time by which the peer is known to have spoken.
    said_at: Option<Instant>,
    /// Whether the peer sends or returns stamps; earlier versions don't.
    are_dated: bool,
}

impl Origin {
    pub(super) fn new(me: &Identity, at: Instant) -> Self {
        let stamp_ms = xxh3_64(&me.incarnation.to_le_bytes()) >> STAMP_ORIGIN_SHIFT;
        Self { at, stamp_ms }
    }

    fn stamp_ms(&self, now: Instant) -> u64 {
        self.stamp_ms.saturating_add(millis(now.duration_since(self.at)))
    }

    /// Returns when a stamp was issued, or none if that is no time.
    fn issued_at(&self, stamp_ms: u64) -> Option<Instant> {
        let since_origin = Duration::from_millis(stamp_ms.checked_sub(self.stamp_ms)?);
        self.at.checked_add(since_origin)
    }
}

impl Words {
    /// Forgets when the peer spoke. Stamps of the peer stay valid.
    pub(super) fn forget(&mut self) {
        self.said_at = None;
    }
}

impl Membership {
    /// Records that this host has handled all events that came before a time. Its words say no more than that:
    /// later ones, such as the departure of a caller, may still wait.
    pub fn set_handled_until(&mut self, at: Instant) {
        self.handled_until = self.handled_until.max(Some(at));
    }

    /// Time of which a word that is issued now tells.
    fn word_time(&self, now: Instant) -> Instant {
        self.handled_until.map_or(now, |until| until.min(now))
    }

    /// Stamp of this process's clock, in milliseconds.
    #[must_use]
    pub fn stamp_ms(&self, now: Instant) -> u64 {
        self.origin.stamp_ms(now)
    }

    /// The echo for a message to a peer that is issued now, if the peer has sent a stamp.
    #[must_use]
    pub fn echo(&self, to: &Host, now: Instant) -> Option<Echo> {
        let (stamp_ms, handled_at) = self.peer(to)?.words.stamp?;
        let held = self.word_time(now).saturating_duration_since(handled_at);
        Some(Echo { stamp_ms, held_ms: millis(held) })
    }

    /// Records the stamp of a peer's heartbeat. Without one, the peer is of an earlier version.
    pub fn record_stamp(&mut self, host: &Host, stamp_ms: Option<u64>, now: Instant) {
        let handled_at = self.word_time(now);
        if let Some((peer, stamp_ms)) = self.peers.get_mut(host).zip(stamp_ms) {
            peer.words.stamp = Some((stamp_ms, handled_at));
            peer.words.are_dated = true;
        }
    }

    /// Records a word of a peer, which the echo dates. An echo of a stamp that was not issued since the start or
    /// the last pause of this process dates nothing.
    pub fn record_word(&mut self, host: &Host, echo: Option<Echo>, now: Instant) {
        let Some(echo) = echo else {
            return;
        };
        let said_at = self.said_at(echo, now);
        if let Some(peer) = self.peers.get_mut(host) {
            peer.words.are_dated = true;
            peer.words.said_at = peer.words.said_at.max(said_at);
        }
    }

    /// Returns a time by which the message with an echo had been issued.
    fn said_at(&self, echo: Echo, now: Instant) -> Option<Instant> {
        let issued_at = self.origin.issued_at(echo.stamp_ms)?;
        if issued_at < self.started || issued_at > now {
            return None;
        }
        let held = Duration::from_millis(echo.held_ms).mul_f64(1.0 - MAX_CLOCK_DRIFT);
        Some(issued_at.checked_add(held).map_or(now, |at| at.min(now)))
    }

    /// Time by which a host is known to have spoken last; none if it was never heard. For this host it is `now`,
    /// or the time up to which it has handled all events. Until the first word that an echo dates, it is the
    /// start or the end of the last pause of this process, which takes no tasks that were sent before. What an
    /// earlier version says counts from its arrival.
    #[must_use]
    pub fn last_word(&self, host: &Host, now: Instant) -> Option<Instant> {
        if *host == self.me().host {
            return Some(self.word_time(now));
        }
        let peer = self.peer(host)?;
        if !peer.words.are_dated {
            return Some(peer.last_heard);
        }
        Some(peer.words.said_at.unwrap_or(self.started))
    }
}

/// Whole milliseconds of a duration, rounded down.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
