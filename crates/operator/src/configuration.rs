//! A configuration in the making.

use coltsfootshunt_core::config::{Config, Draft, Error};

use super::{Kind, Target, Team};

/// A configuration in the making.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    draft: Draft,
}

impl Configuration {
    /// Nothing yet.
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

    /// Adds a kind.
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

    /// Adds many targets.
    #[must_use]
    pub fn targets(self, targets: impl IntoIterator<Item = Target>) -> Self {
        targets.into_iter().fold(self, Self::target)
    }

    /// The checked configuration.
    ///
    /// # Errors
    /// What is wrong with it, and where.
    pub fn build(self) -> Result<Config, Error> {
        Config::try_from(self.draft)
    }

    /// The checked configuration as text, for `coltsfootshunt accept`.
    ///
    /// # Errors
    /// What is wrong with it, and where.
    pub fn print(self) -> Result<String, Error> {
        let draft = Draft::from(self.build()?);
        Ok(serde_json::to_string_pretty(&draft).expect("a checked configuration serializes"))
    }
}
