//! The parts of a configuration.

use std::net::SocketAddr;

use coltsfootshunt_core::config::{KindDraft, MAX_CONNECTIONS, Resources, TargetDraft, TeamDraft};

/// Slots of a target unless stated.
const SLOTS: u32 = 8;

/// A team of callers.
#[derive(Clone, Debug)]
pub struct Team(pub(crate) TeamDraft);

/// A kind of task.
#[derive(Clone, Debug)]
pub struct Kind(pub(crate) KindDraft);

/// A target.
#[derive(Clone, Debug)]
pub struct Target(pub(crate) TargetDraft);

impl Team {
    /// A team with a share of one.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self(TeamDraft { name: name.to_owned(), share: 1 })
    }

    /// Weight among teams that have work waiting.
    #[must_use]
    pub fn share(mut self, share: u32) -> Self {
        self.0.share = share;
        self
    }
}

impl Kind {
    /// An idempotent kind that is expected to run for `expected_ms` milliseconds.
    #[must_use]
    pub fn new(name: &str, expected_ms: u64) -> Self {
        Self(KindDraft {
            name: name.to_owned(),
            idempotent: true,
            rerun_lost: false,
            expected_ms,
            needs: Resources::default(),
        })
    }

    /// A second run would do harm.
    #[must_use]
    pub fn non_idempotent(mut self) -> Self {
        self.0.idempotent = false;
        self
    }

    /// A task whose attempt was lost is run again, so it may start twice.
    #[must_use]
    pub fn rerun_lost(mut self) -> Self {
        self.0.rerun_lost = true;
        self
    }

    /// What a target must have.
    #[must_use]
    pub fn needs(mut self, needs: Resources) -> Self {
        self.0.needs = needs;
        self
    }
}

impl Target {
    /// A target with eight slots.
    #[must_use]
    pub fn new(name: &str, zone: &str, address: SocketAddr) -> Self {
        Self(TargetDraft {
            name: name.to_owned(),
            zone: zone.to_owned(),
            address,
            slots: SLOTS,
            connections: MAX_CONNECTIONS,
            has: Resources::default(),
        })
    }

    /// Tasks that it runs at once.
    #[must_use]
    pub fn slots(mut self, slots: u32) -> Self {
        self.0.slots = slots;
        self
    }

    /// What it has.
    #[must_use]
    pub fn has(mut self, has: Resources) -> Self {
        self.0.has = has;
        self
    }
}
