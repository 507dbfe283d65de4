//! Teams, kinds of task and targets of a configuration.

use std::net::SocketAddr;

use coltsfootshunt_core::config::{KindDraft, MAX_CONNECTIONS, Resources, TargetDraft, TeamDraft};

/// Slots of a target unless set by [`Target::slots`].
const DEFAULT_SLOTS: u32 = 8;

/// A team of callers with its share of the capacity.
#[derive(Clone, Debug)]
pub struct Team(pub(crate) TeamDraft);

/// A kind of task with its expected duration and needs.
#[derive(Clone, Debug)]
pub struct Kind(pub(crate) KindDraft);

/// A target with its address and resources.
#[derive(Clone, Debug)]
pub struct Target(pub(crate) TargetDraft);

impl Team {
    /// Creates a team with a share of 1.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self(TeamDraft { name: name.to_owned(), share: 1 })
    }

    /// Sets the weight of the team among the teams with waiting work.
    #[must_use]
    pub fn share(mut self, share: u32) -> Self {
        self.0.share = share;
        self
    }
}

impl Kind {
    /// Creates an idempotent kind whose tasks are expected to run for `expected_ms` milliseconds.
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

    /// Marks the kind as non-idempotent: running a task twice would do harm.
    #[must_use]
    pub fn non_idempotent(mut self) -> Self {
        self.0.idempotent = false;
        self
    }

    /// Lets a task run again if its attempt was lost, so it may start twice.
    #[must_use]
    pub fn rerun_lost(mut self) -> Self {
        self.0.rerun_lost = true;
        self
    }

    /// Sets the resources that a target must have to run this kind.
    #[must_use]
    pub fn needs(mut self, needs: Resources) -> Self {
        self.0.needs = needs;
        self
    }
}

impl Target {
    /// Creates a target with eight slots and no declared resources.
    #[must_use]
    pub fn new(name: &str, zone: &str, address: SocketAddr) -> Self {
        Self(TargetDraft {
            name: name.to_owned(),
            zone: zone.to_owned(),
            address,
            slots: DEFAULT_SLOTS,
            connections: MAX_CONNECTIONS,
            has: Resources::default(),
        })
    }

    /// Sets the number of tasks that the target runs at once.
    #[must_use]
    pub fn slots(mut self, slots: u32) -> Self {
        self.0.slots = slots;
        self
    }

    /// Sets the resources of the target.
    #[must_use]
    pub fn has(mut self, has: Resources) -> Self {
        self.0.has = has;
        self
    }
}
