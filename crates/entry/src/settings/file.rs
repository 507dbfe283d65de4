//! The settings file.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use coltsfootshunt_core::name::{Host, Zone};
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

/// Settings of one entry process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this host.
    pub host: Host,
    /// Availability zone of this host.
    pub zone: Zone,
    /// Where this process listens.
    pub listen: Addresses,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Peers to ask first, beside those that the platform names.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Where peers reach this process, if that is not the address it listens on.
    #[serde(default)]
    pub advertise_peers: Option<SocketAddr>,
    /// Size of this host against other entry hosts.
    #[serde(default = "one")]
    pub weight: u32,
    /// Threads for traffic; the control state has one of its own.
    #[serde(default = "two")]
    pub traffic_threads: usize,
    /// How much is logged.
    #[serde(default)]
    pub log: Level,
    /// Times of a planned stop.
    #[serde(default)]
    pub drain: Drain,
    /// Bounds on submissions held.
    #[serde(default)]
    pub submissions: Submissions,
    /// Behaviour that can be exchanged for a baseline.
    #[serde(default)]
    pub policy: Policy,
}

/// Where a process listens: IP numbers and ports.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators, the balancer and metrics.
    pub operators: SocketAddr,
    /// For other entries.
    pub peers: SocketAddr,
}

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Drain {
    /// Time in which new work is still taken after readiness went off, in milliseconds.
    pub grace_ms: u64,
    /// Time for the whole stop, in milliseconds.
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

/// Bounds on submissions held.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Submissions {
    /// Submissions without an answer.
    pub open: usize,
    /// Time for which an answer is kept, in seconds.
    pub retention_s: u64,
    /// Bytes of kept answers.
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

/// Behaviour that can be exchanged for a baseline.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Order of waiting jobs.
    pub order: QueueOrder,
    /// Which jobs are let in.
    pub admission: Admission,
    /// Whom to borrow slots from.
    pub sharing: Sharing,
}

/// Order of waiting jobs.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueueOrder {
    /// By the latest start that still meets the deadline.
    #[default]
    Slack,
    /// By arrival.
    Arrival,
}

/// Which jobs are let in.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// Those that are predicted to be in time.
    #[default]
    Predicted,
    /// All that fit the queue.
    Everything,
}

/// Whom to borrow slots from.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Sharing {
    /// From peers with free slots.
    #[default]
    Loans,
    /// From nobody.
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

fn one() -> u32 {
    1
}

fn two() -> usize {
    2
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// See [`Error`].
    pub fn read(path: &Path) -> Result<Self, Error> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|cause| Error::Unreadable { path: shown.clone(), cause })?;
        Self::parse(&shown, &text)
    }

    /// Checks a text; `path` is shown in messages.
    ///
    /// # Errors
    /// [`Error::Syntax`] or [`Error::Field`].
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
            span: find(text, parsed.as_ref(), field),
            detail: detail.to_owned(),
        })?;
        Ok(settings)
    }

    fn check_ranges(&self) -> Result<(), (&'static str, &'static str)> {
        if self.weight == 0 {
            return Err(("weight", "must be at least 1"));
        }
        if self.traffic_threads == 0 {
            return Err(("traffic_threads", "must be at least 1"));
        }
        if self.drain.deadline_ms < self.drain.grace_ms {
            return Err(("drain", "deadline_ms must not be under grace_ms"));
        }
        if self.submissions.open == 0 {
            return Err(("submissions", "open must be at least 1"));
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

/// Place of the deepest value on a path that the text has.
fn locate<'a>(ast: &Value<'_>, path: impl Iterator<Item = &'a Segment>) -> miette::SourceSpan {
    let mut here = ast;
    for segment in path {
        let next = match (here, segment) {
            (Value::Object(object), Segment::Map { key }) => member(object, key),
            (Value::Array(array), Segment::Seq { index }) => array.elements.get(*index),
            _ => None,
        };
        match next {
            Some(next) => here = next,
            None => break,
        }
    }
    span(here.range())
}

fn find(text: &str, ast: Option<&Value<'_>>, field: &str) -> miette::SourceSpan {
    match ast {
        Some(Value::Object(object)) => {
            member(object, field).map_or((0, text.len()).into(), |value| span(value.range()))
        }
        _ => (0, text.len()).into(),
    }
}

fn member<'a, 'b>(object: &'b jsonc_parser::ast::Object<'a>, key: &str) -> Option<&'b Value<'a>> {
    let named = |name: &ObjectPropName<'_>| name.as_str() == key;
    object.properties.iter().find(|property| named(&property.name)).map(|p| &p.value)
}

fn span(range: jsonc_parser::common::Range) -> miette::SourceSpan {
    (range.start, range.end - range.start).into()
}
