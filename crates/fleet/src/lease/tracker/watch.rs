//! Watches on idle targets: renewals that wait until an attempt ends, so that their connection breaks when the target
//! restarts. Nothing else calls an idle target, and a start would be the first to reach its next incarnation, which
//! may be smaller and accepts any token.

use std::time::{Duration, Instant};

use super::response::Source;
use super::{Change, MAX_RENEWAL_WAIT, Phase, Tracker};
use crate::lease::{Call, Order, Rejection, Response, Token};

/// Time for which a watch waits at the target: the longest that targets accept. It is under `MAX_CLOCK_AGE`, so that
/// a watch takes the place of the call that refreshes the reading of the clock.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Age of a report up to which a watch reaches the incarnation that sent it: no target restarts in less. At a later
/// incarnation the watch would wait like at the earlier one, and show nothing.
const MAX_REPORT_AGE: Duration = Duration::from_millis(100);
/// Time without calls after which an idle target is watched.
const MIN_IDLE_TIME: Duration = super::ACKNOWLEDGE_DELAY;
/// Shortest interval between two watches if the target doesn't wait as long as asked.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Time without watches after the target has rejected one as malformed: it may not wait as long.
const REJECTED_PAUSE: Duration = Duration::from_secs(60);
/// Time after which a watch that has brought no response at all is sent again.
const MAX_PENDING: Duration = Duration::from_secs(6);

/// The watch on one target.
#[derive(Debug, Default)]
pub(super) struct Watch {
    pending: Option<Pending>,
    /// When the last report arrived.
    reported_at: Option<Instant>,
    /// Whether the last report listed ends that can't be acknowledged, with which no renewal waits.
    lists_ends: bool,
    paused_until: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    token: Token,
    sent_at: Instant,
    /// Whether an attempt was started since. Its renewals tell of it, and this report may be older than theirs.
    is_overtaken: bool,
}

impl Watch {
    pub(super) fn record_report(&mut self, lists_ends: bool, now: Instant) {
        self.reported_at = Some(now);
        self.lists_ends = lists_ends;
    }

    pub(super) fn record_start(&mut self) {
        if let Some(pending) = &mut self.pending {
            pending.is_overtaken = true;
        }
    }

    /// Forgets the pending watch, which has another token than the next claim.
    pub(super) fn release(&mut self) {
        self.pending = None;
    }

    fn is_pending(&self, now: Instant) -> bool {
        self.pending.is_some_and(|pending| now.duration_since(pending.sent_at) < MAX_PENDING)
    }

    fn is_report_fresh(&self, now: Instant) -> bool {
        self.reported_at.is_some_and(|at| now.duration_since(at) <= MAX_REPORT_AGE)
    }
}

/// Whether the call is a watch.
pub(super) fn is_watch(call: &Call) -> bool {
    matches!(call.order, Order::Renew { max_wait, .. } if max_wait > MAX_RENEWAL_WAIT)
}

impl Tracker {
    /// Whether a watch is due if the target is idle.
    pub(super) fn wants_watch(&self, now: Instant) -> bool {
        let is_paused = self.watch.paused_until.is_some_and(|until| now < until);
        let is_brief = now.duration_since(self.last_end_at) <= MIN_IDLE_TIME;
        !(is_paused || is_brief || self.watch.lists_ends || self.watch.is_pending(now))
    }

    /// Returns a watch; none if the last report is too old, so that an immediate renewal has to come first.
    pub(super) fn next_watch(&mut self, token: Token, now: Instant) -> Option<Call> {
        if !self.watch.is_report_fresh(now) {
            return None;
        }
        self.watch.pending = Some(Pending { token, sent_at: now, is_overtaken: false });
        let acknowledged = self.ends.last();
        let order = Order::Renew { lease_until_ms: None, acknowledged, max_wait: WATCH_WAIT };
        Some(self.new_call(token, order, WATCH_WAIT + self.timeout.current()))
    }

    pub(super) fn handle_watch(
        &mut self,
        call: &Call,
        response: Response,
        now: Instant,
        changes: &mut Vec<Change>,
    ) {
        let is_current = self.phase == Phase::Held(call.token);
        let pending = self.watch.pending.filter(|one| is_current && one.token == call.token);
        let Some(Pending { sent_at, is_overtaken, .. }) = pending else {
            return;
        };
        self.watch.pending = None;
        match response {
            Response::Report(report) => {
                let has_restarted =
                    report.started_at_ms.is_some_and(|at| at != self.entry.started_at_ms);
                if report.ended.is_empty() {
                    self.watch.paused_until = Some(sent_at + MIN_INTERVAL);
                }
                if has_restarted || !is_overtaken {
                    self.reconcile(&report, Source::WaitingRenewal, now, changes);
                }
            }
            Response::Rejected(Rejection::Fenced) => self.handle_fenced(call.token, changes),
            Response::Rejected(Rejection::Malformed) => {
                self.watch.paused_until = Some(now + REJECTED_PAUSE);
            }
            // The target may have restarted, which an immediate renewal shows. Other renewals show it for a busy one.
            _ if self.is_idle() => self.missed_renewals = self.missed_renewals.max(1),
            _ => {}
        }
    }
}
