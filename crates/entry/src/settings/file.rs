//! Format and validation of the settings file.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use coltsfootshunt_core::job::MAX_BODY_BYTES;
use coltsfootshunt_core::name::{Host, Zone};
use coltsfootshunt_server as server;
use jsonc_parser::ast::{ObjectPropName, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions};
use miette::NamedSource;
use serde::Deserialize;
use serde_path_to_error::Segment;

use super::Error;
use crate::control;
use crate::dispatch::{Arrival, Everything, Limit, Predicted, Slack};
use crate::drain;
use crate::loan::{Disabled, MostIdle};
use crate::log::Level;
use crate::submission::Limits;

/// Settings of an entry process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this host.
    pub host: Host,
    /// Availability zone of this host.
    pub zone: Zone,
    /// Addresses of the listeners.
    pub listen: Addresses,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Addresses of peers to contact first, in addition to those registered with the platform.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Address at which peers reach this process, if it differs from the listener's.
    #[serde(default)]
    pub advertise_peers: Option<SocketAddr>,
    /// Size of this host relative to other entry hosts, at least 1. Each host becomes steward of
    /// targets in proportion to it.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Number of threads for traffic, at least 1. The control state has another thread of its own.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// Minimum severity of log lines.
    #[serde(default)]
    pub log: Level,
    /// Time limits of a planned stop.
    #[serde(default)]
    pub drain: Drain,
    /// Limits on the submissions that the entry keeps.
    #[serde(default)]
    pub submissions: Submissions,
    /// Limits on what callers can make the entry hold before their submissions are accepted.
    #[serde(default)]
    pub clients: Clients,
    /// Policies that can be switched to a simple baseline, for comparison.
    #[serde(default)]
    pub policy: Policy,
}

/// Addresses of an entry's listeners, each an IP address and a port.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Addresses {
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators, readiness checks of load balancers, and metrics.
    pub operators: SocketAddr,
    /// Listener for other entries.
    pub peers: SocketAddr,
}

/// Time limits of a planned stop.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Drain {
    /// Time for which the entry still accepts work after it reports that it is not ready, in
    /// milliseconds.
    pub grace_ms: u64,
    /// Time limit of the whole stop, in milliseconds; at least `grace_ms`.
    pub deadline_ms: u64,
}

impl Default for Drain {
    fn default() -> Self {
        let limits = drain::Limits::default();
        Self {
            grace_ms: limits.grace.as_millis() as u64,
            deadline_ms: limits.timeout.as_millis() as u64,
        }
    }
}

impl From<Drain> for drain::Limits {
    fn from(drain: Drain) -> Self {
        Self {
            grace: Duration::from_millis(drain.grace_ms),
            timeout: Duration::from_millis(drain.deadline_ms),
        }
    }
}

/// Limits on the submissions that the entry keeps.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Submissions {
    /// Maximum number of submissions without an answer, at least 1.
    pub open: usize,
    /// Time for which an answer is kept, in seconds.
    pub retention_s: u64,
    /// Maximum size of all kept answers, in bytes.
    pub retained_bytes: usize,
}

impl Default for Submissions {
    fn default() -> Self {
        let limits = Limits::default();
        Self {
            open: limits.max_open,
            retention_s: limits.retention.as_secs(),
            retained_bytes: limits.max_retained_bytes,
        }
    }
}

impl From<Submissions> for Limits {
    fn from(submissions: Submissions) -> Self {
        Self {
            max_open: submissions.open,
            retention: Duration::from_secs(submissions.retention_s),
            max_retained_bytes: submissions.retained_bytes,
            ..Self::default()
        }
    }
}

/// Limits on what callers can make the entry hold before their submissions are accepted.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Maximum number of connections of callers, at least 1.
    pub connections: usize,
    /// Maximum size of all bodies that are being read, in bytes; at least the largest body.
    pub body_bytes: usize,
}

impl Default for Clients {
    fn default() -> Self {
        let server::Limits { connections, body_bytes } = server::Limits::default();
        Self { connections, body_bytes }
    }
}

impl From<Clients> for server::Limits {
    fn from(Clients { connections, body_bytes }: Clients) -> Self {
        Self { connections, body_bytes }
    }
}

/// Policies that can be switched to a simple baseline, for comparison.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Order in which queued jobs start.
    pub order: QueueOrder,
    /// Which jobs are admitted.
    pub admission: Admission,
    /// Whether to borrow slots from peers.
    pub sharing: Sharing,
}

/// Order in which queued jobs start.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueueOrder {
    /// By the latest start at which a job still meets its deadline.
    #[default]
    Slack,
    /// By time of arrival.
    Arrival,
}

/// Which jobs are admitted.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// Jobs that are predicted to meet their deadline.
    #[default]
    Predicted,
    /// All jobs that fit into the queue.
    Everything,
}

/// Whether to borrow slots from peers.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Sharing {
    /// Borrow from the peers with the most idle slots.
    #[default]
    Loans,
    /// Never borrow.
    None,
}

