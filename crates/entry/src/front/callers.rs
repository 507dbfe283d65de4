//! The callers' HTTP interface.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::{Path, Query, State};
use axum::response::Response;
use axum::routing::{get, post};
use axum::{Json, Router};
use coltsfootshunt_core::answer::{Answer, Refusal, Uncertainty};
use coltsfootshunt_core::job::{Draft, Job, MAX_BODY_BYTES, MAX_TIMEOUT};
use coltsfootshunt_core::submission::Id;
use futures_util::StreamExt;
use serde::Deserialize;

use super::status::respond;
use crate::control::{Handle, Route};
use crate::peer::{Forward, Transport};
use crate::submission::{Reply, Request};

/// Time beyond a job's own that an answer is waited for.
const MARGIN: Duration = Duration::from_secs(2);
/// Bytes of an oversized body after which the connection is dropped.
const MAX_DISCARDED_BYTES: usize = 64 << 20;
/// Time for requests that have their answer at once.
const AT_ONCE: Duration = Duration::from_secs(2);

#[derive(Clone)]
struct Front {
    control: Handle,
    link: Arc<dyn Transport>,
}

#[derive(Deserialize)]
struct Wait {
    wait_ms: Option<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Mint {
    count: usize,
}

/// The routes for callers.
pub fn caller_routes(control: Handle, link: Arc<dyn Transport>) -> Router {
    Router::new()
        .route("/v1/identifiers", post(mint))
        .route("/v1/submissions/{id}", get(answer).put(submit).delete(cancel))
        .route("/v1/submissions/{id}/course", get(course))
        .with_state(Front { control, link })
}

async fn mint(State(front): State<Front>, Json(mint): Json<Mint>) -> Response {
    let request = Request::IssueIdentifiers { count: mint.count };
    respond(front.here(request, AT_ONCE).await)
}

async fn submit(
    State(front): State<Front>,
    Path(id): Path<String>,
    Query(wait): Query<Wait>,
    body: Body,
) -> Response {
    let (id, job) = match read(&id, body).await {
        Ok(read) => read,
        Err(refusal) => return respond(refusal.into()),
    };
    let within = wait.within(job.timeout + MARGIN);
    respond(front.ask(&id.clone(), Request::Submit { id, job }, within).await)
}

async fn answer(
    State(front): State<Front>,
    Path(id): Path<String>,
    Query(wait): Query<Wait>,
) -> Response {
    let waits = wait.wait_ms.is_some_and(|ms| ms > 0);
    let within = if waits { wait.within(AT_ONCE) } else { AT_ONCE };
    front.ask_about(&id, within, |id| Request::Answer { id, wait: waits }).await
}

async fn cancel(
    State(front): State<Front>,
    Path(id): Path<String>,
    Query(wait): Query<Wait>,
) -> Response {
    front.ask_about(&id, wait.within(MAX_TIMEOUT), |id| Request::Cancel { id }).await
}

async fn course(State(front): State<Front>, Path(id): Path<String>) -> Response {
    front.ask_about(&id, AT_ONCE, |id| Request::Trace { id }).await
}

impl Wait {
    fn within(&self, otherwise: Duration) -> Duration {
        self.wait_ms.map_or(otherwise, Duration::from_millis).min(MAX_TIMEOUT + MARGIN)
    }
}

impl Front {
    /// Asks about the submission that a path names.
    async fn ask_about(
        &self,
        id: &str,
        within: Duration,
        request: impl FnOnce(Id) -> Request,
    ) -> Response {
        match read_id(id) {
            Ok(id) => respond(self.ask(&id.clone(), request(id), within).await),
            Err(refusal) => respond(refusal.into()),
        }
    }

    /// Asks the submission's owner, here or elsewhere.
    async fn ask(&self, id: &Id, request: Request, within: Duration) -> Reply {
        match self.control.snapshot().route(id.owner) {
            Route::Local => self.here(request, within).await,
            Route::Peer(to) => self.there(to, &request, within).await,
            Route::Unknown => unknown(Uncertainty::OwnerGone),
        }
    }

    async fn here(&self, request: Request, within: Duration) -> Reply {
        match self.control.request_with_timeout(request, within).await {
            Ok(reply) => reply,
            Err(_) => unknown(Uncertainty::OwnerGone),
        }
    }

    async fn there(&self, to: std::net::SocketAddr, request: &Request, within: Duration) -> Reply {
        let Some(forward) = Forward::from_request(request, within) else {
            return unknown(Uncertainty::OwnerUnreachable);
        };
        metrics::counter!("coltsfootshunt_messages_total", "kind" => "forward").increment(1);
        match self.link.forward(to, forward).await {
            Ok(reply) => reply,
            Err(_) => unknown(Uncertainty::OwnerUnreachable),
        }
    }
}

async fn read(id: &str, body: Body) -> Result<(Id, Job), Refusal> {
    let body = read_body(body).await?;
    let id = read_id(id)?;
    let draft: Draft = serde_json::from_slice(&body).map_err(|error| malformed(&error))?;
    let job = Job::try_from(draft).map_err(|error| malformed(&error))?;
    Ok((id, job))
}

/// Reads a body up to the limit. The rest of a larger one is thrown away as it comes, since a caller
/// that is still sending would lose the refusal.
async fn read_body(body: Body) -> Result<Vec<u8>, Refusal> {
    let mut chunks = body.into_data_stream();
    let mut kept = Vec::new();
    let mut seen = 0;
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|error| malformed(&error))?;
        seen += chunk.len();
        if seen > MAX_DISCARDED_BYTES {
            break;
        }
        if seen <= MAX_BODY_BYTES {
            kept.extend_from_slice(&chunk);
        }
    }
    if seen > MAX_BODY_BYTES {
        return Err(Refusal::BodyTooLarge { limit: MAX_BODY_BYTES });
    }
    Ok(kept)
}

fn read_id(text: &str) -> Result<Id, Refusal> {
    Id::try_from(text).map_err(|error| malformed(&error))
}

fn malformed(error: &dyn std::fmt::Display) -> Refusal {
    Refusal::Malformed { detail: error.to_string() }
}

fn unknown(doubt: Uncertainty) -> Reply {
    Reply::Answer(Answer::from(doubt))
}
