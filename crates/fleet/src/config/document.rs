//! The configuration as this system sees it.

use std::sync::Arc;
use std::time::Duration;

use coltsfootshunt_core::name::{Kind, Service};
use serde::{Deserialize, Serialize};

use super::Stretch;

/// Where a kind's jobs come in and how they are run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The kind.
    pub kind: Kind,
    /// Name of the host that callers ask for, in lower case.
    pub authority: Arc<str>,
    /// What the path begins with.
    pub prefix: Arc<str>,
    /// Service whose targets run it.
    pub service: Service,
    /// 0 comes first.
    pub priority: u32,
    /// Failed attempts that a task may have.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Longest time for an answer.
    pub timeout: Duration,
    /// A job is on time within this multiple of its ideal run time,
    pub stretch: Stretch,
    /// plus this.
    pub allowance: Duration,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest header section, in bytes.
    #[serde(rename = "header_bytes")]
    pub max_header_bytes: usize,
    /// Largest body, in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: usize,
    /// Time for a whole request to come in.
    #[serde(rename = "read_within")]
    pub read_timeout: Duration,
    /// Time for which an idle connection is kept.
    #[serde(rename = "idle_within")]
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Rises with each change.
    pub version: u64,
    /// Routes of all kinds.
    pub routes: Vec<Route>,
    /// Bounds on what callers send.
    pub limits: Limits,
}

impl Document {
    /// The route of a request: the longest prefix of its path for this authority.
    #[must_use]
    pub fn match_route(&self, authority: &str, path: &str) -> Option<&Route> {
        let here = |route: &&Route| {
            route.authority.eq_ignore_ascii_case(authority) && path.starts_with(&*route.prefix)
        };
        self.routes.iter().filter(here).max_by_key(|route| route.prefix.len())
    }

    /// The route of a kind.
    #[must_use]
    pub fn route_of(&self, kind: &Kind) -> Option<&Route> {
        self.routes.iter().find(|route| route.kind == *kind)
    }
}
