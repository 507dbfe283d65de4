//! Targets at risk from suspects: tasks under which a target was lost before, and which run alone.
//!
//! Load pattern: jobs whose tasks crash each target that starts them come faster than targets restart. Each second
//! start costs another target, and soon most are down.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::Steward;
use crate::crash::Loss;
use crate::lease::{Attempt, Change, Tracker};

/// Part of a steward's targets that may be at risk at a time; at least one target may.
const RISK_SHARE: usize = 8;
/// Time for which a target that was lost under a suspect counts as at risk: it restarts within some seconds.
const RESTART_TIME: Duration = Duration::from_secs(4);

/// The latest losses of targets under suspects.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    lost_at: VecDeque<Instant>,
}

impl Suspects {
    /// Records the loss of a run, if it was a suspect's, at a steward of so many targets.
    pub(super) fn record(
        &mut self,
        change: &Change,
        loss: Option<&Loss>,
        targets: usize,
        now: Instant,
    ) {
        let is_suspect = matches!(change, Change::Ended { attempt, .. } if attempt.isolated);
        if loss.is_some() && is_suspect {
            self.lost_at.push_back(now);
        }
        while self.lost_at.len() > targets {
            self.lost_at.pop_front();
        }
    }

    fn recent(&self, now: Instant) -> usize {
        self.lost_at.iter().filter(|at| now.duration_since(**at) < RESTART_TIME).count()
    }
}

impl Steward {
    /// Number of suspects that may start now.
    pub(super) fn suspects_allowed(&self, now: Instant) -> usize {
        let attempts = self.trackers.values().flat_map(Tracker::attempts);
        let is_isolated = |(_, attempt): &(_, &Attempt)| attempt.isolated;
        let at_risk = attempts.filter(is_isolated).count() + self.suspects.recent(now);
        (self.trackers.len() / RISK_SHARE).max(1).saturating_sub(at_risk)
    }
}
