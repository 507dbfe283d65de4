//! Builder of a configuration.

use coltsfootshunt_core::config::{Config, Draft, Error};

use super::{Kind, Target, Team};

/// Builds a configuration from teams, kinds of task and targets.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    draft: Draft,
}

impl Configuration {
    /// Creates an empty configuration.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a team.
    #[must_use]
    pub fn team(mut self, team: Team) -> Self {
        self.draft.teams.push(team.0);
        self
    }

    /// Adds a kind of task.
    #[must_use]
    pub fn kind(mut self, kind: Kind) -> Self {
        self.draft.kinds.push(kind.0);
        self
    }

    /// Adds a target.
    #[must_use]
    pub fn target(mut self, target: Target) -> Self {
        self.draft.targets.push(target.0);
        self
    }

    /// Adds several targets.
    #[must_use]
    pub fn targets(self, targets: impl IntoIterator<Item = Target>) -> Self {
        targets.into_iter().fold(self, Self::target)
    }

    /// Validates the configuration.
    ///
    /// # Errors
    /// Returns what is invalid and where.
    pub fn build(self) -> Result<Config, Error> {
        Config::try_from(self.draft)
    }

    /// Validates the configuration and returns it as JSON text for `coltsfootshunt accept`.
    ///
    /// # Errors
    /// Returns what is invalid and where.
    pub fn into_json(self) -> Result<String, Error> {
        let draft = Draft::from(self.build()?);
        Ok(serde_json::to_string_pretty(&draft).expect("a valid configuration serializes"))
    }
}
