//! Expiry of leases: how long one may be granted, and when all attempts under it have stopped.

use std::time::{Duration, Instant};

use super::Tracker;

/// Largest lag of a target's clock as a fraction of the elapsed time, from the platform's
/// documentation.
const MAX_CLOCK_DRIFT: f64 = 0.02;
/// Minimum time between the end of an attempt and the earliest moment at which the caller may resend
/// the job. It covers the clock drift over the longest lease, the time to stop a task and the delay of
/// a message from the owner to the steward.
const RESEND_MARGIN: Duration = Duration::from_millis(150);
/// Silence of an owner up to which its tasks may start under any lease that is granted: the interval
/// of heartbeats, and their delay.
const USUAL_SILENCE: Duration = Duration::from_millis(300);
/// Time that a target may need to stop a task once its lease has expired.
const STOP_MARGIN: Duration = Duration::from_millis(100);

impl Tracker {
    /// Returns the longest time since its owner was heard with which a task may start here. The leases
    /// that were granted before, which can't be shortened, must expire before a caller of that owner
    /// can resend the job. Returns none if no task may start.
    #[must_use]
    pub fn max_silence(&self, now: Instant) -> Option<Duration> {
        let clock_ms = self.min_clock_ms(now)?;
        let granted_ms = self.granted_until_ms.unwrap_or_default().saturating_sub(clock_ms);
        self.lease_before_resend(now, now).checked_sub(Duration::from_millis(granted_ms))
    }

    /// Returns the expiry of a lease granted now, in milliseconds on the target's clock, and records
    /// that it is granted. Returns none if it is not to be extended, if the clock is unknown or if the
    /// lease would be empty.
    pub(super) fn extend_lease(&mut self, extends_lease: bool, now: Instant) -> Option<u64> {
        let lease = self.lease_duration(now);
        if !extends_lease || lease.is_zero() {
            return None;
        }
        let lease_ms = u64::try_from(lease.as_millis()).unwrap_or(u64::MAX);
        let until_ms = self.min_clock_ms(now)?.saturating_add(lease_ms);
        self.granted_until_ms = self.granted_until_ms.max(Some(until_ms));
        self.lease_sent_at = Some(now);
        Some(until_ms)
    }

    /// Returns the earliest time that the target's clock may show now, in milliseconds: it may have
    /// lagged at the maximum rate since its last reading. A lease counted from there never lasts
    /// longer than granted.
    pub(super) fn min_clock_ms(&self, now: Instant) -> Option<u64> {
        let (clock_ms, at) = self.clock?;
        let ahead = now.duration_since(at).mul_f64(1.0 - MAX_CLOCK_DRIFT);
        Some(clock_ms.saturating_add(u64::try_from(ahead.as_millis()).unwrap_or(u64::MAX)))
    }

    /// Returns the duration of a lease granted now. It ends before a caller of any owner with an
    /// attempt here can resend its job. It leaves room for a task of another owner to start under it,
    /// unless that owner has been silent for longer than usual.
    pub(super) fn lease_duration(&self, now: Instant) -> Duration {
        let owners = self.attempts.values().map(|one| one.owner_heard_at);
        let earliest = owners.min().map(|heard_at| self.lease_before_resend(heard_at, now));
        let usual = self.lease_before_resend(now, now).saturating_sub(USUAL_SILENCE);
        earliest.unwrap_or(usual).min(usual).min(self.term.max)
    }

    /// Returns the longest lease from now on that ends before a caller of this owner can resend a
    /// job. The owner may have given the job up right after it was last heard.
    pub(super) fn lease_before_resend(&self, owner_heard_at: Instant, now: Instant) -> Duration {
        let resend_at = owner_heard_at + self.term.resend_after;
        resend_at.saturating_duration_since(now + RESEND_MARGIN)
    }

    /// Returns the longest time from granting a lease until all attempts under it have stopped.
    pub(super) fn max_lease_age(&self) -> Duration {
        self.term.max.div_f64(1.0 - MAX_CLOCK_DRIFT) + STOP_MARGIN
    }

    /// Whether all attempts under the last lease have stopped.
    pub(super) fn is_lease_expired(&self, now: Instant) -> bool {
        self.lease_sent_at.is_none_or(|at| now.duration_since(at) > self.max_lease_age())
    }
}