impl From<Policy> for control::Policy {
    fn from(policy: Policy) -> Self {
        let limit = Limit::default();
        Self {
            order: match policy.order {
                QueueOrder::Slack => Box::new(Slack),
                QueueOrder::Arrival => Box::new(Arrival),
            },
            admission: match policy.admission {
                Admission::Predicted => Box::new(Predicted { limit }),
                Admission::Everything => Box::new(Everything { limit }),
            },
            sharing: match policy.sharing {
                Sharing::Loans => Box::new(MostIdle),
                Sharing::None => Box::new(Disabled),
            },
        }
    }
}

fn default_weight() -> u32 {
    1
}

fn default_traffic_threads() -> usize {
    2
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// See [`Error`].
    pub fn read(path: &Path) -> Result<Self, Error> {
        let path_text = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|cause| Error::Unreadable { path: path_text.clone(), cause })?;
        Self::parse(&path_text, &text)
    }

    /// Parses and validates the text of a settings file. Error messages show `path`.
    ///
    /// # Errors
    /// Returns [`Error::Syntax`] or [`Error::Field`].
    pub fn parse(path: &str, text: &str) -> Result<Self, Error> {
        let source = || NamedSource::new(path, text.to_owned());
        let parsed = parse_ast(text).map_err(|error| Error::Syntax {
            source_code: source(),
            detail: error.kind().to_string(),
            span: span(error.range()),
        })?;
        let json = parsed.as_ref().map(to_json).unwrap_or_default();
        let checked = serde_path_to_error::deserialize(&json);
        let settings: Self = checked.map_err(|error| Error::Field {
            source_code: source(),
            field: error.path().to_string(),
            span: parsed.as_ref().map_or((0, 0).into(), |ast| locate(ast, error.path().iter())),
            detail: error.inner().to_string(),
        })?;
        settings.check_ranges().map_err(|(field, detail)| Error::Field {
            source_code: source(),
            field: field.to_owned(),
            span: locate_field(text, parsed.as_ref(), field),
            detail: detail.to_owned(),
        })?;
        Ok(settings)
    }

    /// Checks conditions that the types don't express. An error has the field and the condition.
    fn check_ranges(&self) -> Result<(), (&'static str, &'static str)> {
        if self.weight == 0 {
            return Err(("weight", "must be at least 1"));
        }
        if self.traffic_threads == 0 {
            return Err(("traffic_threads", "must be at least 1"));
        }
        if self.drain.deadline_ms < self.drain.grace_ms {
            return Err(("drain", "deadline_ms must be at least grace_ms"));
        }
        if self.submissions.open == 0 {
            return Err(("submissions", "open must be at least 1"));
        }
        if self.clients.connections == 0 {
            return Err(("clients", "connections must be at least 1"));
        }
        if self.clients.body_bytes < MAX_BODY_BYTES {
            return Err(("clients", "body_bytes must hold one body of the largest size"));
        }
        Ok(())
    }
}

fn parse_ast(text: &str) -> Result<Option<Value<'_>>, jsonc_parser::errors::ParseError> {
    let parsed =
        jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default())?;
    Ok(parsed.value)
}

fn to_json(ast: &Value<'_>) -> serde_json::Value {
    match ast {
        Value::NullKeyword(_) => serde_json::Value::Null,
        Value::BooleanLit(literal) => literal.value.into(),
        Value::StringLit(literal) => literal.value.as_ref().into(),
        Value::NumberLit(literal) => literal.value.parse().unwrap_or_default(),
        Value::Array(array) => array.elements.iter().map(to_json).collect(),
        Value::Object(object) => {
            let members = object.properties.iter();
            members.map(|p| (p.name.as_str().to_owned(), to_json(&p.value))).collect()
        }
    }
}

/// Returns the span of the deepest value on `path` that the text contains.
fn locate<'a>(ast: &Value<'_>, path: impl Iterator<Item = &'a Segment>) -> miette::SourceSpan {
    let mut value = ast;
    for segment in path {
        let next = match (value, segment) {
            (Value::Object(object), Segment::Map { key }) => member(object, key),
            (Value::Array(array), Segment::Seq { index }) => array.elements.get(*index),
            _ => None,
        };
        match next {
            Some(next) => value = next,
            None => break,
        }
    }
    span(value.range())
}

fn locate_field(text: &str, ast: Option<&Value<'_>>, field: &str) -> miette::SourceSpan {
    match ast {
        Some(Value::Object(object)) => {
            member(object, field).map_or((0, text.len()).into(), |value| span(value.range()))
        }
        _ => (0, text.len()).into(),
    }
}

fn member<'a, 'b>(object: &'b jsonc_parser::ast::Object<'a>, key: &str) -> Option<&'b Value<'a>> {
    let has_key = |name: &ObjectPropName<'_>| name.as_str() == key;
    object.properties.iter().find(|property| has_key(&property.name)).map(|p| &p.value)
}

fn span(range: jsonc_parser::common::Range) -> miette::SourceSpan {
    (range.start, range.end - range.start).into()
}
