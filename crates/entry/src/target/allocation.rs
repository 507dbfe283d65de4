//! The slots of one target that this entry may use, as its steward or on loan.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::config::TargetConfig;
use coltsfootshunt_core::submission::Incarnation;

use super::{Health, Status};

/// Weight of the newest run in the learned pace.
const PACE_GAIN: f64 = 0.1;
/// Steps in which paces are compared, per unit; finer differences are noise.
const PACE_STEPS: f64 = 4.0;

/// Slots of one target.
#[derive(Debug)]
pub struct Allocation {
    /// The target.
    pub config: Arc<TargetConfig>,
    /// Who lends the slots; none where this entry is the steward.
    pub lender: Option<Incarnation>,
    /// Slots: all of the target's, or those on loan.
    pub slots: u32,
    /// Slots with a task of this entry.
    pub busy: u32,
    /// Slots lent to others.
    pub lent: u32,
    /// Until when tasks may start on borrowed slots.
    pub expires_at: Option<Instant>,
    /// Fitness for work.
    pub health: Health,
    /// Whether it gets no new work: the target leaves, or is this entry's no more.
    pub is_closed: bool,
    /// Whether it goes once nothing uses it.
    pub is_retired: bool,
    slowness: f64,
}

impl Allocation {
    /// Slots of a target that this entry is steward of.
    #[must_use]
    pub fn own(config: Arc<TargetConfig>) -> Self {
        let slots = config.slots;
        Self::new(config, None, slots, None)
    }

    /// Slots on loan.
    #[must_use]
    pub fn borrowed(
        config: Arc<TargetConfig>,
        lender: Incarnation,
        slots: u32,
        expires_at: Instant,
    ) -> Self {
        Self::new(config, Some(lender), slots, Some(expires_at))
    }

    fn new(
        config: Arc<TargetConfig>,
        lender: Option<Incarnation>,
        slots: u32,
        expires_at: Option<Instant>,
    ) -> Self {
        let health = Health::new(config.slots);
        Self {
            config,
            lender,
            slots,
            busy: 0,
            lent: 0,
            expires_at,
            health,
            is_closed: false,
            is_retired: false,
            slowness: 1.0,
        }
    }

    /// Slots that may be given work, used or not.
    #[must_use]
    pub fn usable(&self) -> u32 {
        match self.health.status {
            _ if self.is_closed => 0,
            Status::Active { limit } => self.slots.min(limit),
            Status::Ejected { .. } => 0,
        }
    }

    /// Slots that a task may take now.
    #[must_use]
    pub fn free(&self) -> u32 {
        self.usable().saturating_sub(self.busy + self.lent)
    }

    /// Whether nothing uses the seat.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.busy == 0 && self.lent == 0
    }

    /// Takes in how long a run took, against the kind's mean.
    pub fn record_run(&mut self, time: Duration, mean: Duration) {
        let ratio = time.as_secs_f64() / mean.as_secs_f64().max(1e-6);
        self.slowness += (ratio.min(4.0) - self.slowness) * PACE_GAIN;
    }

    /// Learned run time against the mean of all targets.
    #[must_use]
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Pace in coarse steps; lower is faster.
    #[must_use]
    pub fn slowness_step(&self) -> u16 {
        (self.slowness * PACE_STEPS).round() as u16
    }
}
