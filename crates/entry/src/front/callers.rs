//! HTTP interface for callers: issues identifiers, and submits, queries and cancels jobs.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::{Path, Query, State};
use axum::response::Response;
use axum::routing::{get, post};
use axum::{Extension, Router};
use coltsfootshunt_core::answer::{Answer, Refusal, Uncertainty};
use coltsfootshunt_core::job::{Draft, Job, MAX_BODY_BYTES, MAX_TIMEOUT};
use coltsfootshunt_core::submission::Id;
use coltsfootshunt_server::{BodyError, Connection, Content};
use serde::Deserialize;

use super::status::respond;
use crate::control::{Handle, Route};
use crate::peer::{Forward, Transport};
use crate::submission::{Reply, Request};

/// Time beyond a job's timeout for which a request waits for the answer.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);
/// Time limit for reading a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Limit of the body of a request for identifiers, in bytes.
const MAX_IDENTIFIER_REQUEST_BYTES: usize = 1_024;
/// Timeout of a request that does not wait for a job.
const IMMEDIATE_TIMEOUT: Duration = Duration::from_secs(2);

/// State of the request handlers.
#[derive(Clone)]
struct Context {
    control: Handle,
    transport: Arc<dyn Transport>,
}

/// Query parameters of requests that can wait.
#[derive(Deserialize)]
struct WaitQuery {
    /// Time for which the request waits, in milliseconds.
    wait_ms: Option<u64>,
}

/// Body of a request for identifiers.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct IdentifierRequest {
    /// Number of identifiers to issue.
    count: usize,
}

/// Returns the router for callers.
pub fn caller_routes(control: Handle, transport: Arc<dyn Transport>) -> Router {
    Router::new()
        .route("/v1/identifiers", post(issue_identifiers))
        .route("/v1/submissions/{id}", get(answer).put(submit).delete(cancel))
        .route("/v1/submissions/{id}/course", get(trace))
        .with_state(Context { control, transport })
}

async fn issue_identifiers(
    State(context): State<Context>,
    Extension(connection): Extension<Arc<Connection>>,
    body: Body,
) -> Response {
    let body = read_body(&connection, body, MAX_IDENTIFIER_REQUEST_BYTES).await;
    let request = body.and_then(|body| {
        let request = serde_json::from_slice::<IdentifierRequest>(&body);
        Ok(request.map_err(|error| malformed(&error))?)
    });
    let request = match request {
        Ok(IdentifierRequest { count }) => Request::IssueIdentifiers { count },
        Err(answer) => return respond(Reply::Answer(answer)),
    };
    respond(context.request_locally(request, IMMEDIATE_TIMEOUT).await)
}

async fn submit(
    State(context): State<Context>,
    Extension(connection): Extension<Arc<Connection>>,
    Path(id): Path<String>,
    Query(query): Query<WaitQuery>,
    body: Body,
) -> Response {
    let (id, job) = match read_submission(&connection, &id, body).await {
        Ok(submission) => submission,
        Err(answer) => return respond(Reply::Answer(answer)),
    };
    let timeout = query.timeout(job.timeout + ANSWER_MARGIN);
    respond(context.dispatch(&id.clone(), Request::Submit { id, job }, timeout).await)
}

async fn answer(
    State(context): State<Context>,
    Path(id): Path<String>,
    Query(query): Query<WaitQuery>,
) -> Response {
    let wait = query.wait_ms.is_some_and(|ms| ms > 0);
    let timeout = if wait { query.timeout(IMMEDIATE_TIMEOUT) } else { IMMEDIATE_TIMEOUT };
    context.parse_and_dispatch(&id, timeout, |id| Request::Answer { id, wait }).await
}

async fn cancel(
    State(context): State<Context>,
    Path(id): Path<String>,
    Query(query): Query<WaitQuery>,
) -> Response {
    context.parse_and_dispatch(&id, query.timeout(MAX_TIMEOUT), |id| Request::Cancel { id }).await
}

async fn trace(State(context): State<Context>, Path(id): Path<String>) -> Response {
    context.parse_and_dispatch(&id, IMMEDIATE_TIMEOUT, |id| Request::Trace { id }).await
}

impl WaitQuery {
    /// Returns the requested time, or `default` without one. Limits both to the longest useful
    /// time.
    fn timeout(&self, default: Duration) -> Duration {
        self.wait_ms.map_or(default, Duration::from_millis).min(MAX_TIMEOUT + ANSWER_MARGIN)
    }
}

impl Context {
    /// Parses the identifier from a path, and sends the request for it to the submission's owner.
    async fn parse_and_dispatch(
        &self,
        id: &str,
        timeout: Duration,
        request: impl FnOnce(Id) -> Request,
    ) -> Response {
        match parse_id(id) {
            Ok(id) => respond(self.dispatch(&id.clone(), request(id), timeout).await),
            Err(refusal) => respond(refusal.into()),
        }
    }

    /// Sends a request to the submission's owner, which may be this entry or a peer.
    async fn dispatch(&self, id: &Id, request: Request, timeout: Duration) -> Reply {
        match self.control.snapshot().route(id.owner) {
            Route::Local => self.request_locally(request, timeout).await,
            Route::Peer(address) => self.forward(address, &request, timeout).await,
            Route::Unknown => unknown(Uncertainty::OwnerGone),
        }
    }

    async fn request_locally(&self, request: Request, timeout: Duration) -> Reply {
        match self.control.request_with_timeout(request, timeout).await {
            Ok(reply) => reply,
            Err(_) => unknown(Uncertainty::OwnerGone),
        }
    }

    async fn forward(
        &self,
        address: std::net::SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Reply {
        let Some(forward) = Forward::from_request(request, timeout) else {
            return unknown(Uncertainty::OwnerUnreachable);
        };
        metrics::counter!("coltsfootshunt_messages_total", "kind" => "forward").increment(1);
        match self.transport.forward(address, forward).await {
            Ok(reply) => reply,
            Err(_) => unknown(Uncertainty::OwnerUnreachable),
        }
    }
}

async fn read_submission(
    connection: &Connection,
    id: &str,
    body: Body,
) -> Result<(Id, Job), Answer> {
    let body = read_body(connection, body, MAX_BODY_BYTES).await?;
    let id = parse_id(id)?;
    let draft: Draft = serde_json::from_slice(&body).map_err(|error| malformed(&error))?;
    let job = Job::try_from(draft).map_err(|error| malformed(&error))?;
    Ok((id, job))
}

/// Reads a body of up to `limit` bytes. A body that is not read says nothing about an earlier request with the
/// same identifier.
async fn read_body(connection: &Connection, body: Body, limit: usize) -> Result<Content, Answer> {
    let content = connection.read_body(body, limit, BODY_TIMEOUT).await;
    content.map_err(|error| match error {
        BodyError::TooLarge { limit } => Refusal::BodyTooLarge { limit }.into(),
        BodyError::Full { .. } | BodyError::Timeout | BodyError::Disconnected => {
            Uncertainty::Unread.into()
        }
    })
}

fn parse_id(text: &str) -> Result<Id, Refusal> {
    Id::try_from(text).map_err(|error| malformed(&error))
}

fn malformed(error: &dyn std::fmt::Display) -> Refusal {
    Refusal::Malformed { detail: error.to_string() }
}

fn unknown(cause: Uncertainty) -> Reply {
    Reply::Answer(Answer::from(cause))
}
