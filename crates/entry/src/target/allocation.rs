//! The slots of one target that this entry may use, as the target's steward or on loan.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootshunt_core::config::TargetConfig;
use coltsfootshunt_core::submission::Incarnation;

use super::{Health, Status};

/// Weight of the newest run in the moving average of slowness.
const SLOWNESS_WEIGHT: f64 = 0.1;
/// Steps per unit in which slowness is compared. Finer differences are noise.
const SLOWNESS_STEPS: f64 = 4.0;

/// Slots of one target, either own or borrowed from one lender.
#[derive(Debug)]
pub struct Allocation {
    /// Configuration of the target.
    pub config: Arc<TargetConfig>,
    /// The peer that lends the slots; none if this entry is the target's steward.
    pub lender: Option<Incarnation>,
    /// Number of slots: all of the target's if own, those on loan if borrowed.
    pub slots: u32,
    /// Slots that run a task of this entry.
    pub busy: u32,
    /// Own slots that are lent to peers.
    pub lent: u32,
    /// Until when tasks may start on borrowed slots; none if the slots are own.
    pub expires_at: Option<Instant>,
    /// Health of the target.
    pub health: Health,
    /// Whether no new tasks start: the target is leaving, or this entry is no longer its steward.
    pub is_closed: bool,
    /// Whether the allocation is removed as soon as all its slots are unused.
    pub is_retired: bool,
    slowness: f64,
}

impl Allocation {
    /// All slots of a target that this entry is steward of.
    #[must_use]
    pub fn own(config: Arc<TargetConfig>) -> Self {
        let slots = config.slots;
        Self::new(config, None, slots, None)
    }

    /// Slots borrowed from `lender`.
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

    /// Slots that may run tasks, free or in use.
    #[must_use]
    pub fn usable(&self) -> u32 {
        match self.health.status {
            _ if self.is_closed => 0,
            Status::Active { limit } => self.slots.min(limit),
            Status::Ejected { .. } => 0,
        }
    }

    /// Slots on which a task may start now.
    #[must_use]
    pub fn free(&self) -> u32 {
        self.usable().saturating_sub(self.busy + self.lent)
    }

    /// Whether no slot is busy or lent.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.busy == 0 && self.lent == 0
    }

    /// Updates the slowness with a run of `time`, where `mean` is the mean run time of the kind.
    pub fn record_run(&mut self, time: Duration, mean: Duration) {
        let ratio = time.as_secs_f64() / mean.as_secs_f64().max(1e-6);
        self.slowness += (ratio.min(4.0) - self.slowness) * SLOWNESS_WEIGHT;
    }

    /// Run time of tasks here relative to the mean of all targets, as a moving average. Below 1 is
    /// faster than the mean.
    #[must_use]
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Slowness in coarse steps. Lower is faster.
    #[must_use]
    pub fn slowness_step(&self) -> u16 {
        (self.slowness * SLOWNESS_STEPS).round() as u16
    }
}
