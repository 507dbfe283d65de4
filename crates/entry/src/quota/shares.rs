//! Shares of the teams and the slots that each team's tasks hold.

use std::collections::HashMap;

use coltsfootshunt_core::config::TeamConfig;
use coltsfootshunt_core::name::Team;

/// Share of one team and the slots that its tasks hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Account {
    /// Weight of the team relative to other teams with waiting tasks.
    pub share: u32,
    /// Slots held by the team's tasks.
    pub slots_held: u32,
    /// Whether the configuration contains the team.
    pub is_configured: bool,
}

impl Default for Account {
    /// Account of a team that is not in the configuration. A team that was removed keeps the
    /// smallest share as long as its tasks hold slots.
    fn default() -> Self {
        Self { share: 1, slots_held: 0, is_configured: false }
    }
}

impl Account {
    /// Whether the team holds at least its share of `slots`. `active_shares` is the sum of the
    /// shares of all teams with waiting tasks.
    #[must_use]
    pub fn is_over(&self, active_shares: u32, slots: u32) -> bool {
        u64::from(self.slots_held) * u64::from(active_shares)
            >= u64::from(self.share) * u64::from(slots)
    }
}

/// Accounts of all teams.
#[derive(Debug, Default)]
pub struct Shares {
    accounts: HashMap<Team, Account>,
}

impl Shares {
    /// Applies the teams of a new configuration.
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

    /// The account of a team, or the default account if the team is unknown.
    #[must_use]
    pub fn account(&self, team: &Team) -> Account {
        self.accounts.get(team).copied().unwrap_or_default()
    }

    /// Records that a task of this team started on a slot.
    pub fn acquire(&mut self, team: &Team) {
        match self.accounts.get_mut(team) {
            Some(account) => account.slots_held += 1,
            None => {
                let account = Account { slots_held: 1, ..Account::default() };
                self.accounts.insert(team.clone(), account);
            }
        }
    }

    /// Records that a task of this team freed its slot.
    pub fn release(&mut self, team: &Team) {
        let Some(account) = self.accounts.get_mut(team) else {
            return;
        };
        account.slots_held = account.slots_held.saturating_sub(1);
        if account.slots_held == 0 && !account.is_configured {
            self.accounts.remove(team);
        }
    }

    /// Teams whose tasks hold slots, with the number of slots.
    pub fn iter(&self) -> impl Iterator<Item = (&Team, u32)> {
        let holding = self.accounts.iter().filter(|(_, account)| account.slots_held > 0);
        holding.map(|(team, account)| (team, account.slots_held))
    }
}
