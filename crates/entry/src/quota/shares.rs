//! Shares of teams and what each holds.

use std::collections::BTreeMap;

use coltsfootshunt_core::config::TeamPlan;
use coltsfootshunt_core::name::Team;

/// Shares and slots held.
#[derive(Debug, Default)]
pub struct Shares {
    teams: BTreeMap<Team, u32>,
    held: BTreeMap<Team, u32>,
}

impl Shares {
    /// Takes the teams of a new configuration.
    pub fn configure(&mut self, teams: &[TeamPlan]) {
        self.teams = teams.iter().map(|team| (team.name.clone(), team.share)).collect();
    }

    /// Whether the configuration names this team.
    #[must_use]
    pub fn knows(&self, team: &Team) -> bool {
        self.teams.contains_key(team)
    }

    /// Weight of a team; one where the configuration has dropped it meanwhile.
    #[must_use]
    pub fn share(&self, team: &Team) -> u32 {
        self.teams.get(team).copied().unwrap_or(1)
    }

    /// A task of this team took a slot.
    pub fn take(&mut self, team: &Team) {
        *self.held.entry(team.clone()).or_default() += 1;
    }

    /// A task of this team left its slot.
    pub fn leave(&mut self, team: &Team) {
        let Some(held) = self.held.get_mut(team) else {
            return;
        };
        *held = held.saturating_sub(1);
        if *held == 0 {
            self.held.remove(team);
        }
    }

    /// Slots that a team holds.
    #[must_use]
    pub fn held(&self, team: &Team) -> u32 {
        self.held.get(team).copied().unwrap_or_default()
    }

    /// Whether a team holds its part of `slots` already, where the teams with work waiting have
    /// shares that add up to `active`.
    #[must_use]
    pub fn is_over(&self, team: &Team, active: u32, slots: u32) -> bool {
        let share = u64::from(self.share(team));
        u64::from(self.held(team)) * u64::from(active) >= share * u64::from(slots)
    }

    /// Teams that hold slots.
    pub fn iter(&self) -> impl Iterator<Item = (&Team, u32)> {
        self.held.iter().map(|(team, held)| (team, *held))
    }
}
