//! The operators' configuration: teams, kinds and targets, as drafts and as validated types.

use std::collections::BTreeSet;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::name::{self, Kind, Target, Team, Zone};

/// Maximum number of connections to one target.
pub const MAX_CONNECTIONS: u32 = 64;
/// Maximum number of earlier versions listed in a [`Document`].
pub const MAX_HISTORY: usize = 32;

/// A configuration before validation, as written by operators and printed for them.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Draft {
    /// Teams of callers.
    pub teams: Vec<TeamDraft>,
    /// Kinds of task.
    pub kinds: Vec<KindDraft>,
    /// Targets of all zones.
    pub targets: Vec<TargetDraft>,
}

/// A team before validation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamDraft {
    /// Name of the team.
    pub name: String,
    /// Weight of the team among all teams that have queued work; at least 1.
    pub share: u32,
}

/// A kind of task before validation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindDraft {
    /// Name of the kind.
    pub name: String,
    /// Whether running a task more than once is harmless.
    pub idempotent: bool,
    /// Whether to rerun a task whose attempt was lost. Requires `idempotent`; defaults to false.
    #[serde(default)]
    pub rerun_lost: bool,
    /// Initial estimate of the run time, in milliseconds; at least 1. Observed run times replace it.
    pub expected_ms: u64,
    /// Resources that a target must have to run this kind.
    #[serde(default)]
    pub needs: Resources,
}

/// A target before validation.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetDraft {
    /// Name of the target.
    pub name: String,
    /// Availability zone of the target.
    pub zone: String,
    /// IP address and port on which the target listens.
    pub address: std::net::SocketAddr,
    /// Maximum number of concurrent tasks; at least 1 and at most `connections`.
    pub slots: u32,
    /// Maximum number of connections that it accepts; at least 1 and at most [`MAX_CONNECTIONS`], which
    /// is the default.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Resources of the target.
    #[serde(default)]
    pub has: Resources,
}

fn default_connections() -> u32 {
    MAX_CONNECTIONS
}

/// Amounts of resources that a task needs or a target has.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields, default)]
pub struct Resources {
    /// Processor cores.
    pub cores: u32,
    /// Memory, in mebibytes.
    pub memory_mib: u64,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Whether each amount is at least that in `needs`.
    #[must_use]
    pub fn covers(&self, needs: &Self) -> bool {
        self.cores >= needs.cores
            && self.memory_mib >= needs.memory_mib
            && self.accelerators >= needs.accelerators
    }
}

/// Configuration of the whole system, with names that are unique within each list.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "Draft", into = "Draft")]
pub struct Config {
    /// Teams of callers.
    pub teams: Vec<TeamConfig>,
    /// Kinds of task.
    pub kinds: Vec<KindConfig>,
    /// Targets of all zones.
    pub targets: Vec<TargetConfig>,
}

/// Validated settings of one team of callers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TeamConfig {
    /// Name of the team.
    pub name: Team,
    /// Weight of the team among all teams that have queued work; at least 1.
    pub share: u32,
}

/// Validated settings of one kind of task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KindConfig {
    /// Name of the kind.
    pub name: Kind,
    /// Whether running a task more than once is harmless.
    pub idempotent: bool,
    /// Whether to rerun a task whose attempt was lost; only if `idempotent`.
    pub rerun_lost: bool,
    /// Initial estimate of the run time, until runs have been observed.
    pub expected: Duration,
    /// Resources that a target must have to run this kind.
    pub needs: Resources,
}

/// Validated settings of one target, on which tasks run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetConfig {
    /// Name of the target.
    pub name: Target,
    /// Availability zone of the target.
    pub zone: Zone,
    /// IP address and port on which the target listens.
    pub address: std::net::SocketAddr,
    /// Maximum number of concurrent tasks; at least 1 and at most `connections`.
    pub slots: u32,
    /// Maximum number of connections that it accepts; at least 1 and at most [`MAX_CONNECTIONS`].
    pub connections: u32,
    /// Resources of the target.
    pub has: Resources,
}

/// Why a draft is not a valid configuration, and which of its fields is invalid.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum Error {
    /// A name is malformed.
    #[display("{list}[{index}].name: {cause}")]
    Name {
        /// List that contains the entry: `teams`, `kinds` or `targets`.
        list: &'static str,
        /// Index of the entry in its list.
        index: usize,
        /// What is wrong with the name.
        #[error(source)]
        cause: name::Error,
    },
    /// Two entries of one list have the same name.
    #[display("{list}[{index}].name: {name} appears twice")]
    Duplicate {
        /// List that contains the entry: `teams`, `kinds` or `targets`.
        list: &'static str,
        /// Index of the second of these entries.
        index: usize,
        /// Name that appears twice, as written in the draft.
        name: String,
    },
    /// A number is outside its range.
    #[display("{list}[{index}].{field} must be {range}")]
    Range {
        /// List that contains the entry: `teams`, `kinds` or `targets`.
        list: &'static str,
        /// Index of the entry in its list.
        index: usize,
        /// Name of the field.
        field: &'static str,
        /// Description of the allowed range.
        range: &'static str,
    },
    /// `rerun_lost` is set for a kind that is not idempotent.
    #[display("kinds[{index}].rerun_lost needs an idempotent kind")]
    RerunNotIdempotent {
        /// Index of the entry in its list.
        index: usize,
    },
}

impl TryFrom<Draft> for Config {
    type Error = Error;

