//! The operators' configuration: teams, kinds and targets.

use std::collections::BTreeSet;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::name::{self, Kind, Target, Team, Zone};

/// Most connections that a target is asked to serve.
pub const MAX_CONNECTIONS: u32 = 64;
/// Number of past writers that a revision remembers.
pub const MAX_HISTORY: usize = 32;

/// Configuration as it is written and printed.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Draft {
    /// Teams of callers and their shares.
    pub teams: Vec<TeamDraft>,
    /// Kinds of task.
    pub kinds: Vec<KindDraft>,
    /// Targets of all zones.
    pub targets: Vec<TargetDraft>,
}

/// A team as it is written.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamDraft {
    /// Name of the team.
    pub name: String,
    /// Weight of the team among all teams that have work waiting.
    pub share: u32,
}

/// A kind as it is written.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindDraft {
    /// Name of the kind.
    pub name: String,
    /// Whether a second run of a task would do no harm.
    pub idempotent: bool,
    /// Run a task again after its attempt was lost. Idempotent kinds only; off unless set.
    #[serde(default)]
    pub rerun_lost: bool,
    /// Run time that the operator expects, in milliseconds; a first guess until runs are seen.
    pub expected_ms: u64,
    /// What a target must have.
    #[serde(default)]
    pub needs: Resources,
}

/// A target as it is written.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetDraft {
    /// Name of the target.
    pub name: String,
    /// Zone it stands in.
    pub zone: String,
    /// Where it listens: IP number and port.
    pub address: std::net::SocketAddr,
    /// Tasks that it runs at once.
    pub slots: u32,
    /// Connections that it accepts.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// What it has.
    #[serde(default)]
    pub has: Resources,
}

fn default_connections() -> u32 {
    MAX_CONNECTIONS
}

/// Amounts that a task needs or a target has.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields, default)]
pub struct Resources {
    /// Processor cores.
    pub cores: u32,
    /// Memory, in mebibytes.
    pub memory_mib: u64,
    /// Accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Whether `self` is enough for `needs`.
    #[must_use]
    pub fn covers(&self, needs: &Self) -> bool {
        self.cores >= needs.cores
            && self.memory_mib >= needs.memory_mib
            && self.accelerators >= needs.accelerators
    }
}

/// Checked configuration.
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

/// A checked team.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TeamConfig {
    /// Name of the team.
    pub name: Team,
    /// Weight among teams that have work waiting; at least 1.
    pub share: u32,
}

/// A checked kind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KindConfig {
    /// Name of the kind.
    pub name: Kind,
    /// Whether a second run would do no harm.
    pub idempotent: bool,
    /// Whether a lost attempt is followed by another.
    pub rerun_lost: bool,
    /// Expected run time.
    pub expected: Duration,
    /// What a target must have.
    pub needs: Resources,
}

/// A checked target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetConfig {
    /// Name of the target.
    pub name: Target,
    /// Zone it stands in.
    pub zone: Zone,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// Tasks that it runs at once; at least 1 and at most `connections`.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// What it has.
    pub has: Resources,
}

/// Why a draft is not a configuration.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum Error {
    /// A name is malformed.
    #[display("{list}[{index}].name: {cause}")]
    Name {
        /// List that holds the entry.
        list: &'static str,
        /// Place in the list.
        index: usize,
        /// What is wrong with the name.
        #[error(source)]
        cause: name::Error,
    },
    /// A name stands twice in one list.
    #[display("{list}[{index}].name: {name} stands twice")]
    Duplicate {
        /// List that holds the entry.
        list: &'static str,
        /// Place of the second one.
        index: usize,
        /// The name.
        name: String,
    },
    /// A number is outside its range.
    #[display("{list}[{index}].{field} must be {range}")]
    Range {
        /// List that holds the entry.
        list: &'static str,
        /// Place in the list.
        index: usize,
        /// The field.
        field: &'static str,
        /// What is allowed.
        range: &'static str,
    },
    /// A kind that is not idempotent asks for reruns.
    #[display("kinds[{index}].rerun_lost needs an idempotent kind")]
    RerunNotIdempotent {
        /// Place in the list.
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

/// Number of a configuration in force; a higher one replaces a lower one.
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

/// Who wrote a revision.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// The revision.
    pub revision: Revision,
    /// Unique to one call of `accept`.
    pub writer: Uuid,
}

/// The configuration as the platform's service keeps it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// This revision and its writer.
    #[serde(rename = "mark")]
    pub version: Version,
    /// Earlier marks, newest last, at most [`MAX_HISTORY`].
    pub history: Vec<Version>,
    /// The configuration.
    #[serde(rename = "plan")]
    pub config: Config,
}

impl Document {
    /// The document that follows `previous`.
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

    /// The revision that `writer` put in force, now or before.
    #[must_use]
    pub fn written_by(&self, writer: Uuid) -> Option<Revision> {
        self.history
            .iter()
            .chain([&self.version])
            .find(|version| version.writer == writer)
            .map(|version| version.revision)
    }
}
