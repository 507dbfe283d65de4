//! The operators' configuration: routes and limits.

use std::sync::Arc;
use std::time::Duration;

use coltsfootshunt_core::name::{Kind, Service};
use serde::{Deserialize, Serialize};

use super::Stretch;

/// Maps requests to a kind of job and defines how its jobs are run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Kind of the jobs.
    pub kind: Kind,
    /// Host name in the request's authority, in lower case.
    pub authority: Arc<str>,
    /// Prefix of the request's path.
    pub prefix: Arc<str>,
    /// Service whose targets run the jobs.
    pub service: Service,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed attempts after which a task counts as failed.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Longest time until the response to the caller.
    pub timeout: Duration,
    /// A job is on time within this multiple of its ideal run time plus `allowance`.
    pub stretch: Stretch,
    /// Time added to the stretched ideal run time.
    pub allowance: Duration,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest header section of a request, in bytes.
    #[serde(rename = "header_bytes")]
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: usize,
    /// Time within which a whole request must arrive.
    #[serde(rename = "read_within")]
    pub read_timeout: Duration,
    /// Time after which an idle connection is closed.
    #[serde(rename = "idle_within")]
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Version; increases with each change.
    pub version: u64,
    /// Routes of all kinds.
    pub routes: Vec<Route>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
}

impl Document {
    /// Returns the route of a request: the one of its authority with the longest matching path prefix.
    #[must_use]
    pub fn match_route(&self, authority: &str, path: &str) -> Option<&Route> {
        let matches = |route: &&Route| {
            route.authority.eq_ignore_ascii_case(authority) && path.starts_with(&*route.prefix)
        };
        self.routes.iter().filter(matches).max_by_key(|route| route.prefix.len())
    }

    /// Returns the route of a kind of job.
    #[must_use]
    pub fn route_of(&self, kind: &Kind) -> Option<&Route> {
        self.routes.iter().find(|route| route.kind == *kind)
    }
}