    fn try_from(draft: Draft) -> Result<Self, Error> {
        let teams = check_list("teams", draft.teams, |t| t.name.clone(), check_team)?;
        let kinds = check_list("kinds", draft.kinds, |k| k.name.clone(), check_kind)?;
        let targets = check_list("targets", draft.targets, |t| t.name.clone(), check_target)?;
        Ok(Self { teams, kinds, targets })
    }
}

/// Validates the entries of one list and rejects duplicate names.
fn check_list<D, C>(
    list: &'static str,
    drafts: Vec<D>,
    name: impl Fn(&D) -> String,
    check: impl Fn(usize, D) -> Result<C, Error>,
) -> Result<Vec<C>, Error> {
    let mut seen = BTreeSet::new();
    let mut configs = Vec::with_capacity(drafts.len());
    for (index, draft) in drafts.into_iter().enumerate() {
        let name = name(&draft);
        if !seen.insert(name.clone()) {
            return Err(Error::Duplicate { list, index, name });
        }
        configs.push(check(index, draft)?);
    }
    Ok(configs)
}

fn check_team(index: usize, draft: TeamDraft) -> Result<TeamConfig, Error> {
    let list = "teams";
    let name = Team::try_from(draft.name).map_err(|cause| Error::Name { list, index, cause })?;
    if draft.share == 0 {
        return Err(Error::Range { list, index, field: "share", range: "at least 1" });
    }
    Ok(TeamConfig { name, share: draft.share })
}

fn check_kind(index: usize, draft: KindDraft) -> Result<KindConfig, Error> {
    let list = "kinds";
    let name = Kind::try_from(draft.name).map_err(|cause| Error::Name { list, index, cause })?;
    if draft.expected_ms == 0 {
        return Err(Error::Range { list, index, field: "expected_ms", range: "at least 1" });
    }
    if draft.rerun_lost && !draft.idempotent {
        return Err(Error::RerunNotIdempotent { index });
    }
    Ok(KindConfig {
        name,
        idempotent: draft.idempotent,
        rerun_lost: draft.rerun_lost,
        expected: Duration::from_millis(draft.expected_ms),
        needs: draft.needs,
    })
}

fn check_target(index: usize, draft: TargetDraft) -> Result<TargetConfig, Error> {
    let list = "targets";
    let name = Target::try_from(draft.name).map_err(|cause| Error::Name { list, index, cause })?;
    let zone = Zone::try_from(draft.zone).map_err(|cause| Error::Name { list, index, cause })?;
    if !(1..=MAX_CONNECTIONS).contains(&draft.connections) {
        return Err(Error::Range { list, index, field: "connections", range: "from 1 to 64" });
    }
    if !(1..=draft.connections).contains(&draft.slots) {
        return Err(Error::Range { list, index, field: "slots", range: "from 1 to connections" });
    }
    Ok(TargetConfig {
        name,
        zone,
        address: draft.address,
        slots: draft.slots,
        connections: draft.connections,
        has: draft.has,
    })
}

impl From<Config> for Draft {
    fn from(config: Config) -> Self {
        Self {
            teams: config.teams.into_iter().map(TeamDraft::from).collect(),
            kinds: config.kinds.into_iter().map(KindDraft::from).collect(),
            targets: config.targets.into_iter().map(TargetDraft::from).collect(),
        }
    }
}

impl From<TeamConfig> for TeamDraft {
    fn from(team: TeamConfig) -> Self {
        Self { name: team.name.into(), share: team.share }
    }
}

impl From<KindConfig> for KindDraft {
    fn from(kind: KindConfig) -> Self {
        Self {
            name: kind.name.into(),
            idempotent: kind.idempotent,
            rerun_lost: kind.rerun_lost,
            expected_ms: u64::try_from(kind.expected.as_millis()).unwrap_or(u64::MAX),
            needs: kind.needs,
        }
    }
}

impl From<TargetConfig> for TargetDraft {
    fn from(target: TargetConfig) -> Self {
        Self {
            name: target.name.into(),
            zone: target.zone.into(),
            address: target.address,
            slots: target.slots,
            connections: target.connections,
            has: target.has,
        }
    }
}

/// Revision number of a configuration, from 1. A higher one replaces a lower one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
pub struct Revision(pub u64);

/// A revision and the write that created it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// Number of the revision.
    pub revision: Revision,
    /// Random identifier of one call of `accept`, by which a retried call finds out whether it succeeded.
    pub writer: Uuid,
}

/// The configuration as stored by the platform's service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Version of this document.
    #[serde(rename = "mark")]
    pub version: Version,
    /// Up to [`MAX_HISTORY`] earlier versions, the newest last.
    pub history: Vec<Version>,
    /// Teams, kinds and targets in force from this version on.
    #[serde(rename = "plan")]
    pub config: Config,
}

impl Document {
    /// Creates the document that follows `previous`, or the first one.
    #[must_use]
    pub fn after(previous: Option<&Self>, writer: Uuid, config: Config) -> Self {
        let mut history = previous.map(|p| p.history.clone()).unwrap_or_default();
        let mut revision = Revision(1);
        if let Some(previous) = previous {
            history.push(previous.version.clone());
            revision = Revision(previous.version.revision.0 + 1);
        }
        let surplus = history.len().saturating_sub(MAX_HISTORY);
        history.drain(..surplus);
        Self { version: Version { revision, writer }, history, config }
    }

    /// Revision that `writer` created, if it is this one or still in the history.
    #[must_use]
    pub fn written_by(&self, writer: Uuid) -> Option<Revision> {
        self.history
            .iter()
            .chain([&self.version])
            .find(|version| version.writer == writer)
            .map(|version| version.revision)
    }
}
