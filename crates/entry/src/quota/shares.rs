//! Shares of teams and what each holds.

use std::collections::HashMap;

use coltsfootshunt_core::config::TeamConfig;
use coltsfootshunt_core::name::Team;

/// One team's share and the slots that it holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Account {
    /// Weight among teams that have work waiting.
    pub share: u32,
    /// Slots that its tasks hold.
    pub slots_held: u32,
    /// Whether the configuration names it.
    pub is_configured: bool,
}

impl Default for Account {
    /// A team that the configuration has dropped keeps the least weight while it holds slots.
    fn default() -> Self {
        Self { share: 1, slots_held: 0, is_configured: false }
    }
}

impl Account {
    /// Whether the team holds its part of `slots` already, where the teams with work waiting have
    /// shares that add up to `active`.
    #[must_use]
    pub fn is_over(&self, active: u32, slots: u32) -> bool {
        u64::from(self.slots_held) * u64::from(active) >= u64::from(self.share) * u64::from(slots)
    }
}

/// The accounts of all teams.
#[derive(Debug, Default)]
pub struct Shares {
    accounts: HashMap<Team, Account>,
}

impl Shares {
    /// Takes the teams of a new configuration.
    pub fn configure(&mut self, teams: &[TeamConfig]) {
        for account in self.accounts.values_mut() {
            account.is_configured = false;
            account.share = Account::default().share;
        }
        for team in teams {
            let account = self.accounts.entry(team.name.clone()).or_default();
            account.is_configured = true;
            account.share = team.share;
        }
        self.accounts.retain(|_, account| account.is_configured || account.slots_held > 0);
    }

    /// The account of a team.
    #[must_use]
    pub fn account(&self, team: &Team) -> Account {
        self.accounts.get(team).copied().unwrap_or_default()
    }

    /// A task of this team took a slot.
    pub fn acquire(&mut self, team: &Team) {
        match self.accounts.get_mut(team) {
            Some(account) => account.slots_held += 1,
            None => {
                let account = Account { slots_held: 1, ..Account::default() };
                self.accounts.insert(team.clone(), account);
            }
        }
    }

    /// A task of this team left its slot.
    pub fn release(&mut self, team: &Team) {
        let Some(account) = self.accounts.get_mut(team) else {
            return;
        };
        account.slots_held = account.slots_held.saturating_sub(1);
        if account.slots_held == 0 && !account.is_configured {
            self.accounts.remove(team);
        }
    }

    /// Teams that hold slots.
    pub fn iter(&self) -> impl Iterator<Item = (&Team, u32)> {
        let holding = self.accounts.iter().filter(|(_, account)| account.slots_held > 0);
        holding.map(|(team, account)| (team, account.slots_held))
    }
}
